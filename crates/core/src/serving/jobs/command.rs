//! Commands that change the job table, and their outcomes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::serving::configuration::tenant::{CallerIdentity, TenantName};
use crate::serving::stream_origins::StreamOrigin;
use crate::time::{Millis, UnixMillis};

/// Identifies a job by the ID that its submitter chose.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobKey(pub Arc<str>);

impl std::fmt::Display for JobKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Identifies an item by its job and its index there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemKey {
    /// The job that contains the item.
    pub job: JobKey,
    /// The zero-based index in the job's item list.
    pub item: u32,
}

/// An HTTP header of an item's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemHeader {
    /// The header name.
    pub name: Arc<str>,
    /// The header value.
    pub value: Arc<str>,
}

/// A job item as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItem {
    /// The ID chosen by the submitter, also sent to the worker.
    pub id: Arc<str>,
    /// The path of the request to the worker.
    pub path: Arc<str>,
    /// The headers of the request to the worker.
    pub headers: Vec<ItemHeader>,
    /// The body of the request to the worker.
    #[serde(with = "crate::byte_string")]
    pub body: Arc<[u8]>,
    /// The number of tokens in the prompt plus the maximum number to generate.
    pub token_count: u64,
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The ID of the job.
    pub key: JobKey,
    /// The name of the route that matched the submission.
    pub route: Arc<str>,
    /// The host that the submission was addressed to.
    pub host: Arc<str>,
    /// The owning tenant; `None` if every caller may access the job.
    pub tenant: Option<TenantName>,
    /// The items in submission order. Items are identified by their index.
    pub items: Vec<JobItem>,
    /// The version of the configuration that the route was taken from.
    pub configuration_version: u64,
    /// When a node first received the submission, by that node's clock.
    pub received_at: UnixMillis,
    /// The time after `received_at` by which results are due.
    pub due: Millis,
    /// The maximum number of tokens that the tenant may have queued on the route; `None` for no limit.
    pub queued_token_limit: Option<u64>,
}

/// The scope of the limit on queued tokens: one tenant on one route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QueueKey {
    /// The name of the route.
    pub route: Arc<str>,
    /// The tenant; `None` for jobs without an owner.
    pub tenant: Option<TenantName>,
}

impl Submission {
    /// Returns the queue that the job's items count toward.
    pub fn queue(&self) -> QueueKey {
        QueueKey { route: self.route.clone(), tenant: self.tenant.clone() }
    }

    /// Returns the total number of tokens of all items. Saturates, since callers may state any numbers.
    pub fn token_count(&self) -> u64 {
        self.items.iter().fold(0, |sum, item| sum.saturating_add(item.token_count))
    }

    /// Returns the total size of all item bodies in bytes.
    pub fn bytes(&self) -> u64 {
        self.items.iter().map(|item| item.body.len() as u64).sum()
    }
}

/// The final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// A worker returned the complete output.
    Completed,
    /// The item was abandoned without output.
    GivenUp,
}

/// The output that an item has produced so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialOutput {
    /// The data of all events so far, joined by line feeds.
    pub text: String,
    /// The ID of the last event; `None` before the first event.
    pub last_event: Option<u64>,
}

impl PartialOutput {
    /// Returns the ID of the last event; 0 before the first one.
    pub fn events(&self) -> u64 {
        self.last_event.unwrap_or(0)
    }

    /// Appends the next event of a run. Skips events that are already part of the output. Returns false if earlier
    /// events are missing, in which case this stream cannot complete the output.
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

    /// Appends the data of an event without checking its ID.
    pub fn push(&mut self, data: &str, id: Option<u64>) {
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event = id.or(self.last_event).or(Some(0));
    }

    /// Returns how far the output has come.
    pub fn position(&self) -> LoggedOutput {
        LoggedOutput { bytes: self.text.len(), last_event: self.last_event }
    }
}

/// The length of the prefix of an item's output that is in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedOutput {
    /// The length of the logged text in bytes.
    pub bytes: usize,
    /// The ID of the last logged event.
    pub last_event: Option<u64>,
}

/// An increment of an item's output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemProgress {
    /// The item that produced the output.
    pub key: ItemKey,
    /// The position in the output where `text` starts. The increment is dropped if the log does not end there.
    pub after: LoggedOutput,
    /// The text to append.
    pub text: Arc<str>,
    /// The ID of the last event in `text`.
    pub last_event: Option<u64>,
}

/// The number of failed runs of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemFailures {
    /// The item whose runs failed.
    pub key: ItemKey,
    /// The number of failed runs, counted across leaders.
    pub failures: u32,
}

/// The origin of an item's output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemOrigin {
    /// The item.
    pub key: ItemKey,
    /// The service and version of the workers that may continue its output.
    pub origin: StreamOrigin,
}

/// A change to the job table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCommand {
    /// Adds a job.
    Accept(Submission),
    /// Commits an item's result.
    Finish {
        /// The item that finished.
        key: ItemKey,
        /// The final state of the item.
        state: ItemState,
        /// The position in the output where `text` starts; checked for completed items only.
        after: LoggedOutput,
        /// The rest of the output.
        text: Arc<str>,
    },
    /// Stores the output of running items so that another leader can resume them.
    Progress(Vec<ItemProgress>),
    /// Ends a job. None of its items is started afterwards.
    End {
        /// The job to end.
        job: JobKey,
        /// The caller that ends the job. Callers other than the owner get [`JobOutcome::UnknownJob`].
        caller: CallerIdentity,
    },
    /// Removes finished jobs that were received before a given time.
    Forget {
        /// Jobs received at this time or later are retained.
        before: UnixMillis,
    },
    /// Stores the number of failed runs of items so that another leader continues the count. Replicas of versions that
    /// do not know this command skip it.
    Failures(Vec<ItemFailures>),
    /// Discards the logged output of items, which run again from the start. Replicas of versions that do not know this
    /// command skip it and drop the results of these items.
    Restart(Vec<ItemKey>),
    /// Stores the origins of output that is logged next, so that another leader can continue it. Replicas of versions
    /// that do not know this command skip it; as leaders they discard the output while there are several versions.
    Origins(Vec<ItemOrigin>),
}

/// The outcome of applying a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// The job is in the table, added by this command or by an earlier one.
    Accepted,
    /// Another tenant already has a job with this ID.
    KeyTaken,
    /// The result or the progress was stored.
    Committed,
    /// The item already had a result, or its job has ended. Nothing changed.
    Dropped,
    /// The job has ended.
    Ended,
    /// The job does not exist or is not visible to the caller.
    UnknownJob,
    /// Expired jobs were removed.
    Forgotten,
}

impl JobCommand {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Arc<[u8]> {
        // Cannot fail: all lengths are known, and a vector grows as needed.
        postcard::to_stdvec(self).map(Arc::from).unwrap_or_default()
    }

    /// Decodes a command from the log. Returns `None` if this version cannot read it.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
