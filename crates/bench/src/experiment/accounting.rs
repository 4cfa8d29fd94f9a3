//! What is counted as engines work: slot time, finished and wasted items, and how far off the nodes' loads are.
//!
//! Owns the rule that capacity counts as idle only while batch items wait. Relies on being called before each
//! change of what an engine runs, so that time up to now is counted under what held until now.

use stallmoor_core::identity::AttemptId;
use stallmoor_core::node::RequestClass;

use super::engines::StreamOwner;
use super::workload::WARM_UP_US;
use super::world::World;

impl World<'_> {
    /// Slot time up to now is counted under what held until now.
    pub(super) fn note_backlog(&mut self) {
        let waits = self.backlog > self.batch_in_hand;
        if waits != self.batch_waits {
            for engine in 0..self.engines.len() {
                self.count_slot_time(engine);
            }
            self.batch_waits = waits;
        }
    }

    pub(super) fn add_stream(&mut self, attempt: AttemptId, owner: StreamOwner) {
        self.batch_in_hand += u64::from(owner.class == RequestClass::Batch);
        self.streams.insert(attempt, owner);
        self.note_backlog();
    }

    pub(super) fn remove_stream(&mut self, attempt: AttemptId) -> Option<StreamOwner> {
        let stream = self.streams.remove(&attempt)?;
        self.batch_in_hand -= u64::from(stream.class == RequestClass::Batch);
        self.note_backlog();
        Some(stream)
    }

    pub(super) fn on_item_done(&mut self, stream: &StreamOwner) {
        // A second run of an item is waste.
        if self.deadlines.remove(&stream.prompt).is_none() {
            self.measured.wasted_tokens += u64::from(stream.tokens);
            return;
        }
        self.backlog = self.backlog.saturating_sub(1);
        self.note_backlog();
        self.measured.items += 1;
        if self.now_us > stream.deadline_us {
            self.measured.items_late += 1;
        }
    }

    /// Adds the slot time since the last change, as the engine truly was.
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
        if self.batch_waits {
            self.measured.idle_slot_us += span * slots.saturating_sub(load.running_online) as u64;
            self.measured.batch_slot_us += span * load.running_batch as u64;
        }
    }

    /// Compares the load that nodes go by with the true one.
    pub(super) fn sample_load(&mut self) {
        let now = self.clock().now;
        for node in &self.nodes {
            for (name, estimate) in node.estimated_loads(now) {
                let place = name.0.strip_prefix("engine-").and_then(|place| place.parse::<usize>().ok());
                let Some(slot) = place.and_then(|place| self.engines.get(place)) else { continue };
                let load = slot.emulator.load();
                let true_online = (load.running_online + load.queued_online) as f64;
                self.measured.load_error.0 += (f64::from(estimate) - true_online).abs();
                self.measured.load_error.1 += 1;
            }
        }
    }
}
