//! Attempts of online requests on engines: selecting an engine, forwarding its chunks to the caller, and
//! handling failures.
//!
//! A failed request is retried on another engine if it is repeatable or was definitely not executed;
//! otherwise it is refused immediately.
//!
//! This module maps attempts to requests; `online_flow` owns the requests and completes them.

use super::effect::{Effect, EngineRequest, RequestClass};
use super::event::{CallerAnswer, StreamEvent};
use super::machine::Node;
use crate::error::{ErrorKind, Refusal};
use crate::hashing::hash_parts;
use crate::identity::{AttemptId, CallerId, EngineName};
use crate::log_event::LogEvent;
use crate::node::configuration::fleet::Service;
use crate::node::online::{ChunkOutcome, DecisionStep, OnlineCall, OnlinePhase};
use crate::node::partition::Settlement;
use crate::node::routing::{OnlineDemand, RoutingRefusal, Selection, select_online};

/// Length in bytes of the prompt prefix hashed into the affinity of a request without a session.
const AFFINITY_PREFIX_BYTES: usize = 256;

impl Node {
    /// Selects an engine and sends it the request, or refuses the request if no engine is available.
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
        let attempt = self.new_attempt_id();
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
        self.online.last_contact.insert(attempt, now);
        self.engines.record_online_start(&engine);
        self.batch.notices_due.insert(engine.clone());
        let considered = selection.considered.iter().map(String::from).collect();
        self.record_step(caller, DecisionStep::Chosen { engine: engine.clone(), considered, from_token });
        self.effects.push(Effect::StartStream(engine_request));
        self.record_session(caller, &engine);
    }

    pub(super) fn on_stream(&mut self, attempt: AttemptId, event: StreamEvent) {
        let is_matching = match &event {
            StreamEvent::Chunk { attempt: id, .. } | StreamEvent::End { attempt: id, .. } => *id == attempt,
            _ => true,
        };
        let is_known = self.online.attempts.contains_key(&attempt) || self.batch.dispatcher.contains(attempt);
        if !is_matching || !is_known {
            self.counters.pieces_dropped += 1;
            if !is_matching {
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
        self.online.last_contact.insert(attempt, self.clock.now);
        match event {
            StreamEvent::Chunk { first, tokens, text, .. } => self.on_online_chunk(caller, first, tokens, text),
            StreamEvent::End { length, .. } => self.on_online_end(caller, length),
            StreamEvent::NotSent => self.on_attempt_not_run(caller, "no connection"),
            StreamEvent::Refused { leaving } => {
                if leaving {
                    self.handle_leaving_refusal(caller);
                }
                self.on_attempt_not_run(caller, if leaving { "leaving" } else { "refused" });
            }
            StreamEvent::Rejected { detail } => {
                self.release_engine(caller, true);
                self.refuse_online(caller, Refusal::new(ErrorKind::MalformedRequest, detail));
            }
            StreamEvent::Broken { detail } => self.on_engine_lost(caller, &detail),
        }
    }

    fn on_online_chunk(&mut self, caller: CallerId, first: u32, tokens: u32, text: String) {
        let Some(request) = self.online.requests.get_mut(&caller) else { return };
        match request.accept_chunk(first, tokens) {
            ChunkOutcome::Deliver => self.answer(caller, CallerAnswer::Chunk { first, tokens, text }),
            ChunkOutcome::Duplicate => self.counters.pieces_dropped += 1,
            ChunkOutcome::Gap => {
                self.counters.pieces_dropped += 1;
                self.cancel_attempt(caller);
                self.on_engine_lost(caller, "tokens are missing in the stream");
            }
        }
    }

    fn on_online_end(&mut self, caller: CallerId, length: u32) {
        let Some(request) = self.online.requests.get(&caller) else { return };
        if !request.is_complete(length) {
            self.on_engine_lost(caller, "the stream ended short of its length");
            return;
        }
        let engine = self.release_engine(caller, true);
        let Some(request) = self.take_online(caller) else { return };
        self.counters.online_answered += 1;
        self.record_request_step(&request, DecisionStep::Answered { tokens: length });
        self.settle(&request, Settlement::Answered);
        if let Some(engine) = engine {
            self.answer(caller, CallerAnswer::End { tokens: length, engine });
        }
    }

    /// Handles a failed attempt that the engine definitely did not execute.
    fn on_attempt_not_run(&mut self, caller: CallerId, cause: &str) {
        self.fail_attempt(caller, cause, false);
        self.retry_or_refuse(caller, ErrorKind::EngineRefused);
    }

    /// Handles a failed attempt that the engine may have executed.
    pub(super) fn on_engine_lost(&mut self, caller: CallerId, cause: &str) {
        self.fail_attempt(caller, cause, true);
        let started = self.online.requests.get(&caller).is_some_and(|request| request.delivery.started);
        let kind = if started { ErrorKind::AnswerIncomplete } else { ErrorKind::EngineLost };
        self.retry_or_refuse(caller, kind);
    }

    fn fail_attempt(&mut self, caller: CallerId, cause: &str, may_have_run: bool) {
        let Some(engine) = self.release_engine(caller, false) else { return };
        if let Some(request) = self.online.requests.get_mut(&caller) {
            request.excluded.insert(engine.clone());
            request.may_have_run |= may_have_run;
        }
        self.record_step(caller, DecisionStep::EngineFailed { engine, cause: cause.to_owned() });
    }

    /// Retries on another engine if the request and the retry budget allow it; otherwise refuses the request.
    fn retry_or_refuse(&mut self, caller: CallerId, kind: ErrorKind) {
        let now = self.clock.now;
        let Some(request) = self.online.requests.get_mut(&caller) else { return };
        let in_time = now < request.deadline;
        if !request.may_retry() || !in_time {
            self.refuse_online(caller, Refusal::new(kind, "the request can't be tried again"));
            return;
        }
        request.retries += 1;
        if !self.online.retry_budget.try_withdraw() {
            self.log(LogEvent::RetryBudgetSpent, "a retry was given up");
            self.refuse_online(caller, Refusal::new(kind, "the retry budget is spent"));
            return;
        }
        self.counters.retries += 1;
        self.place(caller);
    }

    /// Ends the current attempt and records its outcome for the engine. Returns the engine, if one was assigned.
    pub(super) fn release_engine(&mut self, caller: CallerId, succeeded: bool) -> Option<EngineName> {
        let request = self.online.requests.get(&caller)?;
        let OnlinePhase::Running { attempt, engine, .. } = request.phase.clone() else { return None };
        self.online.attempts.remove(&attempt)?;
        self.online.last_contact.remove(&attempt);
        self.engines.record_online_end(&engine);
        self.batch.notices_due.insert(engine.clone());
        if succeeded {
            self.engines.record_success(&engine);
        } else {
            self.record_engine_failure(&engine);
        }
        Some(engine)
    }

    pub(super) fn cancel_attempt(&mut self, caller: CallerId) {
        if let Some(request) = self.online.requests.get(&caller)
            && let OnlinePhase::Running { attempt, .. } = request.phase
        {
            self.effects.push(Effect::CancelStream { attempt });
        }
    }

    fn handle_leaving_refusal(&mut self, caller: CallerId) {
        if let Some(request) = self.online.requests.get(&caller)
            && let OnlinePhase::Running { engine, .. } = &request.phase
        {
            let engine = engine.clone();
            self.engine_refused_as_leaving(&engine);
        }
    }
}

fn affinity_of(call: &OnlineCall) -> u64 {
    match &call.session {
        Some(session) => hash_parts(&[call.tenant.as_bytes(), session.as_bytes()]),
        None => {
            let prompt = call.prompt.as_bytes();
            hash_parts(&[call.model.as_bytes(), &prompt[..prompt.len().min(AFFINITY_PREFIX_BYTES)]])
        }
    }
}
