//! The replicated state of one replica group: batch jobs with their items and results, marks of
//! non-repeatable requests, and session records.
//!
//! The state changes only through [`Command`]s, which are applied deterministically in log order.
//! Commands are idempotent, because a client retries a command whose answer was lost: applying one
//! again changes nothing and returns the same outcome.

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
