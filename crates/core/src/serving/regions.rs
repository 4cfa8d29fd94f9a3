//! Regions: the region of each zone, and where the data of a route or tenant may be stored.
//!
//! The map of zones comes from the settings and does not change while the process runs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

/// The name of a region, as used in the settings and the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegionName(Arc<str>);

impl RegionName {
    /// Creates a region name; any text is accepted.
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }
}

impl fmt::Display for RegionName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The regions in which a request may run and its data may be stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum AllowedRegions {
    /// No restriction.
    #[default]
    Any,
    /// Only these regions; an empty set allows none.
    Only(Arc<BTreeSet<RegionName>>),
}

impl AllowedRegions {
    /// Allows only the given regions.
    pub fn only(names: impl IntoIterator<Item = RegionName>) -> Self {
        Self::Only(Arc::new(names.into_iter().collect()))
    }

    /// Returns the regions that both allow.
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

/// Maps each zone to its region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionMap {
    by_zone: BTreeMap<Arc<str>, RegionName>,
}

impl RegionMap {
    /// Creates a map from pairs of zone and region.
    pub fn new(zones: impl IntoIterator<Item = (Arc<str>, RegionName)>) -> Self {
        Self { by_zone: zones.into_iter().collect() }
    }

    /// Returns whether the zone exists. If the settings list no zones, any name is accepted.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.by_zone.is_empty() || self.by_zone.contains_key(zone)
    }

    /// Returns whether data may be stored in the zone. A zone without a known region is allowed only if all regions
    /// are.
    pub fn allows(&self, allowed: &AllowedRegions, zone: &str) -> bool {
        match allowed {
            AllowedRegions::Any => true,
            AllowedRegions::Only(names) => self.by_zone.get(zone).is_some_and(|region| names.contains(region)),
        }
    }
}
