//! Replicated records of online requests: marks, which ensure at-most-once execution, and sessions.

use super::group_client::{GroupReply, Purpose};
use super::machine::Node;
use super::online_flow::{request_digest, request_key};
use crate::error::{ErrorKind, Refusal};
use crate::hashing::group_of;
use crate::identity::{CallerId, EngineName};
use crate::node::online::{DecisionStep, OnlinePhase, OnlineRequest};
use crate::node::partition::{Command, CommandOutcome, Query, QueryAnswer, SessionKey, SessionRecord, Settlement};
use crate::time::Millis;

/// Timeout for replicating the mark of a non-repeatable request.
const MARK_TIMEOUT: Millis = Millis(3_000);
/// Timeout for reading a session record, after which the request is routed without it.
const SESSION_QUERY_TIMEOUT: Millis = Millis(600);
/// Timeout for writing a settlement or a session record, which no caller waits for.
const BACKGROUND_COMMAND_TIMEOUT: Millis = Millis(15_000);

impl Node {
    pub(super) fn mark(&mut self, caller: CallerId) {
        let group_count = self.directory.group_count();
        let at = self.clock.wall_time;
        let Some(request) = self.online.requests.get_mut(&caller) else { return };
        request.phase = OnlinePhase::Marking;
        let Some(key) = request_key(request) else { return };
        if group_count == 0 {
            self.refuse_online(caller, Refusal::new(ErrorKind::StateUnavailable, "replica groups are not known yet"));
            return;
        }
        let command = Command::MarkRequest {
            digest: request_digest(&request.call),
            holder: request.holder,
            at,
            request: key.clone(),
        };
        let group = group_of(&key.tenant, &key.key, group_count);
        let remaining = request.deadline.since(self.clock.now);
        let timeout = Millis(MARK_TIMEOUT.0.min(remaining.0));
        self.command(group, command, Purpose::Mark(caller), timeout);
    }

    pub(super) fn on_marked(&mut self, caller: CallerId, reply: GroupReply) {
        if !self.online.requests.contains_key(&caller) {
            return;
        }
        match reply {
            GroupReply::Outcome(CommandOutcome::Marked) => {
                if let Some(request) = self.online.requests.get_mut(&caller) {
                    request.marked = true;
                    request.mark_confirmed = true;
                }
                self.record_step(caller, DecisionStep::Marked);
                self.find_session(caller);
            }
            GroupReply::Outcome(CommandOutcome::AlreadyMarked { settlement: Some(Settlement::Answered) }) => {
                let detail = "the request ran and was answered";
                self.refuse_online(caller, Refusal::new(ErrorKind::AlreadyRan, detail));
            }
            GroupReply::Outcome(CommandOutcome::AlreadyMarked { .. }) => {
                let detail = "the request was sent before; whether it ran is not known";
                self.refuse_online(caller, Refusal::new(ErrorKind::OutcomeUnknown, detail));
            }
            GroupReply::Outcome(CommandOutcome::MarkConflict) => {
                let detail = "the key was used for another request";
                self.refuse_online(caller, Refusal::new(ErrorKind::KeyConflict, detail));
            }
            _ => {
                // The mark may have been replicated anyway; settling it allows the caller to resend the request.
                if let Some(request) = self.online.requests.get_mut(&caller) {
                    request.marked = true;
                }
                let detail = "the request could not be marked in time, so it was not sent";
                self.refuse_online(caller, Refusal::new(ErrorKind::StateUnavailable, detail));
            }
        }
    }

    pub(super) fn settle(&mut self, request: &OnlineRequest, settlement: Settlement) {
        if !request.marked {
            return;
        }
        let Some(key) = request_key(request) else { return };
        let command = Command::SettleRequest {
            request: key.clone(),
            digest: request_digest(&request.call),
            holder: request.holder,
            settlement,
            at: self.clock.wall_time,
        };
        let group = group_of(&key.tenant, &key.key, self.directory.group_count());
        self.command(group, command, Purpose::Settle(key), BACKGROUND_COMMAND_TIMEOUT);
    }

    // Session records.

    pub(super) fn find_session(&mut self, caller: CallerId) {
        let group_count = self.directory.group_count();
        let Some(request) = self.online.requests.get_mut(&caller) else { return };
        request.phase = OnlinePhase::LookingUpSession;
        let Some(key) = request.session_key().filter(|_| group_count > 0) else {
            self.place(caller);
            return;
        };
        if let Some(record) = self.online.sessions.get(&key) {
            self.use_session(caller, record);
            return;
        }
        let group = group_of(&key.tenant, &key.session, group_count);
        self.query(group, Query::Session { session: key }, Purpose::FindSession(caller), SESSION_QUERY_TIMEOUT);
    }

    pub(super) fn on_session_found(&mut self, caller: CallerId, reply: GroupReply) {
        match reply {
            GroupReply::Answer(QueryAnswer::Session(Some(record))) => {
                let key = self.online.requests.get(&caller).and_then(OnlineRequest::session_key);
                if let Some(key) = key {
                    self.online.sessions.insert(key, record.clone());
                }
                self.use_session(caller, record);
            }
            GroupReply::Answer(_) => self.place(caller),
            _ => {
                self.record_step(caller, DecisionStep::SessionUnavailable);
                self.place(caller);
            }
        }
    }

    pub(super) fn use_session(&mut self, caller: CallerId, record: SessionRecord) {
        let step = DecisionStep::SessionFound { engine: record.engine.clone(), generation: record.generation };
        if let Some(request) = self.online.requests.get_mut(&caller) {
            request.session = Some(record);
        }
        self.record_step(caller, step);
        self.place(caller);
    }

    /// Replicates the session's engine if it changed.
    pub(super) fn record_session(&mut self, caller: CallerId, engine: &EngineName) {
        let at = self.clock.wall_time;
        let group_count = self.directory.group_count();
        let Some(request) = self.online.requests.get_mut(&caller) else { return };
        let Some(key) = request.session_key().filter(|_| group_count > 0) else { return };
        if request.session.as_ref().is_some_and(|record| record.engine == *engine) {
            return;
        }
        let generation = request.session.as_ref().map_or(0, |record| record.generation) + 1;
        let record =
            SessionRecord { model: request.call.model.clone(), engine: engine.clone(), generation, placed_at: at };
        request.session = Some(record.clone());
        let group = group_of(&key.tenant, &key.session, group_count);
        let command = Command::PlaceSession { session: key.clone(), record };
        self.command(group, command, Purpose::PlaceSession(key), BACKGROUND_COMMAND_TIMEOUT);
    }

    pub(super) fn on_session_placed(&mut self, session: SessionKey, reply: GroupReply) {
        if let GroupReply::Outcome(CommandOutcome::Session(record)) = reply {
            self.online.sessions.insert(session, record);
        }
    }
}
