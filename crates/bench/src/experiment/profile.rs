//! Profiles of fleets and their loads.

use stallmoor_emulator::EngineSettings;

/// A fleet and its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// Three zones and 12 workers, with emphasis on batch throughput.
    Tubigwatch,
    /// Four zones and 18 workers, with emphasis on online tail latency.
    Vidyapath,
}

impl Profile {
    /// Returns the profile with the given name.
    pub fn parse(name: &str) -> Option<Self> {
        [Self::Tubigwatch, Self::Vidyapath].into_iter().find(|profile| profile.name() == name)
    }

    /// Returns the name of the profile.
    pub fn name(self) -> &'static str {
        match self {
            Self::Tubigwatch => "tubigwatch",
            Self::Vidyapath => "vidyapath",
        }
    }

    /// Returns the number of zones.
    pub fn zones(self) -> usize {
        match self {
            Self::Tubigwatch => 3,
            Self::Vidyapath => 4,
        }
    }

    /// Returns the number of workers, each running one engine.
    pub fn workers(self) -> usize {
        match self {
            Self::Tubigwatch => 12,
            Self::Vidyapath => 18,
        }
    }

    /// Returns the mean interval between two bursts of batch jobs, in microseconds.
    pub fn job_burst_interval_us(self) -> u64 {
        match self {
            Self::Tubigwatch => 8_000_000,
            Self::Vidyapath => 9_000_000,
        }
    }

    /// Returns the fraction of slots that batch leaves free by default.
    pub fn headroom(self) -> f64 {
        match self {
            Self::Tubigwatch => 0.06,
            Self::Vidyapath => 0.12,
        }
    }

    /// Returns the one-way latency between two zones, in microseconds.
    pub fn zone_latency_us(self) -> u64 {
        900
    }

    /// Returns the one-way latency within a zone, in microseconds.
    pub fn local_latency_us(self) -> u64 {
        250
    }

    /// Returns the one-way latency between a caller and a node, in microseconds.
    pub fn caller_latency_us(self) -> u64 {
        3_000
    }

    /// Returns the age of load reports, in microseconds.
    pub fn report_lag_us(self) -> u64 {
        200_000
    }

    /// Returns the settings of the profile's engines.
    pub fn engine(self) -> EngineSettings {
        EngineSettings::default()
    }

    /// Returns the rate of online requests per second outside bursts.
    pub fn base_rate(self) -> f64 {
        self.workers() as f64 * 4.0
    }

    /// Returns the rate of online requests per second during a burst.
    pub fn burst_rate(self) -> f64 {
        self.workers() as f64 * 18.0
    }
}
