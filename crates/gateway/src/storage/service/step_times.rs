//! Measures the processor time of the service's steps by kind, for metrics and the log.
//!
//! All steps run in one task, so a kind of step that takes long delays heartbeats and every answer.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::time::{Millis, Timestamp};

use crate::observe::journal::{Field, record};
use crate::observe::measures;

/// Minimum time between two log lines.
const LOG_INTERVAL: Millis = Millis(10_000);
/// Minimum time between two updates of the metrics. An update for each step would cost more than most steps.
const METRICS_INTERVAL: Millis = Millis(1_000);

/// A kind of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// A message of another replica.
    Replication,
    /// A load report of a gateway or of a zone's aggregator.
    Loads,
    /// A report on the outcomes of runs.
    Outcomes,
    /// A report on the use of tenants' limits.
    Quota,
    /// A submission, read or end of a job, or another request.
    Requests,
    /// A completed write.
    Written,
    /// The end of an item's run.
    RunEnded,
    /// An update of the metadata store, or the result of a task.
    Updates,
    /// Periodic work.
    Tick,
    /// Periodic work of the replica.
    ReplicaTick,
    /// A check for changes of leadership, and the start of items.
    Dispatch,
}

impl Step {
    const ALL: [Self; 11] = [
        Self::Replication,
        Self::Loads,
        Self::Outcomes,
        Self::Quota,
        Self::Requests,
        Self::Written,
        Self::RunEnded,
        Self::Updates,
        Self::Tick,
        Self::ReplicaTick,
        Self::Dispatch,
    ];

    /// Returns the name used in log fields and as a metric label.
    fn name(self) -> &'static str {
        match self {
            Self::Replication => "replication",
            Self::Loads => "loads",
            Self::Outcomes => "outcomes",
            Self::Quota => "quota",
            Self::Requests => "requests",
            Self::Written => "written",
            Self::RunEnded => "run_ended",
            Self::Updates => "updates",
            Self::Tick => "tick",
            Self::ReplicaTick => "replica_tick",
            Self::Dispatch => "dispatch",
        }
    }
}

/// Steps of one kind since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct KindTimes {
    count: u64,
    total: Duration,
    longest: Duration,
    /// Longest step since the start of the process.
    longest_ever: Duration,
    /// The part of `count` and `total` that the metrics contain.
    published: (u64, Duration),
}

impl KindTimes {
    fn add(&mut self, time: Duration) {
        self.count += 1;
        self.total += time;
        self.longest = self.longest.max(time);
        self.longest_ever = self.longest_ever.max(time);
    }

    fn describe(&self, step: Step) -> String {
        let (total, longest) = (self.total.as_millis(), self.longest.as_millis());
        format!("{} {} in {total} ms, at most {longest} ms", step.name(), self.count)
    }
}

/// Processor time of the steps, by kind.
#[derive(Debug)]
pub(super) struct StepTimes {
    kinds: [KindTimes; Step::ALL.len()],
    /// Processor time of the thread at the end of the last step.
    measured_at: Duration,
    logged_at: Timestamp,
    published_at: Timestamp,
}

impl StepTimes {
    pub(super) fn new(now: Timestamp) -> Self {
        Self { kinds: Default::default(), measured_at: processor_time(), logged_at: now, published_at: now }
    }

    /// Records the start of a step.
    pub(super) fn start(&mut self) {
        self.measured_at = processor_time();
    }

    /// Records the end of a step that began with the last call of this function or of [`StepTimes::start`].
    pub(super) fn finish(&mut self, step: Step) {
        let measured_at = processor_time();
        let time = measured_at.saturating_sub(self.measured_at);
        self.measured_at = measured_at;
        self.kinds[step as usize].add(time);
    }

    /// Updates the metrics if it is due.
    pub(super) fn publish_if_due(&mut self, now: Timestamp) {
        if now.since(self.published_at) >= METRICS_INTERVAL {
            self.published_at = now;
            self.publish();
        }
    }

    fn publish(&mut self) {
        for (step, kind) in Step::ALL.iter().zip(&mut self.kinds) {
            let (count, total) = std::mem::replace(&mut kind.published, (kind.count, kind.total));
            if kind.count > count {
                measures::record_steps(step.name(), kind.count - count, kind.total - total, kind.longest_ever);
            }
        }
    }

    /// Writes a log line on the steps since the last one, if it is due.
    pub(super) fn log_if_due(&mut self, now: Timestamp) {
        let span = now.since(self.logged_at);
        if span < LOG_INTERVAL {
            return;
        }
        self.logged_at = now;
        self.publish();
        let kinds =
            Step::ALL.iter().map(|step| (*step, &self.kinds[*step as usize])).filter(|(_, kind)| kind.count > 0);
        let steps: Vec<String> = kinds.map(|(step, kind)| kind.describe(step)).collect();
        record(LogEvent::StepsMeasured, &[Field::number("span_ms", span.0), Field::text("steps", steps.join("; "))]);
        for kind in &mut self.kinds {
            *kind = KindTimes { longest_ever: kind.longest_ever, ..KindTimes::default() };
        }
    }
}

/// Returns the processor time that this thread has used.
fn processor_time() -> Duration {
    // Available on all supported systems; otherwise no times are measured.
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}
