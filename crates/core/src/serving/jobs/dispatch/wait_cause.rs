//! What a ready item lacks.

use std::fmt;
use std::sync::Arc;

use crate::serving::regions::AllowedRegions;
use crate::serving::workers::SoftwareVersion;

/// The workers that can take an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerNeeds {
    /// The service of the workers.
    pub service: Arc<str>,
    /// The only version that can continue the item's output; `None` if any version can run the item.
    pub version: Option<SoftwareVersion>,
    /// The regions in which the item may run.
    pub regions: AllowedRegions,
}

impl fmt::Display for WorkerNeeds {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, version, regions } = self;
        match version {
            Some(version) => write!(formatter, "{service} {version}, {regions}"),
            None => write!(formatter, "{service}, {regions}"),
        }
    }
}

/// What a ready item needs and does not have. Of items with equal needs none can start while another cannot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitCause {
    /// A worker with room.
    Worker(WorkerNeeds),
    /// A configuration of this version or a later one, which may have the items' route.
    Configuration(u64),
    /// Any configuration.
    AnyConfiguration,
}

impl WaitCause {
    /// The names of all causes.
    pub const NAMES: [&'static str; 4] = ["worker", "version", "configuration", "any_configuration"];

    /// Returns the name that is used in log fields and as a metric label.
    pub fn name(&self) -> &'static str {
        let [worker, version, configuration, any_configuration] = Self::NAMES;
        match self {
            Self::Worker(needs) if needs.version.is_some() => version,
            Self::Worker(_) => worker,
            Self::Configuration(_) => configuration,
            Self::AnyConfiguration => any_configuration,
        }
    }

    /// Returns the service of the worker that the items need, if they need one.
    pub fn service(&self) -> Option<&Arc<str>> {
        match self {
            Self::Worker(needs) => Some(&needs.service),
            Self::Configuration(_) | Self::AnyConfiguration => None,
        }
    }
}

impl fmt::Display for WaitCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Worker(needs) => needs.fmt(formatter),
            Self::Configuration(version) => write!(formatter, "configuration {version}"),
            Self::AnyConfiguration => formatter.write_str("any configuration"),
        }
    }
}
