//! Engine selection for online requests.
//!
//! A session stays on the engine that has its KV cache while that engine has capacity. Otherwise
//! rendezvous hashing yields a few candidates, the same for equal prompts, and the one with the longest
//! cached prefix is selected. If all candidates are busy, the least loaded engine is selected.

use std::collections::BTreeSet;

use super::engine_table::{EngineState, EngineTable};
use super::prefix_index::{BlockHash, PrefixIndex};
use crate::hashing::{hash_bytes, rendezvous};
use crate::identity::EngineName;
use crate::node::configuration::fleet::Service;
use crate::time::Timestamp;

/// Number of candidates selected by rendezvous hashing.
const AFFINITY_CANDIDATES: usize = 3;
/// Fraction of its slots occupied by online requests at which a candidate is considered busy.
const BUSY_LOAD_FRACTION: f64 = 0.5;
/// `Retry-After` returned when all engines are full.
const OVERLOAD_RETRY_MS: u64 = 500;

/// Inputs of engine selection for a request.
#[derive(Clone, Debug)]
pub struct OnlineDemand<'a> {
    /// Service that serves the model.
    pub service: &'a Service,
    /// Requests with the same affinity prefer the same engines.
    pub affinity: u64,
    /// Block hashes of the prompt.
    pub blocks: &'a [BlockHash],
    /// Engine of the request's session, if it has one.
    pub session_engine: Option<&'a EngineName>,
    /// Engines on which an earlier attempt of the request failed.
    pub excluded: &'a BTreeSet<EngineName>,
    /// Zone of this node, preferred among equally loaded engines.
    pub zone: &'a str,
}

/// An engine considered during selection, recorded for the explanation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the engine.
    pub engine: EngineName,
    /// Estimated number of online sequences at the engine.
    pub online: u32,
    /// Number of sequences the engine decodes concurrently.
    pub slots: u32,
    /// Number of leading prompt blocks that are cached according to the prefix index.
    pub cached_blocks: usize,
    /// Why the engine was or was not selected.
    pub reason: &'static str,
}

/// Result of engine selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selection {
    /// Selected engine.
    pub engine: EngineName,
    /// Engines considered, in order.
    pub considered: Vec<Candidate>,
}

/// Reason that no engine was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingRefusal {
    /// No engine of the service is usable.
    NoEngine,
    /// The slots and queues of all usable engines are full.
    Overloaded {
        /// Delay in milliseconds before a retry is worthwhile.
        retry_after_ms: u64,
    },
}

/// Selects an engine for an online request.
///
/// # Errors
///
/// Returns a [`RoutingRefusal`] if no engine is usable or all usable engines are full.
pub fn select_online(
    table: &EngineTable,
    index: &PrefixIndex,
    demand: &OnlineDemand<'_>,
    now: Timestamp,
) -> Result<Selection, RoutingRefusal> {
    let usable: Vec<(&EngineName, &EngineState)> = table
        .of_service(&demand.service.name)
        .filter(|(name, state)| state.is_usable(now) && !demand.excluded.contains(*name))
        .collect();
    if usable.is_empty() {
        return Err(RoutingRefusal::NoEngine);
    }
    let mut selector = EngineSelector { index, demand, now, considered: Vec::new() };
    let selected = selector
        .session_engine(&usable)
        .or_else(|| selector.affinity_engine(&usable))
        .or_else(|| selector.least_loaded(&usable));
    match selected {
        Some(engine) => Ok(Selection { engine, considered: selector.considered }),
        None => Err(RoutingRefusal::Overloaded { retry_after_ms: OVERLOAD_RETRY_MS }),
    }
}

struct EngineSelector<'a> {
    index: &'a PrefixIndex,
    demand: &'a OnlineDemand<'a>,
    now: Timestamp,
    considered: Vec<Candidate>,
}

impl EngineSelector<'_> {
    /// Returns the engine of the session if it has a free slot.
    fn session_engine(&mut self, usable: &[(&EngineName, &EngineState)]) -> Option<EngineName> {
        let session_engine = self.demand.session_engine?;
        let (name, state) = usable.iter().find(|(name, _)| *name == session_engine)?;
        let has_capacity = state.estimated_online(self.now) < state.slots();
        let reason = if has_capacity { "taken: holds the session" } else { "holds the session but is full" };
        self.consider(name, state, reason);
        has_capacity.then(|| (*name).clone())
    }

    /// Returns the affinity candidate with the longest cached prefix, skipping busy ones.
    fn affinity_engine(&mut self, usable: &[(&EngineName, &EngineState)]) -> Option<EngineName> {
        let candidates = rendezvous(
            self.demand.affinity,
            usable.iter(),
            |(name, _)| hash_bytes(name.0.as_bytes()),
            AFFINITY_CANDIDATES,
        );
        let mut best: Option<(usize, EngineName)> = None;
        for (name, state) in candidates {
            let busy = f64::from(state.estimated_online(self.now)) >= BUSY_LOAD_FRACTION * f64::from(state.slots());
            let overlap = self.index.overlap(name, self.demand.blocks);
            self.consider(name, state, if busy { "affinity candidate but busy" } else { "affinity candidate" });
            if !busy && best.as_ref().is_none_or(|(longest, _)| overlap > *longest) {
                best = Some((overlap, (*name).clone()));
            }
        }
        best.map(|(_, engine)| engine)
    }

    /// Returns the engine with the lowest ratio of online load to slots, preferring the local zone on ties,
    /// unless its queue is full.
    fn least_loaded(&mut self, usable: &[(&EngineName, &EngineState)]) -> Option<EngineName> {
        let now = self.now;
        let zone = self.demand.zone;
        let load = |state: &EngineState| f64::from(state.estimated_online(now)) / f64::from(state.slots().max(1));
        let (name, state) = usable.iter().min_by(|(_, left), (_, right)| {
            let left_key = (load(left), &*left.configured.zone != zone);
            let right_key = (load(right), &*right.configured.zone != zone);
            left_key.partial_cmp(&right_key).unwrap_or(std::cmp::Ordering::Equal)
        })?;
        let has_capacity = load(state) < 1.0 + self.demand.service.online_queue;
        let reason = if has_capacity { "taken: least loaded" } else { "least loaded but its queue is full" };
        self.consider(name, state, reason);
        has_capacity.then(|| (*name).clone())
    }

    fn consider(&mut self, name: &EngineName, state: &EngineState, reason: &'static str) {
        self.considered.push(Candidate {
            engine: name.clone(),
            online: state.estimated_online(self.now),
            slots: state.slots(),
            cached_blocks: self.index.overlap(name, self.demand.blocks),
            reason,
        });
    }
}
