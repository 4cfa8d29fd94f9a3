//! Names a request by what a worker makes of it, so that it is known again under another id.

use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::hashing::{hash_bytes, hash_parts};
use crate::serving::configuration::tenant::CallerIdentity;
use crate::serving::request::RequestFacts;

/// What a worker makes of a request, without what differs between two tries: ids, deadlines, the last event.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// On whose behalf it comes. One tenant's requests say nothing of another's.
    pub identity: &'a CallerIdentity,
    /// The HTTP method.
    pub method: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// What its head says of the prompt.
    pub facts: &'a RequestFacts,
    /// The body.
    pub body: &'a [u8],
}

/// Names a request. Two requests with the same digest are the same request, sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// A request by its caller, path and body. Nodes of all versions agree on it.
    pub fn of(content: &RequestContent<'_>) -> Self {
        Self::of_part(content, hash_bytes(content.body))
    }

    /// A request by its caller, path and prompt, if its head names the prompt: parts with the same ids are the same text,
    /// while a body may carry what differs with each try. Nodes of all versions agree on it.
    pub fn of_prompt(content: &RequestContent<'_>) -> Option<Self> {
        let last = content.facts.prefix.last()?;
        let prompt = hash_parts(&[&last.chain.to_le_bytes(), &content.facts.prompt_tokens.to_le_bytes()]);
        Some(Self::of_part(content, prompt))
    }

    fn of_part(content: &RequestContent<'_>, part: u64) -> Self {
        let tenant = content.identity.tenant().map_or("", |tenant| tenant.as_str());
        Self(hash_parts(&[
            tenant.as_bytes(),
            content.method.as_bytes(),
            content.target.as_bytes(),
            &part.to_le_bytes(),
        ]))
    }
}

/// All names of a request. Crashes and runs to the end are held against and for each name by itself: a sound request that
/// shares the prompt does not clear the one whose body crashes workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKeys {
    /// By its body.
    pub content: RequestDigest,
    /// By its prompt, if its head names that.
    pub prompt: Option<RequestDigest>,
}

impl RequestKeys {
    /// The names of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        Self { content: RequestDigest::of(content), prompt: RequestDigest::of_prompt(content) }
    }

    /// Each name.
    pub fn digests(self) -> impl Iterator<Item = RequestDigest> {
        std::iter::once(self.content).chain(self.prompt)
    }
}

impl std::fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// As text: many readers of JSON take numbers of this size for floating point.
impl Serialize for RequestDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RequestDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
