//! The life of one online request.

mod explanation;
mod request;
mod retry_budget;
mod session_cache;

pub use explanation::{DecisionStep, Explanation, ExplanationStore};
pub use request::{Delivery, OnlineCall, OnlinePhase, OnlineRequest, PieceOutcome};
pub use retry_budget::RetryBudget;
pub use session_cache::SessionCache;
