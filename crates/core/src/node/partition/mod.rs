//! The state that one replica group replicates: batch jobs with their items and results, marks of
//! requests that must not run twice, and session records.
//!
//! The state changes only by [`Command`]s applied in log order, and applying a command is a pure
//! function. Every command may arrive twice: applying it again changes nothing and gives the same
//! outcome, because an answer can be lost after the command took effect.

mod command;
mod job;
mod mark;
mod query;
mod session;
mod state;

pub use command::{Command, CommandOutcome, CompletedItem};
pub use job::{Item, ItemResult, ItemVerdict, Job, JobPhase, JobSpecification, JobSummary, NewItem};
pub use mark::{Mark, RequestKey, Settlement};
pub use query::{FinishedItem, Query, QueryAnswer};
pub use session::{SessionKey, SessionRecord};
pub use state::{OpenItem, PartitionState};
