//! Callers: the initial configuration, online requests and jobs, and the answers they receive.
//!
//! Owns the kinds of calls and the arrival times of each online request's chunks. Relies on `workload` for the
//! arrivals.

use std::sync::Arc;

use rand::Rng;
use stallmoor_core::identity::CallerId;
use stallmoor_core::node::configuration::{ApplyId, Bundle};
use stallmoor_core::node::online::OnlineCall;
use stallmoor_core::node::partition::NewItem;
use stallmoor_core::node::{BatchCall, CallerAnswer, CallerCall, Event, JobSubmission, OperatorCall};
use stallmoor_core::time::Millis;

use super::world::{World, WorldEvent};

/// Maximum number of tokens in an online answer.
const MAX_ONLINE_TOKENS: u32 = 64;
/// Maximum number of tokens in a batch answer.
const MAX_BATCH_TOKENS: u32 = 64;
/// Name of the only model.
pub(super) const MODEL: &str = "model";
const TENANT: &str = "tenant";

/// Purpose of a call to the fleet.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallPurpose {
    Online(usize),
    Job,
    Apply,
}

/// An online request as observed by its caller.
#[derive(Clone, Copy, Default)]
pub(super) struct OnlineProbe {
    pub(super) sent_us: u64,
    pub(super) last_us: Option<u64>,
}

impl World<'_> {
    pub(super) fn apply_configuration(&mut self) {
        let profile = self.profile;
        let mut fleet = "[fleet]\nname = \"experiment\"\nreplica_groups = 8\n".to_owned();
        for zone in 0..profile.zones() {
            fleet.push_str(&format!("[[zone]]\nname = \"zone-{zone}\"\nregion = \"region\"\n"));
        }
        let services = format!(
            "[[service]]\nname = \"service\"\nonline_headroom = {:.4}\nmax_tokens = 512\n[[model]]\nname = \"{MODEL}\"\nservice = \"service\"\n",
            self.headroom
        );
        let mut machines = String::new();
        for (index, engine) in self.engines.iter().enumerate() {
            machines.push_str(&format!(
                "[[machine]]\nname = \"engine-{index}\"\naddress = \"{}\"\nzone = \"zone-{}\"\nservice = \"service\"\nslots = {}\n",
                engine.address,
                engine.zone,
                profile.engine().slots
            ));
        }
        let tenants = format!("[[tenant]]\nname = \"{TENANT}\"\nrequests_in_flight = 100000\n");
        let files = [
            ("fleet.toml", fleet),
            ("services.toml", services),
            ("machines.toml", machines),
            ("tenants.toml", tenants),
        ];
        let bundle =
            Bundle { files: files.into_iter().map(|(name, text)| (name.to_owned(), Arc::from(text))).collect() };
        let call = OperatorCall::Apply { id: ApplyId(1), bundle, expected_revision: None };
        self.call(0, CallPurpose::Apply, CallerCall::Operator(call));
    }

    fn call(&mut self, node: usize, purpose: CallPurpose, call: CallerCall) {
        let caller = CallerId(self.next_caller);
        self.next_caller += 1;
        self.calls.insert(caller, purpose);
        let event = Box::new(Event::Call { caller, call });
        self.schedule(self.profile.caller_latency_us(), WorldEvent::Node { node, event });
    }

    pub(super) fn send_online(&mut self, index: usize) {
        let arrival = &self.workload.online[index];
        self.probes[index].sent_us = self.now_us;
        let call = OnlineCall {
            id: Arc::from(format!("request-{index}")),
            tenant: Arc::from(TENANT),
            model: Arc::from(MODEL),
            adapter: None,
            session: Some(Arc::from(format!("session-{}", arrival.session))),
            key: None,
            repeatable: true,
            deadline: None,
            prompt: Arc::from(arrival.prompt.as_str()),
            max_tokens: Some(MAX_ONLINE_TOKENS),
            from_token: 0,
        };
        let node = self.random.random_range(0..self.nodes.len());
        self.call(node, CallPurpose::Online(index), CallerCall::Online(call));
    }

    pub(super) fn submit_job(&mut self, index: usize) {
        let arrival = &self.workload.jobs[index];
        let deadline_us = self.now_us + arrival.time_limit_ms * 1_000;
        let count = arrival.prompts.len() as u64;
        self.backlog += count;
        self.update_backlog();
        for prompt in &arrival.prompts {
            self.deadlines.insert(prompt.clone(), deadline_us);
        }
        let items = arrival.prompts.iter().enumerate();
        let items = items
            .map(|(item, prompt)| NewItem { label: Arc::from(item.to_string()), prompt: Arc::from(prompt.as_str()) });
        let submission = JobSubmission {
            tenant: Arc::from(TENANT),
            key: Some(Arc::from(format!("job-{index}"))),
            model: Arc::from(MODEL),
            adapter: None,
            items: items.collect(),
            within: Millis(arrival.time_limit_ms),
            max_tokens: Some(MAX_BATCH_TOKENS),
            accept: true,
        };
        let node = index % self.nodes.len();
        self.call(node, CallPurpose::Job, CallerCall::Batch(BatchCall::Submit(submission)));
    }

    pub(super) fn on_answer(&mut self, caller: CallerId, answer: CallerAnswer) {
        let Some(purpose) = self.calls.get(&caller).copied() else { return };
        if answer.is_final() {
            self.calls.remove(&caller);
        }
        match (purpose, answer) {
            (CallPurpose::Online(index), CallerAnswer::Chunk { .. }) => self.on_chunk(index),
            (CallPurpose::Online(_), CallerAnswer::End { .. }) => self.metrics.online_answered += 1,
            (CallPurpose::Online(_), _) => self.metrics.online_refused += 1,
            (CallPurpose::Job | CallPurpose::Apply, _) => {}
        }
    }

    fn on_chunk(&mut self, index: usize) {
        let now = self.now_us;
        let probe = &mut self.probes[index];
        match probe.last_us {
            None => self.metrics.first_token.record(now - probe.sent_us),
            Some(last) => self.metrics.inter_token.record(now - last),
        }
        probe.last_us = Some(now);
    }
}
