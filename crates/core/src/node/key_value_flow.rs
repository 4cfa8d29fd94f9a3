//! Rate-limited calls to the key-value service, with a token reserve for operators' changes.

use std::collections::{BTreeMap, VecDeque};

use super::effect::{Effect, KeyValueOperation};
use super::event::{KeyValueCall, KeyValueOutcome};
use super::machine::Node;
use crate::identity::CallerId;
use crate::log_event::LogEvent;
use crate::node::configuration::PartDigest;
use crate::node::control::GroupsRecord;
use crate::time::{Millis, Timestamp};

/// Tokens consumed by one call.
const CALL_TOKENS: f64 = 1.0;
/// Tokens reserved for configuration changes, so that an operator does not wait behind background calls.
const RESERVED_TOKENS: f64 = 4.0;
/// Capacity of the token bucket, which bounds a burst of calls.
const MAX_TOKENS: f64 = 16.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The purpose of a call, which determines the handler of its response.
#[derive(Clone, Debug)]
pub(super) enum KeyValuePurpose {
    /// Polls the manifest.
    WatchManifest,
    /// Reads a missing configuration part.
    FetchPart(PartDigest),
    /// A step of an operator's configuration change.
    Apply(CallerId),
    /// Reads or writes the control lease.
    Lease,
    /// Reads the published node addresses.
    ReadNodes,
    /// Writes the published node addresses.
    WriteNodes,
    /// Reads the bootstrap record.
    ReadGroups,
    /// Writes the bootstrap record.
    WriteGroups(GroupsRecord),
}

impl KeyValuePurpose {
    /// Returns whether the call may use the reserved tokens.
    fn is_urgent(&self) -> bool {
        matches!(self, Self::Apply(_))
    }
}

struct WaitingCall {
    purpose: KeyValuePurpose,
    operation: KeyValueOperation,
    not_before: Timestamp,
}

/// Pending and queued calls and the token bucket.
pub(super) struct KeyValueState {
    calls: BTreeMap<KeyValueCall, KeyValuePurpose>,
    waiting: VecDeque<WaitingCall>,
    next_call: u64,
    tokens: f64,
    refilled_at: Timestamp,
    is_available: bool,
}

impl KeyValueState {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            calls: BTreeMap::new(),
            waiting: VecDeque::new(),
            next_call: 1,
            tokens: MAX_TOKENS,
            refilled_at: now,
            is_available: true,
        }
    }

    /// Returns whether no call is queued.
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

    /// Sends the queued calls that the rate limit allows.
    pub(super) fn send_waiting_calls(&mut self) {
        let now = self.clock.now;
        let state = &mut self.key_value;
        let refill = now.since(state.refilled_at).0 as f64 / MILLIS_PER_SECOND * self.settings.key_value_rate;
        state.tokens = (state.tokens + refill).min(MAX_TOKENS);
        state.refilled_at = now;
        let mut deferred = VecDeque::new();
        while let Some(waiting) = state.waiting.pop_front() {
            let required_tokens = if waiting.purpose.is_urgent() { CALL_TOKENS } else { CALL_TOKENS + RESERVED_TOKENS };
            if now < waiting.not_before || state.tokens < required_tokens {
                deferred.push_back(waiting);
                continue;
            }
            state.tokens -= CALL_TOKENS;
            let call = KeyValueCall(state.next_call);
            state.next_call += 1;
            state.calls.insert(call, waiting.purpose);
            self.effects.push(Effect::KeyValue { call, operation: waiting.operation });
        }
        state.waiting = deferred;
    }

    pub(super) fn on_key_value(&mut self, call: KeyValueCall, outcome: KeyValueOutcome) {
        let Some(purpose) = self.key_value.calls.remove(&call) else { return };
        self.update_availability(&outcome);
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
            KeyValuePurpose::WriteGroups(record) => self.on_groups_written(&record, outcome),
        }
    }

    fn update_availability(&mut self, outcome: &KeyValueOutcome) {
        let is_available = !matches!(outcome, KeyValueOutcome::NoAnswer);
        if !is_available {
            self.counters.key_value_failures += 1;
        }
        if is_available != self.key_value.is_available {
            self.key_value.is_available = is_available;
            let event = if is_available { LogEvent::PlatformRecovered } else { LogEvent::PlatformUnavailable };
            self.log(event, "key-value service");
        }
    }
}
