//! Limits on the answers of workers, which are held in memory until they are complete.
//!
//! A faulty worker may send bytes without end. An answer that exceeds a limit has failed, and its connection is closed.

/// A part of an answer that is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// The status line and the headers.
    Head,
    /// One event of a stream.
    Event,
    /// The body of an answer that is not a stream.
    Body,
    /// The body of a refusal to run a request.
    Refusal,
    /// The output of a batch item.
    ItemOutput,
}

impl AnswerPart {
    /// Returns the name used in the log and as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Event => "event",
            Self::Body => "body",
            Self::Refusal => "refusal",
            Self::ItemOutput => "item_output",
        }
    }
}

/// Maximum size of the head of an answer in bytes, and of what is read ahead of its body.
pub const MAX_HEAD_BYTES: usize = 65_536;
/// Maximum size of the body of a refusal, in bytes. Longer ones are not read to the end, and their connection is not
/// used again.
pub const MAX_REFUSAL_BYTES: usize = 16_384;

/// The limits that operators can set, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Maximum size of one event.
    pub event: usize,
    /// Maximum size of the body of an answer that is not a stream.
    pub body: usize,
    /// Maximum size of the output of a batch item.
    pub item_output: usize,
}

impl AnswerLimits {
    /// Returns the limit of a part.
    pub fn of(&self, part: AnswerPart) -> usize {
        match part {
            AnswerPart::Head => MAX_HEAD_BYTES,
            AnswerPart::Event => self.event,
            AnswerPart::Body => self.body,
            AnswerPart::Refusal => MAX_REFUSAL_BYTES,
            AnswerPart::ItemOutput => self.item_output,
        }
    }
}
