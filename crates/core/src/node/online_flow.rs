//! Lifecycle of online requests, from admission to the answer or refusal.
//!
//! An admitted request is first marked if it is not repeatable; then its session record is read and the
//! request is sent to an engine. A refusal states whether the request ran.
//!
//! This module owns the requests in progress; `online_records` handles marks and sessions, and
//! `online_attempts` communicates with engines.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::event::CallerAnswer;
use super::machine::Node;
use crate::error::{ErrorKind, Ran, Refusal};
use crate::hashing::hash_parts;
use crate::identity::{AttemptId, CallerId};
use crate::node::configuration::fleet::Service;
use crate::node::online::{
    DecisionStep, Delivery, ExplanationStore, OnlineCall, OnlinePhase, OnlineRequest, RETRY_BUDGET_LIMITS, SessionCache,
};
use crate::node::partition::{RequestKey, Settlement};
use crate::node::routing::prompt_blocks;
use crate::retry_budget::RetryBudget;
use crate::time::{Millis, Timestamp};

/// Time without an event from the engine after which an attempt fails.
const ENGINE_IDLE_TIMEOUT: Millis = Millis(10_000);
/// Online requests of a node and the state they share.
pub(super) struct OnlineState {
    pub(super) requests: BTreeMap<CallerId, OnlineRequest>,
    pub(super) attempts: BTreeMap<AttemptId, CallerId>,
    pub(super) last_contact: BTreeMap<AttemptId, Timestamp>,
    tenant_in_flight: BTreeMap<Arc<str>, u32>,
    pub(super) retry_budget: RetryBudget,
    pub(super) sessions: SessionCache,
    pub(super) explanations: ExplanationStore,
}

impl Default for OnlineState {
    fn default() -> Self {
        Self {
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            last_contact: BTreeMap::new(),
            tenant_in_flight: BTreeMap::new(),
            retry_budget: RetryBudget::new(RETRY_BUDGET_LIMITS),
            sessions: SessionCache::default(),
            explanations: ExplanationStore::default(),
        }
    }
}

impl Node {
    pub(super) fn on_online_call(&mut self, caller: CallerId, call: OnlineCall) {
        match self.admit(&call) {
            Ok(service) => self.start_online(caller, call, &service),
            Err(refusal) => {
                let refusal = refusal_before_mark(&call, refusal);
                self.counters.online_refused += 1;
                let step =
                    DecisionStep::Refused { code: refusal.kind.code().to_owned(), detail: refusal.detail.clone() };
                self.online.explanations.record_step(&call.id, 0, step);
                self.answer(caller, CallerAnswer::Refused(refusal));
            }
        }
    }

    /// Validates a request and returns the service that handles it.
    fn admit(&self, call: &OnlineCall) -> Result<Service, Refusal> {
        if self.stopping.is_some() {
            return Err(Refusal::new(ErrorKind::Stopping, "ask another node"));
        }
        self.check_names(&call.tenant, &call.model, call.adapter.as_ref())?;
        let Some(fleet) = self.fleet() else {
            return Err(Refusal::new(ErrorKind::NotConfigured, "no configuration yet"));
        };
        if !call.repeatable && call.key.is_none() {
            let detail = "a request that is not repeatable needs an idempotency key";
            return Err(Refusal::new(ErrorKind::MalformedRequest, detail));
        }
        if self.online.requests.len() >= self.settings.online_requests {
            return Err(Refusal::new(ErrorKind::Overloaded, "this node has as many requests in hand as it may"));
        }
        let in_flight = self.online.tenant_in_flight.get(&call.tenant).copied().unwrap_or(0);
        let limit = fleet.tenants.get(&call.tenant).map_or(0, |tenant| tenant.requests_in_flight);
        if in_flight >= limit {
            let detail = format!("tenant \"{}\" has {in_flight} requests in flight at this node", call.tenant);
            return Err(Refusal::new(ErrorKind::TenantLimit, detail));
        }
        fleet
            .service_of_model(&call.model)
            .cloned()
            .ok_or_else(|| Refusal::new(ErrorKind::UnknownModel, call.model.to_string()))
    }

    fn start_online(&mut self, caller: CallerId, call: OnlineCall, service: &Service) {
        let now = self.clock.now;
        let holder = self.new_attempt_id();
        let time_limit = call.deadline.unwrap_or(service.online_deadline);
        let request = OnlineRequest {
            service: service.name.clone(),
            arrived: now,
            deadline: now + time_limit,
            phase: OnlinePhase::LookingUpSession,
            delivery: Delivery { next_token: call.from_token, started: false },
            holder,
            marked: false,
            mark_confirmed: false,
            may_have_run: false,
            excluded: BTreeSet::new(),
            session: None,
            blocks: prompt_blocks(&call.model, &call.prompt),
            retries: 0,
            call,
        };
        *self.online.tenant_in_flight.entry(request.call.tenant.clone()).or_default() += 1;
        self.online.retry_budget.deposit();
        self.counters.online_admitted += 1;
        let repeatable = request.call.repeatable;
        self.online.requests.insert(caller, request);
        self.record_step(caller, DecisionStep::Admitted { service: service.name.to_string() });
        if repeatable {
            self.find_session(caller);
        } else {
            self.mark(caller);
        }
    }

    /// Completes a request with a refusal that states whether the request ran.
    pub(super) fn refuse_online(&mut self, caller: CallerId, refusal: Refusal) {
        let Some(request) = self.take_online(caller) else { return };
        let ran = ran_state(&request, &refusal);
        let refusal = refusal.with_ran(ran);
        self.counters.online_refused += 1;
        let settlement = match ran {
            Ran::NotRun => Settlement::NotRun,
            Ran::Unknown | Ran::Ran => Settlement::Unknown,
        };
        let was_sent_before =
            matches!(refusal.kind, ErrorKind::AlreadyRan | ErrorKind::OutcomeUnknown | ErrorKind::KeyConflict);
        if !was_sent_before {
            self.settle(&request, settlement);
        }
        let step = DecisionStep::Refused { code: refusal.kind.code().to_owned(), detail: refusal.detail.clone() };
        self.record_request_step(&request, step);
        self.answer(caller, CallerAnswer::Refused(refusal));
    }

    pub(super) fn take_online(&mut self, caller: CallerId) -> Option<OnlineRequest> {
        let request = self.online.requests.remove(&caller)?;
        if let Some(count) = self.online.tenant_in_flight.get_mut(&request.call.tenant) {
            *count -= 1;
            if *count == 0 {
                self.online.tenant_in_flight.remove(&request.call.tenant);
            }
        }
        Some(request)
    }

    pub(super) fn cancel_online_request(&mut self, caller: CallerId) {
        if !self.online.requests.contains_key(&caller) {
            return;
        }
        let was_sent = self
            .online
            .requests
            .get(&caller)
            .is_some_and(|request| request.may_have_run || matches!(request.phase, OnlinePhase::Running { .. }));
        self.cancel_attempt(caller);
        self.release_engine(caller, true);
        self.record_step(caller, DecisionStep::CallerGone);
        if let Some(request) = self.take_online(caller) {
            let settlement = if was_sent { Settlement::Unknown } else { Settlement::NotRun };
            self.settle(&request, settlement);
        }
    }

    pub(super) fn tick_online(&mut self) {
        let now = self.clock.now;
        let overdue: Vec<CallerId> = self
            .online
            .requests
            .iter()
            .filter(|(_, request)| now >= request.deadline)
            .map(|(caller, _)| *caller)
            .collect();
        for caller in overdue {
            self.fail_at_deadline(caller);
        }
        let stalled: Vec<CallerId> = self
            .online
            .last_contact
            .iter()
            .filter(|(_, contact)| now.since(**contact) >= ENGINE_IDLE_TIMEOUT)
            .filter_map(|(attempt, _)| self.online.attempts.get(attempt).copied())
            .collect();
        for caller in stalled {
            self.cancel_attempt(caller);
            self.on_engine_lost(caller, "the engine fell silent");
        }
    }

    /// Refuses a request whose deadline has passed.
    fn fail_at_deadline(&mut self, caller: CallerId) {
        let Some(request) = self.online.requests.get_mut(&caller) else { return };
        let was_sent = matches!(request.phase, OnlinePhase::Running { .. });
        request.may_have_run |= was_sent;
        let kind = if request.may_have_run { ErrorKind::DeadlineExceeded } else { ErrorKind::DeadlineUnmet };
        self.cancel_attempt(caller);
        self.release_engine(caller, true);
        self.client.forget_caller(caller);
        if let Some(request) = self.online.requests.get_mut(&caller)
            && matches!(request.phase, OnlinePhase::Marking)
        {
            // The mark may already be replicated and must then be settled.
            request.marked = true;
        }
        self.refuse_online(caller, Refusal::new(kind, "the deadline passed"));
    }

    pub(super) fn record_step(&mut self, caller: CallerId, step: DecisionStep) {
        if let Some(request) = self.online.requests.get(&caller) {
            let elapsed = self.clock.now.since(request.arrived);
            self.online.explanations.record_step(&request.call.id, elapsed.0, step);
        }
    }

    pub(super) fn record_request_step(&mut self, request: &OnlineRequest, step: DecisionStep) {
        let elapsed = self.clock.now.since(request.arrived);
        self.online.explanations.record_step(&request.call.id, elapsed.0, step);
    }
}

/// Adjusts a refusal issued before the request was marked: an earlier submission of a non-repeatable
/// request with the same key may have run.
pub(super) fn refusal_before_mark(call: &OnlineCall, refusal: Refusal) -> Refusal {
    if call.repeatable { refusal } else { refusal.with_ran(Ran::Unknown) }
}

/// Returns whether a refused request ran, as far as this node can tell.
fn ran_state(request: &OnlineRequest, refusal: &Refusal) -> Ran {
    match refusal.kind {
        ErrorKind::AlreadyRan => Ran::Ran,
        ErrorKind::OutcomeUnknown => Ran::Unknown,
        _ if request.delivery.started => Ran::Ran,
        _ if request.may_have_run => Ran::Unknown,
        ErrorKind::KeyConflict => Ran::NotRun,
        _ if !request.call.repeatable && !request.mark_confirmed => Ran::Unknown,
        _ => Ran::NotRun,
    }
}

pub(super) fn request_key(request: &OnlineRequest) -> Option<RequestKey> {
    let key = request.call.key.clone()?;
    Some(RequestKey { tenant: request.call.tenant.clone(), key })
}

pub(super) fn request_digest(call: &OnlineCall) -> u64 {
    let adapter: &[u8] = call.adapter.as_ref().map_or(b"", |adapter| adapter.as_bytes());
    hash_parts(&[call.model.as_bytes(), adapter, call.prompt.as_bytes()])
}
