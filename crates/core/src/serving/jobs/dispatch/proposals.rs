//! What is logged of the items: the commands to propose, and which of them were proposed.

use std::sync::Arc;

use super::super::command::{ItemFailures, ItemKey, ItemOrigin, ItemProgress, JobCommand, LoggedOutput, PartialOutput};
use super::{Dispatcher, Phase};

/// The number of new events after which an item's progress is logged. Limits the size of the log.
const MIN_PROGRESS_EVENTS: u64 = 24;

impl Dispatcher {
    /// Returns the items whose logged output has to be discarded before further output of them is logged.
    pub fn restarts_due(&self) -> Option<JobCommand> {
        (!self.restarted.is_empty()).then(|| JobCommand::Restart(self.restarted.iter().cloned().collect()))
    }

    /// Records that the command of [`Dispatcher::restarts_due`] was proposed.
    pub fn record_proposed_restarts(&mut self) {
        self.restarted.clear();
    }

    /// Returns commands for all results that are not yet committed.
    pub fn uncommitted_results(&self) -> Vec<JobCommand> {
        self.finished.iter().filter_map(|key| self.result_of(key)).collect()
    }

    /// Returns commands for the results that were not proposed yet. Those that wait for a commit are not copied again.
    pub fn unproposed_results(&self) -> Vec<JobCommand> {
        self.unproposed.iter().filter_map(|key| self.result_of(key)).collect()
    }

    /// Records that a result was proposed.
    pub fn record_proposed_result(&mut self, command: &JobCommand) {
        if let JobCommand::Finish { key, .. } = command {
            self.unproposed.remove(key);
        }
    }

    /// Returns the command for the result of a finished item, unless its logged output has to be discarded first.
    fn result_of(&self, key: &ItemKey) -> Option<JobCommand> {
        let open_item = self.items.get(key)?;
        let Phase::Finished { state } = open_item.phase else { return None };
        if self.restarted.contains(key) {
            return None;
        }
        let text = open_item.output.text.get(open_item.logged.bytes..).unwrap_or_default();
        Some(JobCommand::Finish { key: key.clone(), state, after: open_item.logged, text: Arc::from(text) })
    }

    /// Returns the output of a running item that is not yet logged, or `None` while it is small.
    pub fn progress_of(&self, key: &ItemKey, output: &PartialOutput) -> Option<ItemProgress> {
        if self.restarted.contains(key) {
            return None;
        }
        let logged = self.items.get(key)?.logged;
        let is_due = output.last_event.unwrap_or(0) >= logged.last_event.unwrap_or(0) + MIN_PROGRESS_EVENTS;
        let text = output.text.get(logged.bytes..).filter(|_| is_due)?;
        Some(ItemProgress { key: key.clone(), after: logged, text: Arc::from(text), last_event: output.last_event })
    }

    /// Returns the command that logs the origins of progress, which has to precede it; `None` if they are logged.
    pub fn origins_of(&self, progress: &[ItemProgress]) -> Option<JobCommand> {
        let unlogged = |item: &ItemProgress| {
            let open_item = self.items.get(&item.key)?;
            let origin = open_item.origin.clone().filter(|_| open_item.origin != open_item.logged_origin)?;
            Some(ItemOrigin { key: item.key.clone(), origin })
        };
        let origins: Vec<ItemOrigin> = progress.iter().filter_map(unlogged).collect();
        (!origins.is_empty()).then_some(JobCommand::Origins(origins))
    }

    /// Records that origins were proposed.
    pub fn record_proposed_origins(&mut self, command: &JobCommand) {
        let JobCommand::Origins(origins) = command else { return };
        for ItemOrigin { key, origin } in origins {
            if let Some(open_item) = self.items.get_mut(key) {
                open_item.logged_origin = Some(origin.clone());
            }
        }
    }

    /// Records that progress was proposed. The next increment starts after it.
    pub fn record_proposed_progress(&mut self, progress: &ItemProgress) {
        if let Some(item) = self.items.get_mut(&progress.key) {
            let bytes = progress.after.bytes + progress.text.len();
            item.logged = LoggedOutput { bytes, last_event: progress.last_event };
        }
    }

    /// Returns the failed runs that are not yet logged, or `None` if there are none.
    pub fn unlogged_failures(&self) -> Option<Vec<ItemFailures>> {
        let count = |key: &ItemKey| {
            let failures = self.items.get(key)?.failures.total();
            Some(ItemFailures { key: key.clone(), failures })
        };
        let failures: Vec<ItemFailures> = self.failed.iter().filter_map(count).collect();
        (!failures.is_empty()).then_some(failures)
    }

    /// Records that failed runs were proposed.
    pub fn record_proposed_failures(&mut self, failures: &[ItemFailures]) {
        for item in failures {
            if self.failures(&item.key) == item.failures {
                self.failed.remove(&item.key);
            }
        }
    }
}
