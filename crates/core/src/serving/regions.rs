//! Regions: which zone lies in which, and where data of a route or tenant may be.
//!
//! Owns the map of zones, which comes from the settings and doesn't change while a process runs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

/// The name of a region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegionName(Arc<str>);

impl RegionName {
    /// Builds a name from text.
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }
}

impl fmt::Display for RegionName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The regions in which a request may run and its data may lie.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// All of them.
    #[default]
    Any,
    /// Only these; none at all if the set is empty.
    Only(Arc<BTreeSet<RegionName>>),
}

impl AllowedRegions {
    /// Only the regions that are named.
    pub fn only(names: impl IntoIterator<Item = RegionName>) -> Self {
        Self::Only(Arc::new(names.into_iter().collect()))
    }

    /// The regions that both allow.
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, other) => other.clone(),
            (own, Self::Any) => own.clone(),
            (Self::Only(own), Self::Only(other)) => Self::only(own.intersection(other).cloned()),
        }
    }
}

impl fmt::Display for AllowedRegions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => formatter.write_str("any region"),
            Self::Only(names) if names.is_empty() => formatter.write_str("no region"),
            Self::Only(names) => {
                let names: Vec<String> = names.iter().map(RegionName::to_string).collect();
                formatter.write_str(&names.join(", "))
            }
        }
    }
}

/// In which region each zone lies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionMap {
    by_zone: BTreeMap<Arc<str>, RegionName>,
}

impl RegionMap {
    /// The map of these zones.
    pub fn new(zones: impl IntoIterator<Item = (Arc<str>, RegionName)>) -> Self {
        Self { by_zone: zones.into_iter().collect() }
    }

    /// Whether there is such a zone. Every zone may exist where the settings name none.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.by_zone.is_empty() || self.by_zone.contains_key(zone)
    }

    /// Whether data may lie in a zone. A zone that is in no known region is only good where any region is.
    pub fn allows(&self, allowed: &AllowedRegions, zone: &str) -> bool {
        match allowed {
            AllowedRegions::Any => true,
            AllowedRegions::Only(names) => self.by_zone.get(zone).is_some_and(|region| names.contains(region)),
        }
    }
}
