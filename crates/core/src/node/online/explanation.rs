//! What was decided for a request, step by step, for `stallmoor explain`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::EngineName;
use crate::node::routing::Candidate;

/// Most explanations kept on a node.
const CAPACITY: usize = 4_096;

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionStep {
    /// The request was taken in.
    Admitted {
        /// The service that offers its model.
        service: String,
    },
    /// The mark of a not-repeatable request is replicated.
    Marked,
    /// The session's record was found.
    SessionFound {
        /// The engine that holds the session.
        engine: EngineName,
        /// How often the session has moved.
        generation: u64,
    },
    /// The session's record could not be read in time, so the request was placed without it.
    SessionUnavailable,
    /// An engine was chosen.
    Chosen {
        /// The engine.
        engine: EngineName,
        /// Those considered, with the reason for each.
        considered: Vec<String>,
        /// The token to start from.
        from_token: u32,
    },
    /// The engine did not give a whole answer.
    EngineFailed {
        /// The engine.
        engine: EngineName,
        /// What happened.
        cause: String,
    },
    /// The request was refused.
    Refused {
        /// The code of the refusal.
        code: String,
        /// What exactly was wrong.
        detail: String,
    },
    /// The whole answer was sent.
    Answered {
        /// Tokens in the answer.
        tokens: u32,
    },
    /// The caller went away.
    CallerGone,
}

/// All decisions for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The request's id.
    pub id: Arc<str>,
    /// Milliseconds since the request came in, and the decision.
    pub steps: Vec<(u64, DecisionStep)>,
}

/// The latest explanations of a node.
#[derive(Clone, Debug, Default)]
pub struct ExplanationStore {
    explanations: BTreeMap<Arc<str>, Explanation>,
    order: VecDeque<Arc<str>>,
}

impl ExplanationStore {
    /// Notes a decision.
    pub fn note(&mut self, id: &Arc<str>, after_ms: u64, step: DecisionStep) {
        if !self.explanations.contains_key(id) {
            self.order.push_back(id.clone());
            let explanation = Explanation { id: id.clone(), steps: Vec::new() };
            self.explanations.insert(id.clone(), explanation);
        }
        if let Some(explanation) = self.explanations.get_mut(id) {
            explanation.steps.push((after_ms, step));
        }
        while self.order.len() > CAPACITY {
            if let Some(oldest) = self.order.pop_front() {
                self.explanations.remove(&oldest);
            }
        }
    }

    /// The decisions for a request.
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
