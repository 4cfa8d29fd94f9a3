//! Which models engines should have loaded, and the next orders toward it.
//!
//! Loads are paced to what the weight store bears. A model's former version is unloaded only once the
//! wanted one is there, so that the engine goes on serving.

use std::collections::BTreeMap;

use crate::identity::EngineName;
use crate::node::configuration::FleetConfiguration;

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelOrder {
    /// Load a model version, written `model@version`.
    Load(String),
    /// Unload a model version.
    Unload(String),
}

/// One engine as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EnginePlacement {
    /// The engine.
    pub engine: EngineName,
    /// What it has loaded.
    pub loaded: Vec<String>,
    /// An order to it has no answer yet.
    pub is_busy: bool,
}

/// The next orders: at most `loads_at_once` loads under way, engines with the fewest models first.
pub fn plan_placement(
    fleet: &FleetConfiguration,
    engines: &[EnginePlacement],
    loads_at_once: usize,
) -> BTreeMap<EngineName, ModelOrder> {
    let busy = engines.iter().filter(|engine| engine.is_busy).count();
    let mut loads_left = loads_at_once.saturating_sub(busy);
    let mut idle: Vec<&EnginePlacement> = engines.iter().filter(|engine| !engine.is_busy).collect();
    idle.sort_by_key(|engine| engine.loaded.len());
    let mut orders = BTreeMap::new();
    for engine in idle {
        match next_order(fleet, engine) {
            Some(order @ ModelOrder::Load(_)) if loads_left > 0 => {
                loads_left -= 1;
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
