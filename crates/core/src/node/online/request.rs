//! One online request: what was asked, how far its answer is, and what may still be done for it.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::identity::{AttemptId, EngineName};
use crate::node::partition::{SessionKey, SessionRecord};
use crate::node::routing::BlockHash;
use crate::time::{Millis, Timestamp};

/// What a caller asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnlineCall {
    /// The request's id, for the explanation. Unique.
    pub id: Arc<str>,
    /// Who asks.
    pub tenant: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// The adapter, if any.
    pub adapter: Option<Arc<str>>,
    /// The session, if the request belongs to one.
    pub session: Option<Arc<str>>,
    /// The idempotency key, if any. A not-repeatable request must have one.
    pub key: Option<Arc<str>>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How long the caller waits; `None` takes the service's deadline.
    pub deadline: Option<Millis>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Most tokens to generate; `None` takes the service's limit.
    pub max_tokens: Option<u32>,
    /// The token to continue a broken stream from.
    pub from_token: u32,
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnlinePhase {
    /// Its mark is being replicated.
    Marking,
    /// Its session's record is being read.
    LookingUpSession,
    /// An engine runs it.
    Running {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EngineName,
        /// When the attempt was sent.
        sent_at: Timestamp,
    },
}

/// What the caller has been sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delivery {
    /// The next token that the caller needs.
    pub next_token: u32,
    /// Whether any piece was sent.
    pub begun: bool,
}

/// What to do with a piece of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceOutcome {
    /// Send it on.
    Deliver,
    /// The caller has it already.
    Duplicate,
    /// Tokens are missing before it: the stream can't be trusted any further.
    Gap,
}

/// One online request.
#[derive(Clone, Debug)]
pub struct OnlineRequest {
    /// What was asked.
    pub call: OnlineCall,
    /// The service that offers the model.
    pub service: Arc<str>,
    /// When it came in.
    pub arrived: Timestamp,
    /// When it is given up.
    pub deadline: Timestamp,
    /// Where it stands.
    pub phase: OnlinePhase,
    /// What the caller has been sent.
    pub delivery: Delivery,
    /// The holder of its mark, if it is not repeatable.
    pub holder: AttemptId,
    /// Whether its mark may be replicated, so that it must be settled.
    pub marked: bool,
    /// Whether its mark is replicated for certain. Only then is it known that no earlier submission
    /// under the same key ran.
    pub mark_confirmed: bool,
    /// Whether it was sent to an engine that may have run it.
    pub may_have_run: bool,
    /// Engines that failed it.
    pub excluded: BTreeSet<EngineName>,
    /// Its session's record, if found.
    pub session: Option<SessionRecord>,
    /// The prompt's blocks.
    pub blocks: Vec<BlockHash>,
    /// How often it was moved.
    pub moves: u32,
}

impl OnlineRequest {
    /// The key of its session.
    pub fn session_key(&self) -> Option<SessionKey> {
        let session = self.call.session.clone()?;
        Some(SessionKey { tenant: self.call.tenant.clone(), session })
    }

    /// Whether another attempt is allowed: anything that is repeatable, or certainly did not run.
    pub fn may_retry(&self) -> bool {
        self.call.repeatable || !self.may_have_run
    }

    /// Judges a piece that begins at token `first` and holds `tokens` tokens.
    pub fn judge_piece(&mut self, first: u32, tokens: u32) -> PieceOutcome {
        let expected = self.delivery.next_token;
        if first > expected {
            return PieceOutcome::Gap;
        }
        if first < expected {
            return PieceOutcome::Duplicate;
        }
        self.delivery.next_token += tokens;
        self.delivery.begun = true;
        PieceOutcome::Deliver
    }

    /// Whether the answer is whole when the engine says that it ends at token `length`.
    pub fn is_whole(&self, length: u32) -> bool {
        self.delivery.next_token == length
    }
}
