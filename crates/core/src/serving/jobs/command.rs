//! Changes of the job table and their outcomes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::serving::configuration::tenant::{CallerIdentity, TenantName};
use crate::time::{Millis, UnixMillis};

/// Names a job: the id that its submitter gave.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobKey(pub Arc<str>);

impl std::fmt::Display for JobKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Names an item: its job and its place there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemKey {
    /// The job.
    pub job: JobKey,
    /// The place in the job's list, from 0.
    pub item: u32,
}

/// A header of an item's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemHeader {
    /// Its name.
    pub name: Arc<str>,
    /// Its value.
    pub value: Arc<str>,
}

/// An item as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItem {
    /// Its id, which the worker gets too.
    pub id: Arc<str>,
    /// The path of its request.
    pub path: Arc<str>,
    /// The headers of its request.
    pub headers: Vec<ItemHeader>,
    /// The body of its request.
    pub body: Arc<[u8]>,
    /// Its size in tokens: the prompt and the most that is generated.
    pub token_count: u64,
}

/// A job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Its id.
    pub key: JobKey,
    /// The route that it came on.
    pub route: Arc<str>,
    /// The host that it came to.
    pub host: Arc<str>,
    /// Whose it is; `None` if it is open to all.
    pub tenant: Option<TenantName>,
    /// Its items.
    pub items: Vec<JobItem>,
    /// The version of the configuration that its route was read from.
    pub configuration_version: u64,
    /// When the first node read it, by that node's clock.
    pub received_at: UnixMillis,
    /// After which time from then results are due.
    pub due: Millis,
    /// Most tokens of its tenant that may wait on its route; `None` for no limit.
    pub queued_token_limit: Option<u64>,
}

/// What the limit of waiting tokens counts together: the items of one tenant on one route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QueueKey {
    /// The route.
    pub route: Arc<str>,
    /// The tenant.
    pub tenant: Option<TenantName>,
}

impl Submission {
    /// Where its items count while they wait.
    pub fn queue(&self) -> QueueKey {
        QueueKey { route: self.route.clone(), tenant: self.tenant.clone() }
    }

    /// The tokens of all items.
    pub fn token_count(&self) -> u64 {
        self.items.iter().map(|item| item.token_count).sum()
    }

    /// The bytes of all bodies.
    pub fn bytes(&self) -> u64 {
        self.items.iter().map(|item| item.body.len() as u64).sum()
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// A worker gave its whole output.
    Completed,
    /// It was given up.
    GivenUp,
}

/// What an item has put out so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialOutput {
    /// The data of the events so far, joined by line feeds.
    pub text: String,
    /// The id of the last event.
    pub last_event: Option<u64>,
}

impl PartialOutput {
    /// Takes the next event of a run. Events that the output has already are skipped. Returns false if events are
    /// missing before this one: the output can't be made whole from this stream.
    pub fn append_event(&mut self, data: &str, id: Option<u64>) -> bool {
        if let (Some(id), Some(last)) = (id, self.last_event) {
            if id <= last {
                return true;
            }
            if id > last + 1 {
                return false;
            }
        }
        self.push(data, id);
        true
    }

    /// Adds an event's data.
    pub fn push(&mut self, data: &str, id: Option<u64>) {
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event = id.or(self.last_event).or(Some(0));
    }
}

/// How much of an item's output the log has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedOutput {
    /// Bytes of its text.
    pub bytes: usize,
    /// The id of the last event.
    pub last_event: Option<u64>,
}

/// More of an item's output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemProgress {
    /// The item.
    pub key: ItemKey,
    /// What the log had of it before. The rest follows on that or is dropped.
    pub after: LoggedOutput,
    /// The text that follows.
    pub text: Arc<str>,
    /// The id of the last event.
    pub last_event: Option<u64>,
}

/// How many runs of an item have failed so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemFailures {
    /// The item.
    pub key: ItemKey,
    /// Runs that failed, over all leaders.
    pub failures: u32,
}

/// A change of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCommand {
    /// Take a job.
    Accept(Submission),
    /// Commit an item's result.
    Finish {
        /// The item.
        key: ItemKey,
        /// How it ended.
        state: ItemState,
        /// What the log had of its output before. A completed item's text follows on that.
        after: LoggedOutput,
        /// The rest of its output.
        text: Arc<str>,
    },
    /// Keep what running items have put out, so that another leader can go on from there.
    Progress(Vec<ItemProgress>),
    /// End a job: no item of it starts any more.
    End {
        /// The job.
        job: JobKey,
        /// Who ends it. For others than its owner there is no such job.
        caller: CallerIdentity,
    },
    /// Forget jobs that are over and were received before a time.
    Forget {
        /// The time.
        before: UnixMillis,
    },
    /// Keep how many runs of items have failed, so that another leader goes on counting. Replicas of a version that does
    /// not know it pass it over.
    Failures(Vec<ItemFailures>),
}

/// What a command did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// The job is in the table, whether by this command or an earlier one.
    Accepted,
    /// Another tenant has a job of this id.
    KeyTaken,
    /// The result is committed, or the progress kept.
    Committed,
    /// The item had a result before, or its job has ended; nothing changed.
    Dropped,
    /// The job has ended.
    Ended,
    /// There is no such job.
    UnknownJob,
    /// Old jobs are forgotten.
    Forgotten,
}

impl JobCommand {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Arc<[u8]> {
        // Can't fail: the length of all that is encoded is known, and a vector takes any.
        postcard::to_stdvec(self).map(Arc::from).unwrap_or_default()
    }

    /// Reads a command from the log.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
