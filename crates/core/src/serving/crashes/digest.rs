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

/// Names a request's content. Two requests with the same digest are the same request, sent again.
///
/// Where the head names the prompt, that is the content: parts with the same ids are the same text, and a body may carry
/// what differs with each try. Else it is the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// The digest of a request. Nodes of all versions agree on it.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let tenant = content.identity.tenant().map_or("", |tenant| tenant.as_str());
        let asked = match content.facts.prefix.last() {
            Some(link) => hash_parts(&[&link.chain.to_le_bytes(), &content.facts.prompt_tokens.to_le_bytes()]),
            None => hash_bytes(content.body),
        };
        Self(hash_parts(&[
            tenant.as_bytes(),
            content.method.as_bytes(),
            content.target.as_bytes(),
            &asked.to_le_bytes(),
        ]))
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
