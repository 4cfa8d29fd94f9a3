//! Per-request decision traces, shown by `stallmoor explain`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::EngineName;
use crate::node::routing::Candidate;

/// Maximum number of explanations retained by a node.
const MAX_EXPLANATIONS: usize = 4_096;

/// A decision made while processing a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionStep {
    /// The request was admitted.
    Admitted {
        /// The service that serves the requested model.
        service: String,
    },
    /// The mark of a non-repeatable request was replicated.
    Marked,
    /// The session's record was found.
    SessionFound {
        /// The engine that has the session's KV cache.
        engine: EngineName,
        /// Generation of the session record, incremented each time the session is placed.
        generation: u64,
    },
    /// The session's record could not be read in time, so the request was routed without it.
    SessionUnavailable,
    /// An engine was selected.
    Chosen {
        /// The engine concerned.
        engine: EngineName,
        /// The candidates, each with the reason it was or was not selected.
        considered: Vec<String>,
        /// Index of the first token requested from the engine.
        from_token: u32,
    },
    /// The engine did not return a complete answer.
    EngineFailed {
        /// The engine concerned.
        engine: EngineName,
        /// Description of the failure.
        cause: String,
    },
    /// The request was refused.
    Refused {
        /// Error code.
        code: String,
        /// Details of the error.
        detail: String,
    },
    /// The complete answer was sent.
    Answered {
        /// Number of tokens in the answer.
        tokens: u32,
    },
    /// The caller disconnected.
    CallerGone,
}

/// The decision trace of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Request ID.
    pub id: Arc<str>,
    /// Decisions in order, each with the milliseconds elapsed since the request arrived.
    pub steps: Vec<(u64, DecisionStep)>,
}

/// The most recent explanations of a node; the oldest are evicted first.
#[derive(Clone, Debug, Default)]
pub struct ExplanationStore {
    explanations: BTreeMap<Arc<str>, Explanation>,
    order: VecDeque<Arc<str>>,
}

impl ExplanationStore {
    /// Appends a decision to the explanation of request `id`.
    pub fn record_step(&mut self, id: &Arc<str>, after_ms: u64, step: DecisionStep) {
        if !self.explanations.contains_key(id) {
            self.order.push_back(id.clone());
            let explanation = Explanation { id: id.clone(), steps: Vec::new() };
            self.explanations.insert(id.clone(), explanation);
        }
        if let Some(explanation) = self.explanations.get_mut(id) {
            explanation.steps.push((after_ms, step));
        }
        while self.order.len() > MAX_EXPLANATIONS {
            if let Some(oldest) = self.order.pop_front() {
                self.explanations.remove(&oldest);
            }
        }
    }

    /// Returns the explanation of request `id`, if it is still retained.
    pub fn get(&self, id: &str) -> Option<&Explanation> {
        self.explanations.get(id)
    }
}

impl From<&Candidate> for String {
    fn from(candidate: &Candidate) -> Self {
        format!(
            "{}: {} online of {} slots, {} blocks cached: {}",
            candidate.engine, candidate.online, candidate.slots, candidate.cached_blocks, candidate.reason
        )
    }
}
