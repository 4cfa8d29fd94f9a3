//! Load reports of engines.

/// Load reported by an engine. It may lag behind the actual load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Incarnation number, which increases with each start of the engine.
    pub incarnation: u64,
    /// Number of sequences the engine can decode concurrently.
    pub slots: u32,
    /// Number of running online sequences.
    pub running_online: u32,
    /// Number of running batch sequences.
    pub running_batch: u32,
    /// Number of queued online sequences.
    pub queued_online: u32,
    /// Number of queued batch sequences.
    pub queued_batch: u32,
    /// Whether the engine is shutting down and accepts no new work.
    pub leaving: bool,
    /// Loaded model versions, as `model@version`.
    pub loaded: Vec<String>,
}

impl LoadReport {
    /// Returns the number of running and queued online sequences.
    pub fn online(&self) -> u32 {
        self.running_online + self.queued_online
    }
}
