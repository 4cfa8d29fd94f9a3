//! What the operators' files say, as checked types.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::identity::EngineName;
use crate::time::Millis;

/// A checked set of files. References between its parts hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfiguration {
    /// The fleet as a whole.
    pub fleet: Fleet,
    /// Zones by name.
    pub zones: BTreeMap<Arc<str>, Zone>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Models by name.
    pub models: BTreeMap<Arc<str>, Model>,
    /// Engines by name.
    pub engines: BTreeMap<EngineName, Engine>,
    /// Tenants by name.
    pub tenants: BTreeMap<Arc<str>, Tenant>,
}

/// The fleet as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// Its name.
    pub name: Arc<str>,
    /// How many replica groups are founded. Read once, when the fleet starts.
    pub replica_groups: u32,
    /// How long ended jobs, marks and idle sessions stay readable.
    pub retention: Millis,
}

/// A zone: machines that may fail together.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Its name.
    pub name: Arc<str>,
}

/// A service: models that are offered on the same engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// The share of each engine's slots that batch leaves free.
    pub online_headroom: f64,
    /// How many online requests may wait at an engine, as a share of its slots.
    pub online_queue: f64,
    /// The priority that online requests carry at the engine; lower runs first.
    pub online_priority: u32,
    /// The priority that batch items carry at the engine.
    pub batch_priority: u32,
    /// Shortest time between two starts of batch streams at one engine by one node, so that their
    /// prefills don't fall into one iteration.
    pub batch_start_interval: Millis,
    /// Most tokens generated for one request.
    pub max_tokens: u32,
    /// The deadline of an online request that names none.
    pub online_deadline: Millis,
}

/// A model.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: Arc<str>,
    /// The service that offers it.
    pub service: Arc<str>,
    /// The version that engines should have loaded.
    pub version: Arc<str>,
    /// Its adapters.
    pub adapters: Vec<Arc<str>>,
}

/// A back end, and the machine that carries it.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Its name, which is also the machine's name in the machine list.
    pub name: EngineName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// How many sequences it decodes at once.
    pub slots: u32,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: Arc<str>,
    /// Most online requests in flight at one node.
    pub requests_in_flight: u32,
    /// Its share of batch capacity, against other tenants.
    pub batch_weight: u32,
}

impl FleetConfiguration {
    /// The service that offers a model.
    pub fn service_of_model(&self, model: &str) -> Option<&Service> {
        let model = self.models.get(model)?;
        self.services.get(&model.service)
    }
}
