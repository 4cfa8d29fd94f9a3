//! Plans which models engines load and unload.
//!
//! Concurrent loads are limited to protect the weight store. A model's previous version is unloaded only
//! after the desired one is loaded, so that the engine keeps serving.

use std::collections::BTreeMap;

use crate::identity::EngineName;
use crate::node::configuration::FleetConfiguration;

/// A load or unload order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelOrder {
    /// Load a model version, in the form `model@version`.
    Load(String),
    /// Unload a model version, in the form `model@version`.
    Unload(String),
}

/// The state of an engine as input to placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EnginePlacement {
    /// The name of the engine.
    pub engine: EngineName,
    /// The loaded model versions, in the form `model@version`.
    pub loaded: Vec<String>,
    /// Whether an order to the engine is pending.
    pub is_busy: bool,
}

/// Returns the next orders, with at most `max_concurrent_loads` loads pending. Engines with the fewest loaded
/// models come first.
pub fn plan_placement(
    fleet: &FleetConfiguration,
    engines: &[EnginePlacement],
    max_concurrent_loads: usize,
) -> BTreeMap<EngineName, ModelOrder> {
    let busy = engines.iter().filter(|engine| engine.is_busy).count();
    let mut remaining_loads = max_concurrent_loads.saturating_sub(busy);
    let mut idle: Vec<&EnginePlacement> = engines.iter().filter(|engine| !engine.is_busy).collect();
    idle.sort_by_key(|engine| engine.loaded.len());
    let mut orders = BTreeMap::new();
    for engine in idle {
        match next_order(fleet, engine) {
            Some(order @ ModelOrder::Load(_)) if remaining_loads > 0 => {
                remaining_loads -= 1;
                orders.insert(engine.engine.clone(), order);
            }
            Some(order @ ModelOrder::Unload(_)) => {
                orders.insert(engine.engine.clone(), order);
            }
            _ => {}
        }
    }
    orders
}

fn next_order(fleet: &FleetConfiguration, placement: &EnginePlacement) -> Option<ModelOrder> {
    let service = &fleet.engines.get(&placement.engine)?.service;
    let wanted: Vec<String> = fleet
        .models
        .values()
        .filter(|model| model.service == *service)
        .map(|model| format!("{}@{}", model.name, model.version))
        .collect();
    if let Some(missing) = wanted.iter().find(|model| !placement.loaded.contains(model)) {
        return Some(ModelOrder::Load(missing.clone()));
    }
    let surplus = placement.loaded.iter().find(|model| !wanted.contains(model))?;
    Some(ModelOrder::Unload(surplus.clone()))
}
