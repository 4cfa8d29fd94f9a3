//! Names a request by what a worker makes of it, so that it is known again under another id.

use std::num::ParseIntError;
use std::str::FromStr;

use crate::hashing::hash_parts;
use crate::serving::configuration::tenant::CallerIdentity;
use crate::serving::request::PrefixLink;

/// What a worker sees of a request, without what differs between two tries: ids, deadlines, the last event.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// On whose behalf it comes. One tenant's requests say nothing of another's.
    pub identity: &'a CallerIdentity,
    /// The HTTP method.
    pub method: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The prompt, as its head names it.
    pub prefix: &'a [PrefixLink],
    /// The body.
    pub body: &'a [u8],
}

/// Names a request's content. Two requests with the same digest are the same request, sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// The digest of a request. Nodes of all versions agree on it.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let prompt = content.prefix.last().map_or(0, |link| link.chain).to_le_bytes();
        let tenant = content.identity.tenant().map_or("", |tenant| tenant.as_str());
        Self(hash_parts(&[
            tenant.as_bytes(),
            content.method.as_bytes(),
            content.target.as_bytes(),
            &prompt,
            content.body,
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
