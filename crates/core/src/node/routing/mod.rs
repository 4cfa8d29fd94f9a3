//! Engine state and engine selection for online requests.

mod engine_table;
mod load;
mod prefix_index;
mod selector;

pub use engine_table::{EngineState, EngineTable, LeavingFact};
pub use load::LoadReport;
pub use prefix_index::{BlockHash, CacheEvent, CacheEventBatch, PrefixIndex, prompt_blocks};
pub use selector::{Candidate, OnlineDemand, RoutingRefusal, Selection, select_online};
