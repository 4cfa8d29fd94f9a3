//! The validated configuration types.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::identity::EngineName;
use crate::time::Millis;

/// A validated configuration. All references between its entries resolve.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfiguration {
    /// Fleet-wide settings.
    pub fleet: Fleet,
    /// Zones, keyed by name.
    pub zones: BTreeMap<Arc<str>, Zone>,
    /// Services, keyed by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Models, keyed by name.
    pub models: BTreeMap<Arc<str>, Model>,
    /// Engines, keyed by name.
    pub engines: BTreeMap<EngineName, Engine>,
    /// Tenants, keyed by name.
    pub tenants: BTreeMap<Arc<str>, Tenant>,
}

/// Fleet-wide settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// The fleet's name.
    pub name: Arc<str>,
    /// Number of replica groups to create. Read only when the fleet is bootstrapped.
    pub replica_groups: u32,
    /// Retention period of finished jobs, marks and idle sessions.
    pub retention: Millis,
}

/// A failure domain: machines that may fail together.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// The zone's name, unique in the fleet.
    pub name: Arc<str>,
}

/// A set of models that are served by the same engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name, unique in the fleet.
    pub name: Arc<str>,
    /// Fraction of each engine's slots reserved for online requests.
    pub online_headroom: f64,
    /// Maximum number of online requests queued at an engine, as a fraction of its slots.
    pub online_queue: f64,
    /// Engine priority of online requests; lower values run first.
    pub online_priority: u32,
    /// Engine priority of batch items; lower values run first.
    pub batch_priority: u32,
    /// Minimum interval between batch streams that a node starts at one engine, so that their prefills
    /// don't fall into the same iteration.
    pub batch_start_interval: Millis,
    /// Maximum number of tokens generated per request.
    pub max_tokens: u32,
    /// Default deadline of online requests.
    pub online_deadline: Millis,
}

/// A model and its adapters.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The model's name, unique in the fleet.
    pub name: Arc<str>,
    /// The service that offers the model.
    pub service: Arc<str>,
    /// The version that engines should load.
    pub version: Arc<str>,
    /// Names of the model's adapters.
    pub adapters: Vec<Arc<str>>,
}

/// An inference engine and the machine that runs it.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The engine's name, which is also the machine's name in the machine list.
    pub name: EngineName,
    /// The address on which the engine accepts requests.
    pub address: SocketAddr,
    /// The zone of the machine.
    pub zone: Arc<str>,
    /// The service whose models the engine serves.
    pub service: Arc<str>,
    /// Maximum number of sequences decoded concurrently.
    pub slots: u32,
}

/// A tenant and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's name, unique in the fleet.
    pub name: Arc<str>,
    /// Maximum number of online requests in flight per node.
    pub requests_in_flight: u32,
    /// Weight of the tenant's share of batch capacity, relative to other tenants.
    pub batch_weight: u32,
}

impl FleetConfiguration {
    /// Returns the service that offers a model.
    pub fn service_of_model(&self, model: &str) -> Option<&Service> {
        let model = self.models.get(model)?;
        self.services.get(&model.service)
    }
}
