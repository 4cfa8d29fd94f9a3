//! Answers of the emulated model. Each token is a function of model, prompt and token index, so that a resumed
//! answer continues correctly and tests can detect truncated or wrong answers.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const MIN_ANSWER_TOKENS: u32 = 8;
/// Number of distinct answer lengths, starting at `MIN_ANSWER_TOKENS`.
const ANSWER_LENGTH_RANGE: u64 = 57;

/// Returns the number of tokens in the complete answer to a prompt.
pub fn answer_length(model: &str, prompt: &str, max_tokens: u32) -> u32 {
    let hash = prompt_hash(model, prompt);
    let length = MIN_ANSWER_TOKENS + (hash % ANSWER_LENGTH_RANGE) as u32;
    length.min(max_tokens).max(1)
}

/// Returns the text of the token at `index`.
pub fn answer_token(model: &str, prompt: &str, index: u32) -> String {
    const SYLLABLES: [&str; 16] =
        ["ba", "co", "di", "fu", "ga", "ho", "ji", "ku", "la", "mo", "ni", "pu", "ra", "so", "ti", "vu"];
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash(model, prompt));
    let first = SYLLABLES[(hash % 16) as usize];
    let second = SYLLABLES[(hash / 16 % 16) as usize];
    format!("{first}{second} ")
}

/// Returns the text of the complete answer.
pub fn answer_text(model: &str, prompt: &str, max_tokens: u32) -> String {
    (0..answer_length(model, prompt, max_tokens)).map(|index| answer_token(model, prompt, index)).collect()
}

fn prompt_hash(model: &str, prompt: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), xxh3_64(model.as_bytes()))
}
