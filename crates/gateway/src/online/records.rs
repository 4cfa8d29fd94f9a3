//! Log lines and metrics of an online request.

use stallmoor_core::error::Refusal;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::serving::stream_origins::sharing::Sharing;
use stallmoor_core::serving::stream_origins::{Resumption, StreamOrigin};
use stallmoor_core::serving::workers::continuation::RecordStanding;
use stallmoor_core::serving::workers::{Choice, WorkerId};

use super::ActiveRequest;
use crate::observe::journal::{Field, record};
use crate::observe::measures;
use crate::streams::Resolved;

impl ActiveRequest {
    pub(super) fn log_attempt(&self, worker: &WorkerId, end: AttemptEnd) {
        let fields = [
            Field::text("request", &self.request.attributes.id),
            Field::text("worker", worker),
            Field::text("end", format!("{end:?}")),
            Field::number("events", self.state.progress.events),
            Field::number("age_ms", self.state.age(self.now()).0),
            Field::text("version", self.chosen_version()),
        ];
        record(LogEvent::AttemptEnded, &fields);
        measures::count_failed_attempt(end.name());
    }

    /// Returns the software version of the worker that was chosen last.
    fn chosen_version(&self) -> String {
        self.last_choice.as_ref().map(|choice| choice.version.to_string()).unwrap_or_default()
    }

    /// Logs the origin of a stream before its first event is forwarded. The gateway may be killed before the end.
    pub(super) fn log_stream_start(&self, origin: &StreamOrigin, sharing: Sharing) {
        let worker = self.last_choice.as_ref().map(|choice| choice.id.to_string()).unwrap_or_default();
        let fields = [
            Field::text("request", &self.request.attributes.id),
            Field::text("worker", worker),
            Field::text("service", &origin.service),
            Field::text("version", &origin.version),
            Field::text("origin", sharing.name()),
        ];
        record(LogEvent::StreamBegan, &fields);
    }

    /// Logs to which worker a stream with events is sent on, and what is known of the process there.
    pub(super) fn log_continuation(&self, choice: &Choice, standing: RecordStanding) {
        let fields = [
            Field::text("request", &self.request.attributes.id),
            Field::text("worker", &choice.id),
            Field::text("version", &choice.version),
            Field::text("record", standing.name()),
            Field::number("after_event", self.state.progress.last_event.unwrap_or(0)),
        ];
        record(LogEvent::StreamContinued, &fields);
    }

    /// Inputs to the choice of the worker: load and cached tokens as estimated by this node.
    fn choice_fields(&self) -> Vec<Field> {
        let Some(choice) = &self.last_choice else { return Vec::new() };
        vec![
            Field::text("worker", &choice.id),
            Field::number("load", choice.load),
            Field::number("held_tokens", choice.cached_tokens),
            Field::number("candidates", choice.candidates as u64),
            Field::text("standing", choice.availability.name()),
            Field::text("version", &choice.version),
        ]
    }

    pub(super) fn log_move(&self) {
        let mut fields = vec![
            Field::text("request", &self.request.attributes.id),
            Field::number("after_event", self.state.progress.last_event.unwrap_or(0)),
            Field::number("attempt", self.state.attempts()),
            Field::number("age_ms", self.state.age(self.now()).0),
        ];
        fields.extend(self.choice_fields());
        record(LogEvent::RequestMoved, &fields);
    }

    pub(super) fn log_resumption(&self, resolved: &Resolved) {
        let (outcome, version) = match &resolved.resumption {
            Resumption::At(origin) => ("known", origin.version.to_string()),
            Resumption::Refused(why) => (why.name(), String::new()),
        };
        let fields = [
            Field::text("request", &self.request.attributes.id),
            Field::text("first_attempt", self.request.attributes.first_attempt.as_deref().unwrap_or_default()),
            Field::number("after_event", self.state.progress.last_event.unwrap_or(0)),
            Field::text("origin", outcome),
            Field::text("version", version),
            Field::text("basis", resolved.basis),
            Field::text("informant", resolved.informant.map(|node| node.to_string()).unwrap_or_default()),
        ];
        let view_age = resolved.view_age.map(|age| Field::number("view_age_ms", age.0));
        let fields: Vec<Field> = fields.into_iter().chain(view_age).collect();
        record(LogEvent::StreamResumed, &fields);
        measures::count_resumption(outcome);
    }

    pub(super) fn log_refusal(&self, refused: &Refusal) {
        let now = self.now();
        let (ready, unavailable) = {
            let workers = self.client.view.workers();
            (workers.ready_count(&self.service, now), workers.unavailable_workers(&self.worker_query(), now))
        };
        let fields = [
            Field::text("request", &self.request.attributes.id),
            Field::text("route", &self.request.route.name),
            Field::text("kind", refused.kind.code()),
            Field::text("detail", &refused.detail),
            Field::number("age_ms", self.state.age(now).0),
            Field::number("ready_workers", ready as u64),
            Field::number("excluded_zone", unavailable.excluded_zone),
            Field::number("tried", unavailable.tried),
            Field::number("ejected", unavailable.ejected),
            Field::number("peer_ejected", unavailable.peer_ejected),
            Field::number("cold", unavailable.cold),
            Field::number("configuration", self.client.view.configuration().map_or(0, |current| current.version)),
        ];
        record(LogEvent::RequestRefused, &fields);
        self.record_end_metrics(refused.kind.code());
    }

    pub(super) fn log_end(&self, outcome: &str) {
        let mut fields = vec![
            Field::text("request", &self.request.attributes.id),
            Field::text("route", &self.request.route.name),
            Field::text("end", outcome),
            Field::number("events", self.state.progress.events),
            Field::number("attempts", self.state.attempts()),
            Field::number("age_ms", self.state.age(self.now()).0),
        ];
        fields.extend(self.first_event_after.map(|after| Field::number("first_event_ms", after.0)));
        fields.extend(self.choice_fields());
        record(LogEvent::RequestEnded, &fields);
        self.record_end_metrics(outcome);
    }

    fn record_end_metrics(&self, outcome: &str) {
        let elapsed = self.state.age(self.now());
        measures::record_request(&self.request.route.name, outcome, self.first_event_after, elapsed);
    }
}
