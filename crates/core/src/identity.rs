//! Identifiers of nodes, replica groups, engines, jobs and attempts.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The identity of a node.
///
/// A storage node reads its identity from its disk, where it was written when the disk was formatted. A node whose disk
/// was replaced by a blank one thus gets a new identity and can never vote under the previous one. A node without a
/// disk generates a new identity at each start.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

/// The number of a replica group. Each group stores one partition of the replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId(pub u32);

/// The name of an engine as given in the configuration files.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineName(pub Arc<str>);

/// Identifies one attempt to run a request or batch item on an engine. Unique across nodes and restarts.
///
/// Every chunk that an engine sends back carries this identifier. Chunks of other attempts are dropped and counted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u128);

/// Identifies a batch job by its replica group and a hash of its tenant and idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    /// The replica group that stores the job.
    pub group: GroupId,
    /// The hash of the tenant and the idempotency key.
    pub hash: u64,
}

/// The number that the I/O layer assigns to a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

impl fmt::Debug for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "node-{:016x}", self.0)
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl EngineName {
    /// Creates an engine name.
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }
}

impl fmt::Debug for EngineName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Display for EngineName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "attempt-{:032x}", self.0)
    }
}

impl AttemptId {
    /// Parses the format that `Display` produces.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("attempt-")?;
        u128::from_str_radix(digits, 16).ok().map(Self)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "job-{}-{:016x}", self.group.0, self.hash)
    }
}

impl JobId {
    /// Parses the format that `Display` produces.
    pub fn parse(text: &str) -> Option<Self> {
        let (group, hash) = text.strip_prefix("job-")?.split_once('-')?;
        let group = GroupId(group.parse().ok()?);
        let hash = u64::from_str_radix(hash, 16).ok()?;
        Some(Self { group, hash })
    }
}
