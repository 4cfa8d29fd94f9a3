//! Operators who apply configuration files, sometimes concurrently.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::Rng;
use stallmoor_core::error::ErrorKind;
use stallmoor_core::node::configuration::{ApplyId, Bundle, Manifest};
use stallmoor_core::node::{CallerAnswer, CallerCall, OperatorCall};

use super::callers::{MODEL, TENANT};
use super::calls::CallPurpose;
use super::events::SimEvent;
use super::nodes::{ZONE_COUNT, zone_name};
use super::oracle;
use super::world::World;

/// Mean interval between two changes.
const MEAN_INTERVAL_MS: u64 = 15_000;
/// Key under which the manifest is stored.
const MANIFEST_KEY: &str = "configuration/manifest";

/// One change as observed by its operator.
struct Change {
    id: ApplyId,
    /// Whether the change was refused as not applied.
    refused: bool,
    /// Slot of the node that received the change.
    slot: usize,
}

/// State of the operators.
#[derive(Default)]
pub struct OperatorModel {
    changes: Vec<Change>,
    /// Index of the change that was accepted as each revision.
    accepted: BTreeMap<u64, usize>,
    /// Accepted revisions that some nodes have not applied yet.
    propagating: BTreeMap<u64, Propagation>,
    /// Newest accepted revision.
    pub newest_accepted: u64,
    /// Longest time until an accepted revision reached all undisturbed nodes, in milliseconds.
    pub max_propagation_ms: u64,
}

struct Propagation {
    accepted_ms: u64,
    waiting: BTreeSet<usize>,
}

impl World {
    /// Applies a change; sometimes two operators do so concurrently.
    pub fn step_operators(&mut self) {
        let gap = self.random.random_range(1..=2 * MEAN_INTERVAL_MS);
        let is_first = self.operators.newest_accepted == 0;
        let wait = if is_first { 1_500 } else { gap };
        if self.is_fault_free() && !is_first {
            return;
        }
        self.schedule(wait, SimEvent::OperatorStep);
        let count = if self.random.random_bool(0.3) { 2 } else { 1 };
        if count == 2 {
            *self.faults.counts.entry("operators_race").or_default() += 1;
        }
        for _ in 0..count {
            self.apply_change();
        }
    }

    fn apply_change(&mut self) {
        self.count("changes_sent");
        let number = self.operators.changes.len();
        let id = ApplyId(self.random.random());
        let bundle = self.bundle(number);
        let slot = self.random_node();
        self.operators.changes.push(Change { id, refused: false, slot });
        // The operator's base is the revision in force at that node.
        let expected_revision = self.slots[slot].node.as_ref().map(|node| node.configuration_revision());
        let call = CallerCall::Operator(OperatorCall::Apply { id, bundle, expected_revision });
        self.call(slot, CallPurpose::Apply(number), call);
    }

    fn bundle(&self, number: usize) -> Bundle {
        let mut zones = String::new();
        for zone in 0..ZONE_COUNT {
            zones.push_str(&format!("[[zone]]\nname = \"{}\"\nregion = \"region\"\n\n", zone_name(zone)));
        }
        let fleet = format!("[fleet]\nname = \"simulated\"\nreplica_groups = 4\n\n{zones}");
        let service = format!(
            "[[service]]\nname = \"service\"\nmax_tokens = 512\n\n[[model]]\nname = \"{MODEL}\"\nservice = \"service\"\nversion = \"{}\"\n",
            number / 3
        );
        let tenants = format!("[[tenant]]\nname = \"{TENANT}\"\nrequests_in_flight = {}\n", 1_000 + number);
        let files = [
            ("fleet.toml", fleet),
            ("services.toml", service),
            ("machines.toml", self.machines_file()),
            ("tenants.toml", tenants),
        ];
        Bundle { files: files.into_iter().map(|(name, text)| (name.to_owned(), Arc::from(text))).collect() }
    }

    /// Handles the answer to a change.
    pub fn on_applied(&mut self, change: usize, answer: Option<CallerAnswer>) {
        match answer {
            Some(CallerAnswer::Applied { revision, changed: true }) => self.accept_change(change, revision),
            Some(CallerAnswer::Refused(refusal)) => {
                self.count("changes_refused");
                let not_applied = [ErrorKind::ConfigurationConflict, ErrorKind::PlatformUnavailable];
                self.operators.changes[change].refused = not_applied.contains(&refusal.kind);
            }
            _ => {}
        }
    }

    fn accept_change(&mut self, change: usize, revision: u64) {
        self.count("changes_accepted");
        let now_ms = self.now_ms;
        let Change { id, slot, .. } = self.operators.changes[change];
        // The answer holds the newest revision; the change's own revision is in the manifest.
        let own_revision = self.stored_manifest().and_then(|manifest| manifest.revision_of(id)).unwrap_or(revision);
        let other = self.operators.accepted.insert(own_revision, change);
        self.oracle.check(oracle::ONE_CHANGE_PER_REVISION, other.is_none(), now_ms, || {
            format!("revision {own_revision} was accepted for two changes")
        });
        self.operators.newest_accepted = self.operators.newest_accepted.max(own_revision);
        let waiting = (0..self.slots.len())
            .filter(|slot| {
                self.slots[*slot].node.as_ref().is_some_and(|node| node.configuration_revision() < own_revision)
            })
            // A node that has discovered no other node is not part of the fleet.
            .filter(|slot| self.slots[*slot].node.as_ref().is_some_and(|node| node.status().members_present > 1));
        let propagation = Propagation { accepted_ms: now_ms, waiting: waiting.collect() };
        self.operators.propagating.insert(own_revision, propagation);
        self.on_accepted_change(slot);
    }

    /// Records that a revision is in force at a node.
    pub fn record_revision(&mut self, slot: usize, revision: u64) {
        let now_ms = self.now_ms;
        let disturbed = self.slots[slot].disturbed_ms.max(self.faults.disturbed_ms);
        let has_partitions = self.network.has_partitions();
        let mut worst = self.operators.max_propagation_ms;
        for (_, propagation) in self.operators.propagating.range_mut(..=revision) {
            // Only nodes that were not paused, partitioned or started in the meantime count.
            if propagation.waiting.remove(&slot) && disturbed < propagation.accepted_ms && !has_partitions {
                worst = worst.max(now_ms - propagation.accepted_ms);
            }
        }
        self.operators.max_propagation_ms = worst;
    }

    fn stored_manifest(&self) -> Option<Manifest> {
        self.key_value.value(MANIFEST_KEY).and_then(|value| serde_json::from_str(value).ok())
    }

    /// Checks at the end of the run that no change refused as not applied is in the manifest.
    pub fn check_operators_at_end(&mut self) {
        let now_ms = self.now_ms;
        let Some(manifest) = self.stored_manifest() else { return };
        let refused: Vec<ApplyId> =
            self.operators.changes.iter().filter(|change| change.refused).map(|change| change.id).collect();
        for id in refused {
            let is_applied = manifest.revision_of(id).is_some();
            self.oracle.check(oracle::REFUSED_CHANGE_NOT_APPLIED, !is_applied, now_ms, || {
                format!("change {id:?} was refused as not applied, but it was")
            });
        }
    }
}
