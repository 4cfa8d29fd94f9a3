//! Accounting of engine work: slot time, completed and wasted items, and the error of the nodes' load estimates.
//!
//! Owns the rule that capacity counts as idle only while batch items wait. Must be called before each change of
//! an engine's streams, so that elapsed time is attributed to the previous state.

use stallmoor_core::identity::AttemptId;
use stallmoor_core::node::RequestClass;

use super::engines::StreamOwner;
use super::workload::WARM_UP_US;
use super::world::World;

impl World<'_> {
    /// Updates whether batch items are waiting, after attributing elapsed slot time to the previous state.
    pub(super) fn update_backlog(&mut self) {
        let has_waiting = self.backlog > self.batch_at_engines;
        if has_waiting != self.has_waiting_batch {
            for engine in 0..self.engines.len() {
                self.count_slot_time(engine);
            }
            self.has_waiting_batch = has_waiting;
        }
    }

    pub(super) fn add_stream(&mut self, attempt: AttemptId, owner: StreamOwner) {
        self.batch_at_engines += u64::from(owner.class == RequestClass::Batch);
        self.streams.insert(attempt, owner);
        self.update_backlog();
    }

    pub(super) fn remove_stream(&mut self, attempt: AttemptId) -> Option<StreamOwner> {
        let stream = self.streams.remove(&attempt)?;
        self.batch_at_engines -= u64::from(stream.class == RequestClass::Batch);
        self.update_backlog();
        Some(stream)
    }

    pub(super) fn on_item_done(&mut self, stream: &StreamOwner) {
        // A second run of an item is wasted work.
        if self.deadlines.remove(&stream.prompt).is_none() {
            self.metrics.wasted_tokens += u64::from(stream.tokens);
            return;
        }
        self.backlog = self.backlog.saturating_sub(1);
        self.update_backlog();
        self.metrics.items += 1;
        if self.now_us > stream.deadline_us {
            self.metrics.items_late += 1;
        }
    }

    /// Adds the slot time since the last update, using the engine's actual load.
    pub(super) fn count_slot_time(&mut self, engine: usize) {
        let now = self.now_us;
        let slots = self.profile.engine().slots;
        let slot = &mut self.engines[engine];
        let span = now - slot.counted_us;
        slot.counted_us = now;
        if now < WARM_UP_US || span == 0 {
            return;
        }
        let load = slot.emulator.load();
        // Capacity counts as idle only while there is batch work that could use it.
        if self.has_waiting_batch {
            self.metrics.idle_slot_us += span * slots.saturating_sub(load.running_online) as u64;
            self.metrics.batch_slot_us += span * load.running_batch as u64;
        }
    }

    /// Compares the nodes' load estimates with the actual load.
    pub(super) fn sample_load(&mut self) {
        let now = self.clock().now;
        for node in &self.nodes {
            for (name, estimate) in node.estimated_loads(now) {
                let index = name.0.strip_prefix("engine-").and_then(|index| index.parse::<usize>().ok());
                let Some(slot) = index.and_then(|index| self.engines.get(index)) else { continue };
                let load = slot.emulator.load();
                let true_online = (load.running_online + load.queued_online) as f64;
                self.metrics.load_error.0 += (f64::from(estimate) - true_online).abs();
                self.metrics.load_error.1 += 1;
            }
        }
    }
}
