//! What an engine reports of its load.

/// What an engine reports of its load. It lags behind the truth.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Raised with each start of the engine.
    pub incarnation: u64,
    /// Sequences it can decode at once.
    pub slots: u32,
    /// Online sequences that run.
    pub running_online: u32,
    /// Batch sequences that run.
    pub running_batch: u32,
    /// Online sequences that wait.
    pub queued_online: u32,
    /// Batch sequences that wait.
    pub queued_batch: u32,
    /// The engine takes no new work.
    pub leaving: bool,
    /// Model versions it has loaded, as `model@version`.
    pub loaded: Vec<String>,
}

impl LoadReport {
    /// Online sequences that run or wait.
    pub fn online(&self) -> u32 {
        self.running_online + self.queued_online
    }
}
