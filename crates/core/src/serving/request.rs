//! What the decisions need to know of a request: who waits how long, and which prompt it brings.
//!
//! The adapter reads it from the request's head; the body is never looked into.

use std::sync::Arc;

use crate::hashing::hash_parts;
use crate::time::Millis;

/// One part of a prompt. Parts with the same id are the same text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the text.
    pub id: Arc<str>,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A prompt part together with all parts before it: what a worker caches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Names the model and the parts up to here.
    pub chain: u64,
    /// Tokens of the last part alone.
    pub tokens: u32,
}

/// What a request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// The caller's id for this try.
    pub id: Arc<str>,
    /// How long the caller waits, from when the request was read.
    pub deadline: Option<Millis>,
    /// The caller has the events up to this one.
    pub last_event: Option<u64>,
    /// The chain of its prompt.
    pub prefix: Vec<PrefixBlock>,
    /// Tokens in its prompt.
    pub prompt_tokens: u32,
}

/// Chains the parts of a prompt, so that a link names all parts before it too.
pub fn hash_prefix(model: &str, parts: &[PromptPart]) -> Vec<PrefixBlock> {
    let mut links = Vec::with_capacity(parts.len());
    let mut chain = hash_parts(&[model.as_bytes()]);
    for part in parts {
        chain = hash_parts(&[&chain.to_le_bytes(), part.id.as_bytes()]);
        links.push(PrefixBlock { chain, tokens: part.tokens });
    }
    links
}
