//! The request attributes that decisions depend on: deadline, resume position and prompt.
//!
//! The gateway crate reads them from the request's headers; the body is never parsed.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::hashing::hash_parts;
use crate::serving::crashes::PartDigest;
use crate::time::Millis;

/// One part of a prompt. Parts with the same ID contain the same text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text.
    pub id: Arc<str>,
    /// Length of the text in tokens.
    pub tokens: u32,
}

/// A prompt part combined with all parts before it: the unit of a worker's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Hash of the model and of all parts up to and including this one.
    pub chain: u64,
    /// Length of this part alone, in tokens.
    pub tokens: u32,
}

/// A part that prompts of other requests may hold, too.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedPart {
    /// Digest of the part and the model.
    pub digest: PartDigest,
    /// The part's ID as stated by the caller, for logging.
    pub id: Arc<str>,
    /// Number of parts before this one.
    pub position: u32,
}

/// Returns the parts of a prompt that it may share with other requests, each once: all but the last one.
pub fn shared_parts(model: &str, parts: &[PromptPart]) -> Arc<[SharedPart]> {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let mut known = BTreeSet::new();
    let described = shared.iter().zip(0..).map(|(part, position)| SharedPart {
        digest: PartDigest::of(model, &part.id),
        id: part.id.clone(),
        position,
    });
    described.filter(|part| known.insert(part.digest)).collect()
}

/// The attributes that a request states in its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestAttributes {
    /// The caller's ID for this attempt.
    pub id: Arc<str>,
    /// Time for which the caller waits for the answer, counted from when the request was read.
    pub deadline: Option<Millis>,
    /// The last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// ID of the attempt that brought the stream's first event, if the caller resumes a stream and states it.
    pub first_attempt: Option<Arc<str>>,
    /// The prompt as prefix cache entries, the shortest prefix first.
    pub prefix: Vec<PrefixBlock>,
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// The parts that the prompt may share with other requests.
    pub shared_parts: Arc<[SharedPart]>,
}

/// Returns the number of tokens in the blocks. Saturates, since callers may state any numbers.
pub fn count_tokens<'a>(blocks: impl IntoIterator<Item = &'a PrefixBlock>) -> u32 {
    blocks.into_iter().fold(0, |sum, block| sum.saturating_add(block.tokens))
}

/// Hashes the parts of a prompt cumulatively, so that each hash covers the model and all earlier parts.
pub fn hash_prefix(model: &str, parts: &[PromptPart]) -> Vec<PrefixBlock> {
    let mut blocks = Vec::with_capacity(parts.len());
    let mut chain = hash_parts(&[model.as_bytes()]);
    for part in parts {
        chain = hash_parts(&[&chain.to_le_bytes(), part.id.as_bytes()]);
        blocks.push(PrefixBlock { chain, tokens: part.tokens });
    }
    blocks
}
