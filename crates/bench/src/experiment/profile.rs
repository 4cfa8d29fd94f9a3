//! The two adopters' fleets and loads.

use stallmoor_emulator::EngineSettings;

/// Whose fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// Three zones, 12 workers; batch throughput weighs more.
    Tubigwatch,
    /// Four zones, 18 workers; the online tail weighs more.
    Vidyapath,
}

impl Profile {
    /// The profile of a name.
    pub fn parse(name: &str) -> Option<Self> {
        [Self::Tubigwatch, Self::Vidyapath].into_iter().find(|profile| profile.name() == name)
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Tubigwatch => "tubigwatch",
            Self::Vidyapath => "vidyapath",
        }
    }

    /// Zones.
    pub fn zones(self) -> usize {
        match self {
            Self::Tubigwatch => 3,
            Self::Vidyapath => 4,
        }
    }

    /// Workers, each one engine.
    pub fn workers(self) -> usize {
        match self {
            Self::Tubigwatch => 12,
            Self::Vidyapath => 18,
        }
    }

    /// The mean time between two heaps of batch jobs, in microseconds.
    pub fn heap_gap_us(self) -> u64 {
        match self {
            Self::Tubigwatch => 8_000_000,
            Self::Vidyapath => 9_000_000,
        }
    }

    /// The share of slots that batch leaves free, as the example set has it.
    pub fn headroom(self) -> f64 {
        match self {
            Self::Tubigwatch => 0.06,
            Self::Vidyapath => 0.12,
        }
    }

    /// One way between two zones, in microseconds: just under a millisecond.
    pub fn zone_latency_us(self) -> u64 {
        900
    }

    /// One way within a zone, in microseconds.
    pub fn local_latency_us(self) -> u64 {
        250
    }

    /// One way between a caller and a node, in microseconds.
    pub fn caller_latency_us(self) -> u64 {
        3_000
    }

    /// The age of a load report, in microseconds.
    pub fn report_lag_us(self) -> u64 {
        200_000
    }

    /// What its engines are like.
    pub fn engine(self) -> EngineSettings {
        EngineSettings::default()
    }

    /// Online requests a second between bursts.
    pub fn base_rate(self) -> f64 {
        self.workers() as f64 * 4.0
    }

    /// Online requests a second within a burst.
    pub fn burst_rate(self) -> f64 {
        self.workers() as f64 * 18.0
    }
}
