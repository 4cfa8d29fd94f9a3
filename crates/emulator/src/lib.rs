//! An emulator of a model engine with continuous batching, as a state machine without a clock.
//!
//! Owns how long work takes and what comes out: slots, a queue with priorities, prefill and decode
//! cost, and a prefix cache of limited memory. The stand-in engine drives it in real time behind HTTP;
//! the experiments drive it on a virtual clock. It knows nothing of stallmoor.
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
