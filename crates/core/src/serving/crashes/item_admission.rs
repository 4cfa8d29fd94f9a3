//! Whether a batch item under which workers crashed may run.

use std::sync::Arc;

use super::digest::{RequestDigest, RequestKeys};
use super::evidence::Attribution;
use super::ledger::CrashLedger;
use super::report::CrashedRun;
use super::trial_lanes::DueTrial;
use super::trials::{CALM_PERIOD, ItemAdmission, ItemWait, NextTrial, WaitReason, is_calm};
use crate::time::UnixMillis;

/// The quarantine of a batch item.
#[derive(Clone, Debug, Default)]
struct ItemQuarantine {
    /// Time at which the next trial is due.
    due: UnixMillis,
    /// Why it is not due before.
    reason: WaitReason,
    /// Number of trials that failed.
    failed: usize,
    /// Service and number of workers at the last crash.
    service: Arc<str>,
    workers: u32,
    crashes: usize,
}

fn waits(reason: WaitReason, crashes: usize, until: UnixMillis) -> ItemAdmission {
    ItemAdmission::Waits(ItemWait { reason, crashes, until })
}

impl CrashLedger {
    /// Returns whether a batch item with these digests may run now, if no part of its prompt is tracked; see
    /// [`CrashLedger::admit_item_with_parts`].
    pub fn admit_item(&mut self, mut digests: impl Iterator<Item = RequestDigest>, now: UnixMillis) -> ItemAdmission {
        let Some(content) = digests.next() else { return ItemAdmission::Runs };
        let keys = RequestKeys { content, prompt: digests.next(), parts: Arc::default() };
        self.admit_item_with_parts(&keys, 0, now)
    }

    /// Returns whether a batch item may run now on a fleet with `nodes` gateways. After [`ItemAdmission::Trial`] the item has to
    /// be sent to a worker, or [`CrashLedger::cancel_trial`] be called.
    pub fn admit_item_with_parts(&mut self, keys: &RequestKeys, nodes: u32, now: UnixMillis) -> ItemAdmission {
        if self.trials.is_behind(keys.content, now) {
            return waits(WaitReason::Turn, self.crashes_of(keys.content), now);
        }
        // Unless its trial is still due, it must not keep others waiting.
        self.trials.leave(keys.content);
        let Some(quarantine) = self.quarantine_of_item(keys, now) else {
            return self.admit_to_ended_quarantines(keys, ItemAdmission::Runs, nodes, now);
        };
        let ItemQuarantine { due, reason, failed, service, workers, crashes } = quarantine;
        if let Some(until) = self.trials.result_due(keys.content, now) {
            return waits(WaitReason::Result, crashes, until);
        }
        if due > now {
            return waits(reason, crashes, due);
        }
        let trial = DueTrial { item: keys.content, due, failed };
        if !self.trials.start(trial, &service, workers, now) {
            return waits(WaitReason::Turn, crashes, now);
        }
        self.admit_to_ended_quarantines(keys, ItemAdmission::Trial, nodes, now)
    }

    /// Returns the quarantine of a batch item whose next trial is due last: that of its digests or of a prompt part.
    fn quarantine_of_item(&self, keys: &RequestKeys, now: UnixMillis) -> Option<ItemQuarantine> {
        let of_digests = keys.digests().filter_map(|digest| self.item_quarantine(digest, now));
        let of_parts = keys.parts.iter().filter_map(|part| {
            let of_requests = self.parts.item_trial_due(part.digest, now);
            let due = of_requests.max(self.item_parts.item_trial_due(part.digest, now))?;
            Some(ItemQuarantine { due, reason: WaitReason::Part, ..ItemQuarantine::default() })
        });
        of_digests.chain(of_parts).max_by_key(|quarantine| quarantine.due)
    }

    /// Returns `admission`, unless another request is tried with a prompt part whose quarantine has ended.
    fn admit_to_ended_quarantines(
        &mut self,
        keys: &RequestKeys,
        admission: ItemAdmission,
        nodes: u32,
        now: UnixMillis,
    ) -> ItemAdmission {
        let mut refused = None;
        for ledger in [&mut self.parts, &mut self.item_parts] {
            for part in keys.parts.iter() {
                if ledger.quarantined_for(part.digest, now).is_none() {
                    refused = refused.max(ledger.admit(part.digest, nodes, now));
                }
            }
        }
        let Some(refused) = refused else { return admission };
        self.trials.cancel(keys.content);
        waits(WaitReason::Part, 0, UnixMillis(now.0.saturating_add(refused.0)))
    }

    /// Records that an item that was admitted was not sent to a worker.
    pub fn cancel_trial(&mut self, keys: &RequestKeys) {
        self.trials.cancel(keys.content);
    }

    /// Returns the quarantine of a batch item, or `None` if the item is not quarantined.
    fn item_quarantine(&self, digest: RequestDigest, now: UnixMillis) -> Option<ItemQuarantine> {
        let mut crashes = self.weighed_crashes(digest);
        crashes.sort_by_key(|weighed| weighed.crash.observation.at);
        let attribution = Attribution::of(&crashes);
        let until = self.quarantine_end(digest, attribution.excess()?);
        let last_run = crashes.last()?.crash.run;
        let is_calm = last_run.is_none_or(|run| self.is_calm(run, now));
        let next = NextTrial::after(&crashes, now);
        let (due, reason) = next.due(is_calm, now);
        let quarantine = ItemQuarantine {
            due,
            reason,
            failed: next.failed,
            service: last_run.map(|run| run.service.clone()).unwrap_or_default(),
            workers: last_run.map_or(0, |run| run.workers),
            crashes: attribution.counted(),
        };
        (until > now).then_some(quarantine)
    }

    fn crashes_of(&self, digest: RequestDigest) -> usize {
        self.suspects.get(digest).map_or(0, |suspect| suspect.evidence().total)
    }

    fn is_calm(&self, run: &CrashedRun, now: UnixMillis) -> bool {
        let since = UnixMillis(now.0.saturating_sub(CALM_PERIOD.0));
        is_calm(self.timeline.count(&run.service, since, now, &[]), run.workers)
    }
}
