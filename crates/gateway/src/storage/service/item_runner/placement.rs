//! Selects the worker of an item: which workers may run it, and which of them does.

use stallmoor_core::serving::jobs::command::{ItemKey, PartialOutput};
use stallmoor_core::serving::jobs::dispatch::{ItemResumption, ItemStart, WaitCause, WorkerNeeds, item_resumption};
use stallmoor_core::serving::request::RequestAttributes;
use stallmoor_core::serving::stream_origins::StreamOrigin;
use stallmoor_core::serving::workers::cold_start::PERMIT_LIFETIME;
use stallmoor_core::serving::workers::permit_grants::PermitGrants;
use stallmoor_core::serving::workers::{Choice, WorkerQuery};
use stallmoor_core::time::{Millis, Timestamp};

use super::ItemRunner;

/// What the selection of a worker for an item depends on.
pub(super) struct PlacementInputs<'a> {
    pub(super) start: &'a ItemStart,
    pub(super) attributes: &'a RequestAttributes,
    /// The workers to which the selection is limited.
    pub(super) needs: &'a WorkerNeeds,
    /// Online requests that all nodes place per second.
    pub(super) online_per_s: u32,
}

impl ItemRunner {
    /// Returns the workers at which an item continues its output, or those that may run it if it has none.
    pub(super) fn needs_of(&self, key: &ItemKey, start: &ItemStart, output: &PartialOutput) -> WorkerNeeds {
        let Some(service) = start.route.targets.first().map(|target| &target.service) else {
            return self.needs_without_output(start);
        };
        let versions = self.workers.origins.known_versions(service);
        let job_age = Millis(self.workers.view.clock.wall_time().0.saturating_sub(start.received_at.0));
        match item_resumption(output, self.dispatcher.origin(key), service, &versions, job_age) {
            ItemResumption::Start | ItemResumption::Restart => self.needs_without_output(start),
            ItemResumption::At(StreamOrigin { service, version }) => {
                WorkerNeeds { service, version: Some(version), regions: start.regions.clone() }
            }
        }
    }

    /// Returns the workers that may run an item from the start, of one of the route's services.
    fn needs_without_output(&self, start: &ItemStart) -> WorkerNeeds {
        let service = start.route.select_service(&mut *self.workers.view.random()).cloned();
        // A route without a service leads to no worker.
        WorkerNeeds { service: service.unwrap_or_default(), version: None, regions: start.regions.clone() }
    }

    /// Returns the workers that may run an item, the preferred ones first. An item whose output no worker can continue, or
    /// that has waited long enough for one, may run from the start.
    pub(super) fn acceptable_needs(
        &self,
        key: &ItemKey,
        start: &ItemStart,
        needs: WorkerNeeds,
        events: u64,
        now: Timestamp,
    ) -> Vec<WorkerNeeds> {
        if needs.version.is_none() {
            return vec![needs];
        }
        let from_start = self.needs_without_output(start);
        if !self.can_continue(&needs, start, now) {
            return vec![from_start];
        }
        let may_restart = self.dispatcher.may_restart_elsewhere(key, events, now);
        std::iter::once(needs).chain(may_restart.then_some(from_start)).collect()
    }

    /// Returns whether a worker is left that can continue the item's output.
    fn can_continue(&self, needs: &WorkerNeeds, start: &ItemStart, now: Timestamp) -> bool {
        let query = WorkerQuery {
            service: &needs.service,
            zone: &self.workers.view.zone,
            prefix: &[],
            prompt_tokens: 0,
            body_bytes: 0,
            tried: &[],
            regions: &needs.regions,
            may_run_again: true,
            version: needs.version.as_ref(),
        };
        start.route.leads_to(&needs.service) && self.workers.view.workers().has_eligible(&query, now)
    }

    /// Selects a worker, unless another item could not start for want of the same workers.
    pub(super) fn place(
        &mut self,
        key: &ItemKey,
        inputs: &PlacementInputs<'_>,
        permits: &mut PermitGrants,
        now: Timestamp,
    ) -> Option<Choice> {
        let cause = WaitCause::Worker(inputs.needs.clone());
        if self.dispatcher.is_held(&cause) {
            return None;
        }
        let choice = self.choose_worker(key, inputs, permits, now);
        if choice.is_none() {
            self.dispatcher.record_unmet(&cause, now);
        }
        choice
    }

    /// Selects a worker at which the item has not failed, and, for the item's last attempt, one at which no item failed
    /// recently. If none of those has room, any other worker with room is selected.
    fn choose_worker(
        &self,
        key: &ItemKey,
        inputs: &PlacementInputs<'_>,
        permits: &mut PermitGrants,
        now: Timestamp,
    ) -> Option<Choice> {
        let PlacementInputs { start, attributes, needs, online_per_s } = *inputs;
        let view = &self.workers.view;
        let failed = self.dispatcher.failed_workers(key);
        let mut avoided = self.dispatcher.avoided_in_last_attempt(key, start.route.max_attempts, now);
        avoided.extend_from_slice(&failed);
        let query = WorkerQuery {
            service: &needs.service,
            zone: &view.zone,
            prefix: &attributes.prefix,
            prompt_tokens: attributes.prompt_tokens,
            body_bytes: start.item.body.len(),
            tried: &failed,
            regions: &needs.regions,
            may_run_again: true,
            version: needs.version.as_ref(),
        };
        let mut random = view.random();
        let mut workers = view.workers();
        let mut choice = None;
        if avoided.len() > failed.len() {
            // Not as a trial: a failure would be the item's last.
            let query = WorkerQuery { tried: &avoided, may_run_again: false, ..query.clone() };
            choice = workers.choose_for_batch(&query, online_per_s, now, &mut *random);
        }
        choice = choice.or_else(|| workers.choose_for_batch(&query, online_per_s, now, &mut *random));
        if choice.is_none() && !failed.is_empty() {
            let query = WorkerQuery { tried: &[], ..query.clone() };
            choice = workers.choose_for_batch(&query, online_per_s, now, &mut *random);
        }
        if choice.is_none() && workers.needs_permit(&query, now) {
            // Cold workers are used only if no warm one has capacity.
            let wanted = workers.wanted_batch_permits(&query, now, &mut *random);
            let granted = permits.grant_batch(&wanted, |worker| workers.cold_start_of(worker), now);
            workers.add_permits(&granted, now + PERMIT_LIFETIME);
            choice = workers.choose_for_batch(&query, online_per_s, now, &mut *random);
        }
        choice
    }
}
