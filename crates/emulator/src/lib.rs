//! An emulator of a model engine with continuous batching, implemented as a state machine without a clock.
//!
//! Models the duration and output of requests: slots, a priority queue, prefill and decode cost, and a prefix
//! cache of limited size. The stand-in engine runs it in real time behind HTTP; the experiments run it on a
//! virtual clock. It does not depend on other crates of stallmoor.
//!
//! Times are in microseconds, lengths in tokens.

mod answer;
mod cache;
mod engine;

pub use answer::{answer_length, answer_text, answer_token};
pub use cache::{CacheChange, PrefixCache};
pub use engine::{
    EngineEmulator, EngineLoad, EngineOutput, EngineRefusal, EngineSettings, SequenceClass, SequenceRequest,
};
