//! Limits on the answers of workers.

use serde::Deserialize;
use stallmoor_core::serving::online::answer_limits::AnswerLimits;

use crate::workers::answer_memory::AnswerMemory;
use crate::workers::answer_reader::AnswerBounds;

/// Default of `answers.event_bytes`.
const DEFAULT_EVENT_BYTES: usize = 1 << 20;
/// Default of `answers.body_bytes`.
const DEFAULT_BODY_BYTES: usize = 8 << 20;
/// Default of `answers.item_bytes`.
const DEFAULT_ITEM_BYTES: usize = 1 << 20;
/// Default of `answers.held_bytes`.
const DEFAULT_HELD_BYTES: usize = 64 << 20;

/// The table `[answers]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AnswersTable {
    /// Maximum size of one event of a stream, in bytes.
    pub event_bytes: usize,
    /// Maximum size of the body of an answer that is not a stream, in bytes.
    pub body_bytes: usize,
    /// Maximum size of the output of a batch item, in bytes.
    pub item_bytes: usize,
    /// Memory that all long answers hold together at most, in bytes.
    pub held_bytes: usize,
}

impl AnswersTable {
    /// Returns the limits, with memory of which nothing is held.
    pub fn bounds(&self) -> AnswerBounds {
        let limits = AnswerLimits { event: self.event_bytes, body: self.body_bytes, item_output: self.item_bytes };
        AnswerBounds { limits, memory: AnswerMemory::new(self.held_bytes) }
    }
}

impl Default for AnswersTable {
    fn default() -> Self {
        Self {
            event_bytes: DEFAULT_EVENT_BYTES,
            body_bytes: DEFAULT_BODY_BYTES,
            item_bytes: DEFAULT_ITEM_BYTES,
            held_bytes: DEFAULT_HELD_BYTES,
        }
    }
}
