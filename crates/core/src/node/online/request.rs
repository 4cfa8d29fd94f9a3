//! State of one online request: its parameters, delivery progress, and whether it may be retried.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::identity::{AttemptId, EngineName};
use crate::node::partition::{SessionKey, SessionRecord};
use crate::node::routing::BlockHash;
use crate::time::{Millis, Timestamp};

/// An online call as received from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnlineCall {
    /// Unique request ID, under which the explanation is stored.
    pub id: Arc<str>,
    /// Tenant of the caller.
    pub tenant: Arc<str>,
    /// Name of the requested model.
    pub model: Arc<str>,
    /// Adapter to apply to the model, if any.
    pub adapter: Option<Arc<str>>,
    /// Session that the request belongs to, if any.
    pub session: Option<Arc<str>>,
    /// Idempotency key. Required for non-repeatable requests.
    pub key: Option<Arc<str>>,
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
    /// Time limit set by the caller; defaults to the service's limit.
    pub deadline: Option<Millis>,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Maximum number of tokens to generate; defaults to the service's limit.
    pub max_tokens: Option<u32>,
    /// Index of the first token to send, nonzero when resuming an interrupted stream.
    pub from_token: u32,
}

/// Processing phase of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnlinePhase {
    /// The request's mark is being replicated.
    Marking,
    /// The session record is being read.
    LookingUpSession,
    /// The request was sent to an engine.
    Running {
        /// ID of the current attempt.
        attempt: AttemptId,
        /// Engine that the attempt was sent to.
        engine: EngineName,
        /// When the attempt was sent.
        sent_at: Timestamp,
    },
}

/// Progress of the answer as sent to the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delivery {
    /// Index of the next token to send.
    pub next_token: u32,
    /// Whether any chunk has been sent.
    pub started: bool,
}

/// How to handle a chunk of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// Forward it to the caller.
    Deliver,
    /// Drop it: the caller has already received it.
    Duplicate,
    /// Tokens before it are missing, so the stream is invalid.
    Gap,
}

/// An online request in progress.
#[derive(Clone, Debug)]
pub struct OnlineRequest {
    /// The call as received.
    pub call: OnlineCall,
    /// Name of the service that serves the model.
    pub service: Arc<str>,
    /// Time of arrival.
    pub arrived: Timestamp,
    /// Time at which the request fails if it has not completed.
    pub deadline: Timestamp,
    /// Current processing phase.
    pub phase: OnlinePhase,
    /// Progress of the answer as sent to the caller.
    pub delivery: Delivery,
    /// Identifies this submission as the owner of the mark of a non-repeatable request.
    pub holder: AttemptId,
    /// Whether the mark may have been replicated and therefore must be settled.
    pub marked: bool,
    /// Whether replication of the mark is confirmed, which proves that no earlier submission with the
    /// same key ran.
    pub mark_confirmed: bool,
    /// Whether a failed attempt may have been executed by an engine.
    pub may_have_run: bool,
    /// Engines on which an attempt failed; they are not selected again.
    pub excluded: BTreeSet<EngineName>,
    /// Session record, if found.
    pub session: Option<SessionRecord>,
    /// Block hashes of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Number of failed attempts that qualified for a retry.
    pub retries: u32,
}

impl OnlineRequest {
    /// Returns the key of the request's session, if it has one.
    pub fn session_key(&self) -> Option<SessionKey> {
        let session = self.call.session.clone()?;
        Some(SessionKey { tenant: self.call.tenant.clone(), session })
    }

    /// Returns whether another attempt is safe: the request is repeatable or was definitely not executed.
    pub fn may_retry(&self) -> bool {
        self.call.repeatable || !self.may_have_run
    }

    /// Classifies a chunk of `tokens` tokens starting at index `first`, and advances the delivery
    /// progress if the chunk is to be delivered.
    pub fn accept_chunk(&mut self, first: u32, tokens: u32) -> ChunkOutcome {
        let expected = self.delivery.next_token;
        if first > expected {
            return ChunkOutcome::Gap;
        }
        if first < expected {
            return ChunkOutcome::Duplicate;
        }
        self.delivery.next_token += tokens;
        self.delivery.started = true;
        ChunkOutcome::Deliver
    }

    /// Returns whether all `length` tokens of the answer have been delivered.
    pub fn is_complete(&self, length: u32) -> bool {
        self.delivery.next_token == length
    }
}
