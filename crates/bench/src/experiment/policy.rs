//! The policies, and the feeder of those that don't use stallmoor's batch.

use std::collections::VecDeque;

/// What happens to batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// As stallmoor does it: credits from stewards, pause and resume.
    Stallmoor,
    /// There is no batch.
    OnlineOnly,
    /// Batch is sent as if it were online.
    Blind,
    /// A fixed part of the engines takes batch, the others online.
    Partitioned,
    /// Batch is sent at once with the engines' lower priority, and never yields.
    PriorityOnly,
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 5] =
        [Self::Stallmoor, Self::OnlineOnly, Self::Blind, Self::Partitioned, Self::PriorityOnly];

    /// The policy of a name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name() == name)
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Stallmoor => "stallmoor",
            Self::OnlineOnly => "online-only",
            Self::Blind => "blind",
            Self::Partitioned => "partitioned",
            Self::PriorityOnly => "priority-only",
        }
    }

    /// Whether batch goes to engines by the feeder rather than by stallmoor.
    pub fn uses_feeder(self) -> bool {
        matches!(self, Self::Blind | Self::Partitioned | Self::PriorityOnly)
    }

    /// How many of the engines online requests may use.
    pub fn online_engines(self, engines: usize) -> usize {
        match self {
            Self::Partitioned => engines - Self::batch_part(engines),
            _ => engines,
        }
    }

    /// Which engines batch may use.
    pub fn batch_engines(self, engines: usize) -> std::ops::Range<usize> {
        match self {
            Self::Partitioned => engines - Self::batch_part(engines)..engines,
            _ => 0..engines,
        }
    }

    /// The priority that the feeder gives batch.
    pub fn batch_priority(self) -> u32 {
        match self {
            Self::PriorityOnly => 10,
            _ => 0,
        }
    }

    /// A third of the engines.
    fn batch_part(engines: usize) -> usize {
        engines / 3
    }
}

/// An item that waits for an engine.
#[derive(Clone, Debug)]
pub struct FeederItem {
    /// Its prompt.
    pub prompt: String,
    /// When it should be complete, in microseconds.
    pub deadline_us: u64,
}

/// Items of the policies that don't use stallmoor's batch, in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct Feeder {
    /// Items that wait.
    pub waiting: VecDeque<FeederItem>,
}
