//! Names of the things that take part: nodes, replica groups, engines, jobs, attempts.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A node's identity.
///
/// A storing node takes its identity from its disk, where it was written when the disk was formatted.
/// A disk that comes back blank is therefore a new node: it can never vote as the one it replaces.
/// A node without a disk draws a new identity at each start.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

/// One replica group, which is one partition of the replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId(pub u32);

/// The name of an engine, as the operators' files give it.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineName(pub Arc<str>);

/// One try to run a request or item on an engine. Unique over all nodes and restarts.
///
/// Every piece an engine sends back carries it; a piece with another attempt is dropped and counted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u128);

/// A batch job: the group that holds it, and a hash of its tenant and idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    /// The replica group that holds the job.
    pub group: GroupId,
    /// Hash of tenant and idempotency key.
    pub hash: u64,
}

/// A caller's connection to this node, as numbered by the driver.
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
    /// Builds a name from text.
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
    /// Reads the form that `Display` writes.
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
    /// Reads the form that `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        let (group, hash) = text.strip_prefix("job-")?.split_once('-')?;
        let group = GroupId(group.parse().ok()?);
        let hash = u64::from_str_radix(hash, 16).ok()?;
        Some(Self { group, hash })
    }
}
