//! Requests batch capacity from engine stewards and applies the limits they grant.
//!
//! Decides which engines to request capacity from, and how much. `batch_flow` provides the runnable jobs.

use std::collections::BTreeMap;

use super::batch_flow::RunnableJob;
use super::machine::Node;
use crate::hashing::{hash_bytes, hash_parts, rendezvous};
use crate::identity::EngineName;
use crate::log_event::LogEvent;
use crate::node::scheduling::{EngineLimit, StreamEnd};
use crate::peer_message::{CreditMessage, PeerMessage};
use crate::time::Millis;

/// Maximum number of engines of one service from which a node requests capacity.
const MAX_ENGINES_PER_SERVICE: usize = 24;
/// Maximum number of startable items reported as demand.
const MAX_DEMAND: u32 = 4_096;

impl Node {
    pub(super) fn request_capacity(&mut self) {
        let Some(fleet) = self.fleet() else { return };
        if self.stopping.is_some() {
            return;
        }
        let jobs = self.runnable_jobs(&fleet);
        let mut wanted: BTreeMap<EngineName, u32> = BTreeMap::new();
        for service in fleet.services.keys() {
            let demand = self.startable_items(&jobs, service);
            if demand > 0 {
                for engine in self.capacity_candidates(service) {
                    wanted.insert(engine, demand);
                }
            }
        }
        for engine in self.batch.dispatcher.engines_in_use() {
            wanted.entry(engine.clone()).or_insert(0);
        }
        let unneeded: Vec<EngineName> =
            self.batch.requested.iter().filter(|engine| !wanted.contains_key(*engine)).cloned().collect();
        for engine in unneeded {
            self.send_capacity_request(&engine, 0);
        }
        self.batch.requested = wanted.keys().cloned().collect();
        for (engine, demand) in wanted {
            let wanted_streams = demand + self.batch.dispatcher.streams_at(&engine) as u32;
            self.send_capacity_request(&engine, wanted_streams);
        }
    }

    pub(super) fn cancel_capacity_requests(&mut self) {
        for engine in std::mem::take(&mut self.batch.requested) {
            self.send_capacity_request(&engine, 0);
        }
    }

    fn send_capacity_request(&mut self, engine: &EngineName, wanted_streams: u32) {
        let from = self.settings.id;
        let message = CreditMessage::Request { engine: engine.clone(), from, wanted_streams };
        self.send(self.steward_of(engine), PeerMessage::Credit(message));
    }

    fn startable_items(&self, jobs: &[RunnableJob], service: &str) -> u32 {
        let now = self.clock.now;
        let mut demand = 0;
        for job in jobs.iter().filter(|job| &*job.service == service) {
            if self.batch.dispatcher.has_startable(job.job, job.item_count, now) {
                let stored_job = self.groups.get(job.job.group).and_then(|hosted| hosted.state.job(job.job));
                demand += stored_job.map_or(0, |stored| job.item_count - stored.completed);
            }
        }
        demand.min(MAX_DEMAND)
    }

    /// Returns usable engines of a service. If there are more than the maximum, each node selects a
    /// different subset.
    fn capacity_candidates(&self, service: &str) -> Vec<EngineName> {
        let now = self.clock.now;
        let usable = self.engines.of_service(service).filter(|(_, state)| state.is_usable(now));
        let key = hash_parts(&[b"ask", &self.settings.id.0.to_le_bytes()]);
        let names = usable.map(|(name, _)| name);
        rendezvous(key, names, |name| hash_bytes(name.0.as_bytes()), MAX_ENGINES_PER_SERVICE)
            .into_iter()
            .cloned()
            .collect()
    }

    pub(super) fn on_batch_grant(&mut self, engine: EngineName, limit: u32, lifetime: Millis) {
        let until = self.clock.now + lifetime;
        self.batch.dispatcher.set_limit(engine.clone(), EngineLimit { limit, until });
        let excess = self.batch.dispatcher.excess(&engine);
        if !excess.is_empty() {
            self.counters.batch_paused += excess.len() as u64;
            self.log(LogEvent::BatchYielded, format!("{} streams at {engine}", excess.len()));
        }
        for attempt in excess {
            self.stop_stream(attempt, StreamEnd::Paused);
        }
        self.batch.is_dirty = true;
    }
}
