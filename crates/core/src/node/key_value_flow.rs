//! Calls to the key-value service, within its rate limit and with a reserve for operators.

use std::collections::{BTreeMap, VecDeque};

use super::effect::{Effect, KeyValueOperation};
use super::event::{KeyValueCall, KeyValueOutcome};
use super::machine::Node;
use crate::identity::CallerId;
use crate::log_event::LogEvent;
use crate::node::configuration::PartDigest;
use crate::node::control::GroupsRecord;
use crate::time::{Millis, Timestamp};

/// Tokens that one call takes.
const CALL_TOKENS: f64 = 1.0;
/// Tokens that only a change of configuration may use, so that an operator need not wait for the node's own calls.
const RESERVED_TOKENS: f64 = 4.0;
/// Most tokens saved up, which bounds a burst of calls.
const MOST_TOKENS: f64 = 16.0;
/// Milliseconds in the second that the rate is given for.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What a call to the key-value service is for.
#[derive(Clone, Debug)]
pub(super) enum KeyValuePurpose {
    /// A watching node reads the manifest.
    WatchManifest,
    /// A watching node reads a part.
    FetchPart(PartDigest),
    /// A step of a change.
    Apply(CallerId),
    /// A step of the control lease.
    Lease,
    /// A node looks for others.
    ReadNodes,
    /// Addresses of present nodes are written.
    WriteNodes,
    /// The founding record is read.
    ReadGroups,
    /// The founding record is written.
    FoundGroups(GroupsRecord),
}

impl KeyValuePurpose {
    /// Operators' changes may use the reserve.
    fn is_urgent(&self) -> bool {
        matches!(self, Self::Apply(_))
    }
}

struct WaitingCall {
    purpose: KeyValuePurpose,
    operation: KeyValueOperation,
    not_before: Timestamp,
}

/// What a node keeps for its calls.
pub(super) struct KeyValueState {
    calls: BTreeMap<KeyValueCall, KeyValuePurpose>,
    waiting: VecDeque<WaitingCall>,
    next_call: u64,
    tokens: f64,
    tokens_at: Timestamp,
    service_answers: bool,
}

impl KeyValueState {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            calls: BTreeMap::new(),
            waiting: VecDeque::new(),
            next_call: 1,
            tokens: MOST_TOKENS,
            tokens_at: now,
            service_answers: true,
        }
    }

    /// Whether no call waits to be sent.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl Node {
    pub(super) fn call_key_value(&mut self, purpose: KeyValuePurpose, operation: KeyValueOperation) {
        self.call_key_value_after(purpose, operation, Millis(0));
    }

    pub(super) fn call_key_value_after(
        &mut self,
        purpose: KeyValuePurpose,
        operation: KeyValueOperation,
        wait: Millis,
    ) {
        let not_before = self.clock.now + wait;
        self.key_value.waiting.push_back(WaitingCall { purpose, operation, not_before });
        self.send_waiting_calls();
    }

    /// Sends the calls that the rate limit allows; those of operators may use its reserve.
    pub(super) fn send_waiting_calls(&mut self) {
        let now = self.clock.now;
        let state = &mut self.key_value;
        let earned = now.since(state.tokens_at).0 as f64 / MILLIS_PER_SECOND * self.settings.key_value_rate;
        state.tokens = (state.tokens + earned).min(MOST_TOKENS);
        state.tokens_at = now;
        let mut kept = VecDeque::new();
        while let Some(waiting) = state.waiting.pop_front() {
            let floor = if waiting.purpose.is_urgent() { CALL_TOKENS } else { CALL_TOKENS + RESERVED_TOKENS };
            if now < waiting.not_before || state.tokens < floor {
                kept.push_back(waiting);
                continue;
            }
            state.tokens -= CALL_TOKENS;
            let call = KeyValueCall(state.next_call);
            state.next_call += 1;
            state.calls.insert(call, waiting.purpose);
            self.effects.push(Effect::KeyValue { call, operation: waiting.operation });
        }
        state.waiting = kept;
    }

    pub(super) fn on_key_value(&mut self, call: KeyValueCall, outcome: KeyValueOutcome) {
        let Some(purpose) = self.key_value.calls.remove(&call) else { return };
        self.note_service(&outcome);
        match purpose {
            KeyValuePurpose::WatchManifest => self.on_watched_manifest(outcome),
            KeyValuePurpose::FetchPart(digest) => {
                if let KeyValueOutcome::Value { value, .. } = outcome {
                    let offer = self.configuration.offer_part(digest, value);
                    self.on_offer(offer);
                }
            }
            KeyValuePurpose::Apply(caller) => self.on_apply_answer(caller, outcome),
            KeyValuePurpose::Lease => self.on_lease_answer(outcome),
            KeyValuePurpose::ReadNodes => self.on_nodes_read(&outcome),
            KeyValuePurpose::WriteNodes => {}
            KeyValuePurpose::ReadGroups => self.on_groups_read(outcome),
            KeyValuePurpose::FoundGroups(record) => self.on_groups_founded(&record, outcome),
        }
    }

    fn note_service(&mut self, outcome: &KeyValueOutcome) {
        let answers = !matches!(outcome, KeyValueOutcome::NoAnswer);
        if !answers {
            self.counters.key_value_failures += 1;
        }
        if answers != self.key_value.service_answers {
            self.key_value.service_answers = answers;
            let event = if answers { LogEvent::PlatformRecovered } else { LogEvent::PlatformUnavailable };
            self.log(event, "key-value service");
        }
    }
}
