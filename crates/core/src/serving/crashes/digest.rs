//! Content-based digests that identify a request when it is sent again under another ID.

use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::hashing::{hash_bytes, hash_parts};
use crate::serving::configuration::tenant::CallerIdentity;
use crate::serving::request::{RequestAttributes, SharedPart};

/// The parts of a request that determine how a worker processes it. Excludes what differs between attempts, such as
/// IDs, deadlines and the last received event.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Caller of the request. Requests of different tenants have different digests.
    pub identity: &'a CallerIdentity,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Prompt information from the request head.
    pub attributes: &'a RequestAttributes,
    /// Request body.
    pub body: &'a [u8],
}

/// Digest of a request. Two requests with the same digest are treated as the same request, sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(u64);

impl RequestDigest {
    pub(super) fn smallest() -> Self {
        Self(u64::MIN)
    }

    pub(super) fn largest() -> Self {
        Self(u64::MAX)
    }

    /// Computes the digest over caller, method, path and body. It must be the same in all versions.
    pub fn of(content: &RequestContent<'_>) -> Self {
        Self::from_part(content, hash_bytes(content.body))
    }

    /// Computes the digest over caller, method, path and prompt, or returns `None` if the head does not identify the
    /// prompt. Unlike the body, prompt part IDs do not change between attempts. It must be the same in all versions.
    pub fn of_prompt(content: &RequestContent<'_>) -> Option<Self> {
        let last = content.attributes.prefix.last()?;
        let prompt = hash_parts(&[&last.chain.to_le_bytes(), &content.attributes.prompt_tokens.to_le_bytes()]);
        Some(Self::from_part(content, prompt))
    }

    fn from_part(content: &RequestContent<'_>, part: u64) -> Self {
        let tenant = content.identity.tenant().map_or("", |tenant| tenant.as_str());
        Self(hash_parts(&[
            tenant.as_bytes(),
            content.method.as_bytes(),
            content.target.as_bytes(),
            &part.to_le_bytes(),
        ]))
    }
}

/// Digest of a part of prompts, and of the model that reads it. The same in all requests of all callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartDigest(u64);

impl PartDigest {
    pub(super) fn smallest() -> Self {
        Self(u64::MIN)
    }

    pub(super) fn value(self) -> u64 {
        self.0
    }

    /// Computes the digest. It must be the same in all versions.
    pub fn of(model: &str, part_id: &str) -> Self {
        Self(hash_parts(&[model.as_bytes(), part_id.as_bytes()]))
    }
}

/// All digests of a request. Crashes and completions are recorded separately for each digest, so that a harmless
/// request with the same prompt does not clear a request whose body crashes workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestKeys {
    /// Digest over the body.
    pub content: RequestDigest,
    /// Digest over the prompt, if the head identifies it.
    pub prompt: Option<RequestDigest>,
    /// Parts that the prompt shares with other requests.
    pub parts: Arc<[SharedPart]>,
}

impl RequestKeys {
    /// Computes all digests of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        Self {
            content: RequestDigest::of(content),
            prompt: RequestDigest::of_prompt(content),
            parts: content.attributes.shared_parts.clone(),
        }
    }

    /// Returns the digest by which requests that hold the same part are told apart.
    pub fn request(&self) -> RequestDigest {
        self.prompt.unwrap_or(self.content)
    }

    /// Returns an iterator over the digests of the whole request.
    pub fn digests(&self) -> impl Iterator<Item = RequestDigest> {
        std::iter::once(self.content).chain(self.prompt)
    }
}

/// Implements the text form of a digest: 16 hexadecimal digits. Serialized as text too, since many JSON parsers read
/// numbers of this size as floating point.
macro_rules! digest_text {
    ($digest:ty) => {
        impl std::fmt::Display for $digest {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "{:016x}", self.0)
            }
        }

        impl FromStr for $digest {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                u64::from_str_radix(text, 16).map(Self)
            }
        }

        impl Serialize for $digest {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $digest {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

digest_text!(RequestDigest);
digest_text!(PartDigest);
