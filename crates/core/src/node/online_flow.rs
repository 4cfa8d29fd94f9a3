//! An online request from admission to its last piece.
//!
//! Admission, then the mark if the request is not repeatable, then the session's record, then an
//! engine. A failure on the way leads to another engine if the request may run again or certainly did
//! not run; otherwise to a refusal that says truthfully what is known, at once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::effect::{Effect, EngineRequest, RequestClass};
use super::event::{CallerAnswer, StreamEvent};
use super::machine::Node;
use crate::error::{ErrorKind, Ran, Refusal};
use crate::hashing::hash_parts;
use crate::identity::{AttemptId, CallerId, EngineName};
use crate::log_event::LogEvent;
use crate::node::configuration::fleet::Service;
use crate::node::online::{
    DecisionStep, Delivery, ExplanationStore, OnlineCall, OnlinePhase, OnlineRequest, PieceOutcome, RETRY_LIMITS,
    SessionCache,
};
use crate::node::partition::{RequestKey, Settlement};
use crate::node::routing::{OnlineDemand, RoutingRefusal, Selection, prompt_blocks, select_online};
use crate::retry_budget::RetryBudget;
use crate::time::{Millis, Timestamp};

/// An engine that sends nothing for this long counts as lost.
const SILENCE_TIMEOUT: Millis = Millis(10_000);
/// Bytes of the prompt that make the affinity of a request without a session.
const AFFINITY_BYTES: usize = 256;

/// Online requests of one node and what they share.
pub(super) struct OnlineState {
    pub(super) requests: BTreeMap<CallerId, OnlineRequest>,
    attempts: BTreeMap<AttemptId, CallerId>,
    last_heard: BTreeMap<AttemptId, Timestamp>,
    tenant_in_flight: BTreeMap<Arc<str>, u32>,
    retry_budget: RetryBudget,
    pub(super) sessions: SessionCache,
    pub(super) explanations: ExplanationStore,
}

impl Default for OnlineState {
    fn default() -> Self {
        Self {
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            tenant_in_flight: BTreeMap::new(),
            retry_budget: RetryBudget::new(RETRY_LIMITS),
            sessions: SessionCache::default(),
            explanations: ExplanationStore::default(),
        }
    }
}

impl Node {
    pub(super) fn on_online_call(&mut self, caller: CallerId, call: OnlineCall) {
        match self.admit(&call) {
            Ok(service) => self.begin_online(caller, call, &service),
            Err(refusal) => {
                let refusal = refusal_before_mark(&call, refusal);
                self.counters.online_refused += 1;
                let step =
                    DecisionStep::Refused { code: refusal.kind.code().to_owned(), detail: refusal.detail.clone() };
                self.online.explanations.note(&call.id, 0, step);
                self.answer(caller, CallerAnswer::Refused(refusal));
            }
        }
    }

    /// Checks a request before anything is done for it.
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

    fn begin_online(&mut self, caller: CallerId, call: OnlineCall, service: &Service) {
        let now = self.clock.now;
        let holder = self.draw_attempt();
        let within = call.deadline.unwrap_or(service.online_deadline);
        let request = OnlineRequest {
            service: service.name.clone(),
            arrived: now,
            deadline: now + within,
            phase: OnlinePhase::LookingUpSession,
            delivery: Delivery { next_token: call.from_token, begun: false },
            holder,
            marked: false,
            mark_confirmed: false,
            may_have_run: false,
            excluded: BTreeSet::new(),
            session: None,
            blocks: prompt_blocks(&call.model, &call.prompt),
            moves: 0,
            call,
        };
        *self.online.tenant_in_flight.entry(request.call.tenant.clone()).or_default() += 1;
        self.online.retry_budget.deposit();
        self.counters.online_admitted += 1;
        let repeatable = request.call.repeatable;
        self.online.requests.insert(caller, request);
        self.note(caller, DecisionStep::Admitted { service: service.name.to_string() });
        if repeatable {
            self.find_session(caller);
        } else {
            self.mark(caller);
        }
    }

    // Engines.

    /// Chooses an engine and sends the request there.
    pub(super) fn place(&mut self, caller: CallerId) {
        let now = self.clock.now;
        let Some(fleet) = self.fleet() else { return };
        let Some(request) = self.online.requests.get(&caller) else { return };
        let Some(service) = fleet.services.get(&request.service) else {
            let refusal = Refusal::new(ErrorKind::UnknownModel, "the service is configured no longer");
            self.refuse_online(caller, refusal);
            return;
        };
        let demand = OnlineDemand {
            service,
            affinity: affinity_of(&request.call),
            blocks: &request.blocks,
            session_engine: request.session.as_ref().map(|record| &record.engine),
            excluded: &request.excluded,
            zone: &self.settings.zone,
        };
        match select_online(&self.engines, &self.polls.prefix_index, &demand, now) {
            Ok(selection) => self.send_to_engine(caller, selection, service),
            Err(RoutingRefusal::NoEngine) => {
                let detail = "no engine of the service is usable";
                self.refuse_online(caller, Refusal::new(ErrorKind::NoEngine, detail));
            }
            Err(RoutingRefusal::Overloaded { retry_after_ms }) => {
                let refusal = Refusal::new(ErrorKind::Overloaded, "every engine of the service is full");
                self.refuse_online(caller, refusal.with_retry_after(retry_after_ms));
            }
        }
    }

    fn send_to_engine(&mut self, caller: CallerId, selection: Selection, service: &Service) {
        let now = self.clock.now;
        let attempt = self.draw_attempt();
        let engine = selection.engine.clone();
        let Some(address) = self.engines.get(&engine).map(|state| state.configured.address) else { return };
        let Some(request) = self.online.requests.get_mut(&caller) else { return };
        request.phase = OnlinePhase::Running { attempt, engine: engine.clone(), sent_at: now };
        let from_token = request.delivery.next_token;
        let limit = request.call.max_tokens.unwrap_or(service.max_tokens).min(service.max_tokens);
        let engine_request = EngineRequest {
            attempt,
            engine: engine.clone(),
            address,
            class: RequestClass::Online,
            priority: service.online_priority,
            model: request.call.model.clone(),
            adapter: request.call.adapter.clone(),
            prompt: request.call.prompt.clone(),
            max_tokens: limit,
            from_token,
            repeatable: request.call.repeatable,
        };
        self.online.attempts.insert(attempt, caller);
        self.online.last_heard.insert(attempt, now);
        self.engines.online_started(&engine);
        self.batch.notices_due.insert(engine.clone());
        let considered = selection.considered.iter().map(String::from).collect();
        self.note(caller, DecisionStep::Chosen { engine: engine.clone(), considered, from_token });
        self.effects.push(Effect::StartStream(engine_request));
        self.record_session(caller, &engine);
    }

    pub(super) fn on_stream(&mut self, attempt: AttemptId, event: StreamEvent) {
        let is_own = match &event {
            StreamEvent::Piece { attempt: said, .. } | StreamEvent::End { attempt: said, .. } => *said == attempt,
            _ => true,
        };
        let is_known = self.online.attempts.contains_key(&attempt) || self.batch.dispatcher.contains(attempt);
        if !is_own || !is_known {
            self.counters.pieces_dropped += 1;
            if !is_own {
                self.log(LogEvent::PieceDropped, format!("{attempt} was sent another attempt's piece"));
            }
            return;
        }
        match self.online.attempts.get(&attempt).copied() {
            Some(caller) => self.on_online_stream(caller, attempt, event),
            None => self.on_batch_stream(attempt, event),
        }
    }

    fn on_online_stream(&mut self, caller: CallerId, attempt: AttemptId, event: StreamEvent) {
        self.online.last_heard.insert(attempt, self.clock.now);
        match event {
            StreamEvent::Piece { first, tokens, text, .. } => self.on_online_piece(caller, first, tokens, text),
            StreamEvent::End { length, .. } => self.on_online_end(caller, length),
            StreamEvent::NotSent => self.on_engine_unreached(caller, "no connection"),
            StreamEvent::Refused { leaving } => {
                if leaving {
                    self.note_leaving_refusal(caller);
                }
                self.on_engine_unreached(caller, if leaving { "leaving" } else { "refused" });
            }
            StreamEvent::Rejected { detail } => {
                self.release_engine(caller, true);
                self.refuse_online(caller, Refusal::new(ErrorKind::MalformedRequest, detail));
            }
            StreamEvent::Broken { detail } => self.on_engine_lost(caller, &detail),
        }
    }

    fn on_online_piece(&mut self, caller: CallerId, first: u32, tokens: u32, text: String) {
        let Some(request) = self.online.requests.get_mut(&caller) else { return };
        match request.judge_piece(first, tokens) {
            PieceOutcome::Deliver => self.answer(caller, CallerAnswer::Piece { first, tokens, text }),
            PieceOutcome::Duplicate => self.counters.pieces_dropped += 1,
            PieceOutcome::Gap => {
                self.counters.pieces_dropped += 1;
                self.cancel_attempt(caller);
                self.on_engine_lost(caller, "tokens are missing in the stream");
            }
        }
    }

    fn on_online_end(&mut self, caller: CallerId, length: u32) {
        let Some(request) = self.online.requests.get(&caller) else { return };
        if !request.is_whole(length) {
            self.on_engine_lost(caller, "the stream ended short of its length");
            return;
        }
        let engine = self.release_engine(caller, true);
        let Some(request) = self.take_online(caller) else { return };
        self.counters.online_answered += 1;
        self.note_request(&request, DecisionStep::Answered { tokens: length });
        self.settle(&request, Settlement::Answered);
        if let Some(engine) = engine {
            self.answer(caller, CallerAnswer::End { tokens: length, engine });
        }
    }

    /// The engine certainly did not run the request.
    fn on_engine_unreached(&mut self, caller: CallerId, cause: &str) {
        self.fail_attempt(caller, cause, false);
        self.move_or_refuse(caller, ErrorKind::EngineRefused);
    }

    /// The engine may have run the request.
    fn on_engine_lost(&mut self, caller: CallerId, cause: &str) {
        self.fail_attempt(caller, cause, true);
        let begun = self.online.requests.get(&caller).is_some_and(|request| request.delivery.begun);
        let kind = if begun { ErrorKind::AnswerIncomplete } else { ErrorKind::EngineLost };
        self.move_or_refuse(caller, kind);
    }

    fn fail_attempt(&mut self, caller: CallerId, cause: &str, may_have_run: bool) {
        let Some(engine) = self.release_engine(caller, false) else { return };
        if let Some(request) = self.online.requests.get_mut(&caller) {
            request.excluded.insert(engine.clone());
            request.may_have_run |= may_have_run;
        }
        self.note(caller, DecisionStep::EngineFailed { engine, cause: cause.to_owned() });
    }

    /// Another engine, if the request may be tried again and the budget allows it; else a refusal.
    fn move_or_refuse(&mut self, caller: CallerId, kind: ErrorKind) {
        let now = self.clock.now;
        let Some(request) = self.online.requests.get_mut(&caller) else { return };
        let in_time = now < request.deadline;
        if !request.may_retry() || !in_time {
            self.refuse_online(caller, Refusal::new(kind, "the request can't be tried again"));
            return;
        }
        request.moves += 1;
        if !self.online.retry_budget.try_withdraw() {
            self.log(LogEvent::RetryBudgetSpent, "a retry was given up");
            self.refuse_online(caller, Refusal::new(kind, "the retry budget is spent"));
            return;
        }
        self.counters.retries += 1;
        self.place(caller);
    }

    /// Takes a request's attempt off its engine.
    fn release_engine(&mut self, caller: CallerId, succeeded: bool) -> Option<EngineName> {
        let request = self.online.requests.get(&caller)?;
        let OnlinePhase::Running { attempt, engine, .. } = request.phase.clone() else { return None };
        self.online.attempts.remove(&attempt)?;
        self.online.last_heard.remove(&attempt);
        self.engines.online_ended(&engine);
        self.batch.notices_due.insert(engine.clone());
        if succeeded {
            self.engines.succeeded(&engine);
        } else {
            self.note_engine_failure(&engine);
        }
        Some(engine)
    }

    fn cancel_attempt(&mut self, caller: CallerId) {
        if let Some(request) = self.online.requests.get(&caller)
            && let OnlinePhase::Running { attempt, .. } = request.phase
        {
            self.effects.push(Effect::CancelStream { attempt });
        }
    }

    fn note_leaving_refusal(&mut self, caller: CallerId) {
        if let Some(request) = self.online.requests.get(&caller)
            && let OnlinePhase::Running { engine, .. } = &request.phase
        {
            let engine = engine.clone();
            self.engine_refused_as_leaving(&engine);
        }
    }

    // Endings.

    /// Ends a request with a refusal that says truthfully whether it ran.
    pub(super) fn refuse_online(&mut self, caller: CallerId, refusal: Refusal) {
        let Some(request) = self.take_online(caller) else { return };
        let ran = truth_of(&request, &refusal);
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
        self.note_request(&request, step);
        self.answer(caller, CallerAnswer::Refused(refusal));
    }

    fn take_online(&mut self, caller: CallerId) -> Option<OnlineRequest> {
        let request = self.online.requests.remove(&caller)?;
        if let Some(count) = self.online.tenant_in_flight.get_mut(&request.call.tenant) {
            *count -= 1;
            if *count == 0 {
                self.online.tenant_in_flight.remove(&request.call.tenant);
            }
        }
        Some(request)
    }

    pub(super) fn online_caller_gone(&mut self, caller: CallerId) {
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
        self.note(caller, DecisionStep::CallerGone);
        if let Some(request) = self.take_online(caller) {
            let settlement = if was_sent { Settlement::Unknown } else { Settlement::NotRun };
            self.settle(&request, settlement);
        }
    }

    pub(super) fn tick_online(&mut self) {
        let now = self.clock.now;
        let late: Vec<CallerId> = self
            .online
            .requests
            .iter()
            .filter(|(_, request)| now >= request.deadline)
            .map(|(caller, _)| *caller)
            .collect();
        for caller in late {
            self.give_up(caller);
        }
        let silent: Vec<CallerId> = self
            .online
            .last_heard
            .iter()
            .filter(|(_, heard)| now.since(**heard) >= SILENCE_TIMEOUT)
            .filter_map(|(attempt, _)| self.online.attempts.get(attempt).copied())
            .collect();
        for caller in silent {
            self.cancel_attempt(caller);
            self.on_engine_lost(caller, "the engine fell silent");
        }
    }

    /// The deadline passed: the final answer goes out at once.
    fn give_up(&mut self, caller: CallerId) {
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
            // The mark may be replicated already.
            request.marked = true;
        }
        self.refuse_online(caller, Refusal::new(kind, "the deadline passed"));
    }

    pub(super) fn note(&mut self, caller: CallerId, step: DecisionStep) {
        if let Some(request) = self.online.requests.get(&caller) {
            let after = self.clock.now.since(request.arrived);
            self.online.explanations.note(&request.call.id, after.0, step);
        }
    }

    fn note_request(&mut self, request: &OnlineRequest, step: DecisionStep) {
        let after = self.clock.now.since(request.arrived);
        self.online.explanations.note(&request.call.id, after.0, step);
    }
}

/// A refusal of a request whose mark was not read: nothing is known of earlier submissions under its key.
pub(super) fn refusal_before_mark(call: &OnlineCall, refusal: Refusal) -> Refusal {
    if call.repeatable { refusal } else { refusal.with_ran(Ran::Unknown) }
}

/// What is known about whether a refused request ran.
fn truth_of(request: &OnlineRequest, refusal: &Refusal) -> Ran {
    match refusal.kind {
        ErrorKind::AlreadyRan => Ran::Ran,
        ErrorKind::OutcomeUnknown => Ran::Unknown,
        _ if request.delivery.begun => Ran::Ran,
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

fn affinity_of(call: &OnlineCall) -> u64 {
    match &call.session {
        Some(session) => hash_parts(&[call.tenant.as_bytes(), session.as_bytes()]),
        None => {
            let prompt = call.prompt.as_bytes();
            hash_parts(&[call.model.as_bytes(), &prompt[..prompt.len().min(AFFINITY_BYTES)]])
        }
    }
}
