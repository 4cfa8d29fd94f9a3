//! Commits configuration changes and distributes revisions between nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::Rng;

use super::effect::{Effect, KeyValueOperation};
use super::event::{CallerAnswer, KeyValueOutcome};
use super::key_value_flow::KeyValuePurpose;
use super::machine::Node;
use crate::error::{ErrorKind, Refusal};
use crate::identity::{CallerId, NodeId};
use crate::log_event::LogEvent;
use crate::node::configuration::apply::ApplyAnswer;
use crate::node::configuration::bundle::PartContents;
use crate::node::configuration::replica::OfferOutcome;
use crate::node::configuration::{
    ActiveConfiguration, ApplyId, ApplyOutcome, ApplyStep, Bundle, ConfigurationApply, Manifest, PartDigest,
};
use crate::peer_message::{ConfigurationMessage, PeerMessage};
use crate::time::{Millis, Timestamp};

/// Key of the manifest in the key-value service.
pub(super) const MANIFEST_KEY: &str = "configuration/manifest";
/// Key prefix of parts; the digest follows in hexadecimal.
const PART_PREFIX: &str = "configuration/part/";
/// Number of nodes that poll the manifest.
const CONFIGURATION_WATCHERS: usize = 3;
/// Number of nodes to which each node offers a revision that it activates.
const OFFER_FANOUT: usize = 4;
/// Interval between requests for missing parts.
const FETCH_INTERVAL: Millis = Millis(400);
/// Number of other nodes that must activate an accepted revision before the operator receives a response, so
/// that the revision survives the loss of this node while the key-value service is down.
const REQUIRED_CONFIRMATIONS: usize = 2;
/// Maximum wait for confirmations. The revision stays accepted after a timeout.
const CONFIRMATION_TIMEOUT: Millis = Millis(2_000);
/// Delay before a failed step of a change is retried.
const APPLY_BACKOFF: Millis = Millis(150);

/// An accepted change that waits for confirmations by other nodes.
struct Confirmation {
    revision: u64,
    changed: bool,
    needed: usize,
    confirmed_by: BTreeSet<NodeId>,
    deadline: Timestamp,
}

/// The node's pending configuration changes, poll times and source of the pending revision.
pub(super) struct ConfigurationState {
    applies: BTreeMap<CallerId, ConfigurationApply>,
    confirmations: BTreeMap<CallerId, Confirmation>,
    next_manifest_poll: Timestamp,
    next_fetch: Timestamp,
    source: Option<NodeId>,
}

impl ConfigurationState {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            applies: BTreeMap::new(),
            confirmations: BTreeMap::new(),
            next_manifest_poll: now,
            next_fetch: now,
            source: None,
        }
    }
}

impl Node {
    /// Restores the persisted configuration if it passes validation.
    pub(super) fn restore_configuration(&mut self, persisted: Option<(Manifest, PartContents)>) {
        let Some((manifest, contents)) = persisted else { return };
        self.configuration.offer(manifest);
        for (digest, content) in contents {
            self.configuration.offer_part(digest, content);
        }
        if let Some(active) = self.configuration.active().cloned() {
            self.engines.configure(&active.fleet);
            self.membership.set_configuration_revision(active.manifest.revision);
        }
    }

    // Changes by operators.

    /// Returns whether an operator waits for the result of a change.
    pub(super) fn has_pending_applies(&self) -> bool {
        !self.configuration_state.applies.is_empty() || !self.configuration_state.confirmations.is_empty()
    }

    pub(super) fn begin_apply(
        &mut self,
        caller: CallerId,
        id: ApplyId,
        bundle: Bundle,
        expected_revision: Option<u64>,
    ) {
        if let Err(errors) = bundle.check() {
            self.log(LogEvent::ConfigurationRefused, format!("{} errors", errors.len()));
            self.answer(caller, CallerAnswer::Invalid(errors));
            return;
        }
        let apply = ConfigurationApply::new(id, bundle, expected_revision, self.clock.now);
        let step = apply.begin();
        self.configuration_state.applies.insert(caller, apply);
        self.execute_apply_step(caller, step, Millis(0));
    }

    fn execute_apply_step(&mut self, caller: CallerId, step: ApplyStep, wait: Millis) {
        let operation = match step {
            ApplyStep::ReadManifest => KeyValueOperation::Get { key: MANIFEST_KEY.to_owned() },
            ApplyStep::WritePart(digest) => {
                let apply = self.configuration_state.applies.get(&caller);
                let content = apply.and_then(|apply| apply.bundle().parts().get(&digest).cloned());
                let value = content.unwrap_or_default().to_string();
                KeyValueOperation::CompareAndSwap { key: part_key(digest), expected: 0, value }
            }
            ApplyStep::SwapManifest { expected, manifest } => {
                let Ok(value) = serde_json::to_string(&manifest) else { return };
                KeyValueOperation::CompareAndSwap { key: MANIFEST_KEY.to_owned(), expected, value }
            }
            ApplyStep::Done(outcome) => {
                self.end_apply(caller, outcome);
                return;
            }
        };
        self.call_key_value_after(KeyValuePurpose::Apply(caller), operation, wait);
    }

    pub(super) fn on_apply_answer(&mut self, caller: CallerId, outcome: KeyValueOutcome) {
        let now = self.clock.now;
        let is_part = self.configuration_state.applies.get(&caller).is_some_and(ConfigurationApply::writes_parts);
        let Some(apply) = self.configuration_state.applies.get_mut(&caller) else { return };
        let answer = match outcome {
            KeyValueOutcome::Value { version, value } => match serde_json::from_str(&value) {
                Ok(manifest) => ApplyAnswer::Manifest(Some((version, manifest))),
                Err(_) => ApplyAnswer::NoAnswer,
            },
            KeyValueOutcome::NotFound => ApplyAnswer::Manifest(None),
            // Parts are content-addressed, so an existing part needs no write.
            KeyValueOutcome::Written | KeyValueOutcome::VersionMismatch if is_part => ApplyAnswer::PartWritten,
            KeyValueOutcome::Written => ApplyAnswer::Swapped,
            KeyValueOutcome::VersionMismatch => ApplyAnswer::VersionMismatch,
            KeyValueOutcome::NoAnswer => ApplyAnswer::NoAnswer,
        };
        let wait = if answer == ApplyAnswer::NoAnswer { APPLY_BACKOFF } else { Millis(0) };
        let step = apply.on_answer(answer, now);
        self.execute_apply_step(caller, step, wait);
    }

    fn end_apply(&mut self, caller: CallerId, outcome: ApplyOutcome) {
        let Some(apply) = self.configuration_state.applies.remove(&caller) else { return };
        match outcome {
            ApplyOutcome::Accepted(manifest) => {
                let revision = manifest.revision;
                self.log(LogEvent::ConfigurationAccepted, format!("revision {revision}"));
                self.offer_manifest(manifest, Some(&apply.bundle().parts()));
                self.await_confirmations(caller, revision, true);
            }
            ApplyOutcome::Unchanged(manifest) => {
                let revision = manifest.revision;
                self.offer_manifest(manifest, Some(&apply.bundle().parts()));
                self.await_confirmations(caller, revision, false);
            }
            ApplyOutcome::Conflict { current } => {
                let detail = format!("revision {current} is in force; nothing was applied");
                self.log(LogEvent::ConfigurationRefused, detail.clone());
                self.refuse(caller, ErrorKind::ConfigurationConflict, detail);
            }
            ApplyOutcome::Unavailable => {
                self.refuse(caller, ErrorKind::PlatformUnavailable, "nothing was applied");
            }
            ApplyOutcome::Unknown => {
                let detail = "the change may be in force; compare `status` and apply again if it is not";
                let refusal = Refusal::new(ErrorKind::ConfigurationOutcomeUnknown, detail);
                self.answer(caller, CallerAnswer::Refused(refusal));
            }
        }
    }

    fn await_confirmations(&mut self, caller: CallerId, revision: u64, changed: bool) {
        let others = self.membership.present().filter(|member| member.id != self.settings.id).count();
        let confirmation = Confirmation {
            revision,
            changed,
            needed: REQUIRED_CONFIRMATIONS.min(others),
            confirmed_by: BTreeSet::new(),
            deadline: self.clock.now + CONFIRMATION_TIMEOUT,
        };
        self.configuration_state.confirmations.insert(caller, confirmation);
        self.finish_confirmations();
    }

    /// Counts a peer whose active revision is `revision` toward the confirmations of accepted changes.
    fn record_confirmation(&mut self, peer: NodeId, revision: u64) {
        for confirmation in self.configuration_state.confirmations.values_mut() {
            if revision >= confirmation.revision {
                confirmation.confirmed_by.insert(peer);
            }
        }
        self.finish_confirmations();
    }

    fn finish_confirmations(&mut self) {
        let now = self.clock.now;
        let is_done = |confirmation: &Confirmation| {
            confirmation.confirmed_by.len() >= confirmation.needed || now >= confirmation.deadline
        };
        let done: Vec<CallerId> = self
            .configuration_state
            .confirmations
            .iter()
            .filter(|(_, confirmation)| is_done(confirmation))
            .map(|(caller, _)| *caller)
            .collect();
        for caller in done {
            if let Some(Confirmation { revision, changed, .. }) = self.configuration_state.confirmations.remove(&caller)
            {
                self.answer(caller, CallerAnswer::Applied { revision, changed });
            }
        }
    }

    fn expire_applies(&mut self) {
        let now = self.clock.now;
        let expired: Vec<CallerId> = self
            .configuration_state
            .applies
            .iter()
            .filter(|(_, apply)| now >= apply.deadline())
            .map(|(caller, _)| *caller)
            .collect();
        for caller in expired {
            let outcome = self.configuration_state.applies.get(&caller).map(ConfigurationApply::timeout_outcome);
            if let Some(outcome) = outcome {
                self.end_apply(caller, outcome);
            }
        }
    }

    // Polling and distribution.

    pub(super) fn tick_configuration(&mut self) {
        let now = self.clock.now;
        self.expire_applies();
        self.finish_confirmations();
        if now >= self.configuration_state.next_manifest_poll {
            let poll = self.settings.configuration_poll.0;
            // Jitter between 0.5 and 1.5 intervals prevents the watchers from reading at the same time.
            let wait = Millis(poll / 2 + self.random.random_range(0..=poll));
            self.configuration_state.next_manifest_poll = now + wait;
            // Other nodes receive revisions from the watchers: if every node polled, a cold start of the whole
            // fleet would overload the service.
            let is_alone = self.membership.present().count() <= 1;
            if is_alone || self.has_duty("configuration", CONFIGURATION_WATCHERS) {
                let operation = KeyValueOperation::Get { key: MANIFEST_KEY.to_owned() };
                self.call_key_value(KeyValuePurpose::WatchManifest, operation);
            }
        }
        if now >= self.configuration_state.next_fetch {
            self.configuration_state.next_fetch = now + FETCH_INTERVAL;
            self.fetch_missing_parts();
        }
        self.send_waiting_calls();
    }

    pub(super) fn on_watched_manifest(&mut self, outcome: KeyValueOutcome) {
        if let KeyValueOutcome::Value { value, .. } = outcome
            && let Ok(manifest) = serde_json::from_str::<Manifest>(&value)
        {
            self.offer_manifest(manifest, None);
        }
    }

    fn offer_manifest(&mut self, manifest: Manifest, contents: Option<&PartContents>) {
        let mut offer = self.configuration.offer(manifest);
        for (digest, content) in contents.into_iter().flatten() {
            if matches!(offer, OfferOutcome::Missing(_)) {
                offer = self.configuration.offer_part(*digest, content.clone());
            }
        }
        self.on_offer(offer);
    }

    pub(super) fn on_offer(&mut self, offer: OfferOutcome) {
        match offer {
            OfferOutcome::Activated => self.on_configuration_activated(),
            OfferOutcome::Missing(_) | OfferOutcome::NotNewer => {}
            OfferOutcome::Invalid => {
                self.log(LogEvent::ConfigurationRefused, "an accepted revision does not pass this version's check");
            }
        }
    }

    fn on_configuration_activated(&mut self) {
        let Some(active) = self.configuration.active().cloned() else { return };
        let revision = active.manifest.revision;
        self.engines.configure(&active.fleet);
        self.membership.set_configuration_revision(revision);
        if self.settings.stores {
            self.effects.push(Effect::PersistConfiguration(Arc::<ActiveConfiguration>::clone(&active)));
        }
        self.log(LogEvent::ConfigurationInForce, format!("revision {revision}"));
        let from = self.settings.id;
        let mut receivers = self.membership.sample_present(OFFER_FANOUT);
        // The source of the revision counts this node as a confirmation.
        receivers.extend(self.configuration_state.source.take().filter(|source| !receivers.contains(source)));
        for node in receivers {
            self.send(node, PeerMessage::Configuration(ConfigurationMessage::Offer { from, revision }));
        }
        self.batch.is_dirty = true;
    }

    /// Requests missing parts from the source of the revision, from a random node, and, if no call is
    /// waiting, the first of them from the key-value service.
    fn fetch_missing_parts(&mut self) {
        let digests = self.configuration.missing();
        if digests.is_empty() {
            return;
        }
        let from = self.settings.id;
        let mut sources = self.membership.sample_present(1);
        sources.extend(self.configuration_state.source);
        for node in sources {
            let request = ConfigurationMessage::PartsRequest { from, digests: digests.clone() };
            self.send(node, PeerMessage::Configuration(request));
        }
        if self.key_value.is_idle()
            && let Some(digest) = digests.first()
        {
            let operation = KeyValueOperation::Get { key: part_key(*digest) };
            self.call_key_value(KeyValuePurpose::FetchPart(*digest), operation);
        }
    }

    pub(super) fn on_peer_revision(&mut self, peer: NodeId, revision: u64) {
        let from = self.settings.id;
        let active_revision = self.configuration.revision();
        self.record_confirmation(peer, revision);
        if revision > self.configuration.newest_revision() {
            self.send(peer, PeerMessage::Configuration(ConfigurationMessage::ManifestRequest { from }));
        } else if revision < active_revision {
            let offer = ConfigurationMessage::Offer { from, revision: active_revision };
            self.send(peer, PeerMessage::Configuration(offer));
        }
    }

    pub(super) fn on_configuration_message(&mut self, message: ConfigurationMessage) {
        match message {
            ConfigurationMessage::Offer { from, revision } => {
                self.record_confirmation(from, revision);
                if revision > self.configuration.newest_revision() {
                    self.on_peer_revision(from, revision);
                }
            }
            ConfigurationMessage::ManifestRequest { from } => {
                if let Some(active) = self.configuration.active() {
                    let manifest = active.manifest.clone();
                    let local_id = self.settings.id;
                    let answer = ConfigurationMessage::ManifestAnswer { from: local_id, manifest };
                    self.send(from, PeerMessage::Configuration(answer));
                }
            }
            ConfigurationMessage::ManifestAnswer { from, manifest } => {
                self.configuration_state.source = Some(from);
                let offer = self.configuration.offer(manifest);
                self.on_offer(offer);
                self.fetch_missing_parts();
            }
            ConfigurationMessage::PartsRequest { from, digests } => self.send_parts(from, &digests),
            ConfigurationMessage::PartAnswer { digest, content } => {
                let offer = self.configuration.offer_part(digest, content);
                self.on_offer(offer);
            }
        }
    }

    fn send_parts(&mut self, to: NodeId, digests: &[PartDigest]) {
        for digest in digests {
            if let Some(content) = self.configuration.part(*digest).cloned() {
                let answer = ConfigurationMessage::PartAnswer { digest: *digest, content };
                self.send(to, PeerMessage::Configuration(answer));
            }
        }
    }
}

fn part_key(digest: PartDigest) -> String {
    format!("{PART_PREFIX}{:016x}", digest.0)
}
