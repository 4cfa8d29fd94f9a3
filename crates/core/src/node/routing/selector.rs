//! Which engine serves an online request.
//!
//! A session stays on its engine while that engine has room, because its KV cache is there. Otherwise
//! the engine with the longest cached prefix among a few candidates is taken, the candidates being the
//! same for equal prompts (rendezvous hashing); and if they are busy, the least loaded of all.

use std::collections::BTreeSet;

use super::engine_table::{EngineState, EngineTable};
use super::prefix_index::{BlockHash, PrefixIndex};
use crate::hashing::{hash_bytes, rendezvous};
use crate::identity::EngineName;
use crate::node::configuration::fleet::Service;
use crate::time::Timestamp;

/// How many candidates rendezvous hashing gives for an affinity.
const AFFINITY_CANDIDATES: usize = 3;
/// A candidate is busy once its online load passes this share of its slots.
const BUSY_LOAD_FRACTION: f64 = 0.5;
/// The `Retry-After` for a full fleet, in milliseconds.
const OVERLOAD_RETRY_MS: u64 = 500;

/// What a request asks of routing.
#[derive(Clone, Debug)]
pub struct OnlineDemand<'a> {
    /// The service that offers the model.
    pub service: &'a Service,
    /// Requests with the same affinity prefer the same engines.
    pub affinity: u64,
    /// The prompt's blocks.
    pub blocks: &'a [BlockHash],
    /// The engine that holds the session.
    pub session_engine: Option<&'a EngineName>,
    /// Engines that failed this request before.
    pub excluded: &'a BTreeSet<EngineName>,
    /// The caller's nearest zone, which is this node's.
    pub zone: &'a str,
}

/// An engine that was considered, for the explanation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineName,
    /// Online sequences believed to be there.
    pub online: u32,
    /// Its slots.
    pub slots: u32,
    /// Leading blocks of the prompt believed to be cached there.
    pub cached_blocks: usize,
    /// Why it was taken or not.
    pub reason: &'static str,
}

/// The engine taken, and those considered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selection {
    /// The engine taken.
    pub engine: EngineName,
    /// Those considered.
    pub considered: Vec<Candidate>,
}

/// Why no engine was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingRefusal {
    /// No engine of the service is usable.
    NoEngine,
    /// Every usable engine is full and its queue too.
    Overloaded {
        /// When to retry, in milliseconds from now.
        retry_after_ms: u64,
    },
}

/// Chooses an engine for an online request.
///
/// # Errors
///
/// The refusal, if no usable engine has room.
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
    let taken = selector
        .session_engine(&usable)
        .or_else(|| selector.affinity_engine(&usable))
        .or_else(|| selector.least_loaded(&usable));
    match taken {
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
    /// The session's own engine, while it has a slot for the request.
    fn session_engine(&mut self, usable: &[(&EngineName, &EngineState)]) -> Option<EngineName> {
        let session_engine = self.demand.session_engine?;
        let (name, state) = usable.iter().find(|(name, _)| *name == session_engine)?;
        let has_capacity = state.estimated_online(self.now) < state.slots();
        let reason = if has_capacity { "taken: holds the session" } else { "holds the session but is full" };
        self.consider(name, state, reason);
        has_capacity.then(|| (*name).clone())
    }

    /// The candidate with the longest cached prefix that is not busy.
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

    /// The engine with the lowest online load for its slots; among equals one of this zone.
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
