//! Batch jobs, their items, and item results.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::{AttemptId, EngineName};
use crate::time::UnixMillis;

/// The immutable specification of a job, as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpecification {
    /// The tenant that submitted the job.
    pub tenant: Arc<str>,
    /// Idempotency key given by the caller.
    pub key: Arc<str>,
    /// Digest of model, adapter, token limit and items, which distinguishes a resend from a key conflict.
    pub content_digest: u64,
    /// Name of the model to run.
    pub model: Arc<str>,
    /// The adapter to apply, if any.
    pub adapter: Option<Arc<str>>,
    /// Number of items in the job.
    pub item_count: u32,
    /// Time by which the job should complete.
    pub deadline: UnixMillis,
    /// Maximum number of tokens generated per item.
    pub max_tokens: u32,
}

/// The phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Items are being received; no guarantee is given yet.
    Uploading,
    /// The job is accepted: each item's result is committed exactly once.
    Accepted,
    /// The job is canceled: no further items start or complete.
    Cancelled,
}

/// The final state of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemVerdict {
    /// The engine returned a complete response.
    Completed,
    /// The engine rejected the item's content, so a retry would fail too. Holds the engine's message.
    Rejected(Arc<str>),
}

/// The result of an item, immutable once committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The attempt that produced the result.
    pub attempt: AttemptId,
    /// The engine that produced the result.
    pub engine: EngineName,
    /// Whether the item completed or was rejected.
    pub verdict: ItemVerdict,
    /// Text of the response.
    pub text: Arc<str>,
    /// Number of tokens generated.
    pub tokens: u32,
}

/// An item as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewItem {
    /// Name given to the item by the caller.
    pub label: Arc<str>,
    /// Prompt to run.
    pub prompt: Arc<str>,
}

/// One item of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Name given to the item by the caller.
    pub label: Arc<str>,
    /// Prompt to run; dropped once the item has a result or the job is canceled.
    pub prompt: Option<Arc<str>>,
    /// The item's result, once committed.
    pub result: Option<ItemResult>,
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The job's specification.
    pub specification: JobSpecification,
    /// The job's current phase.
    pub phase: JobPhase,
    /// The items in order; during the upload, those received so far.
    pub items: Vec<Item>,
    /// Number of items that have a result.
    pub completed: u32,
    /// Time at which the job was opened, by the proposing node's clock.
    pub opened_at: UnixMillis,
    /// Time at which the last item completed or the job was canceled, by the proposing node's clock.
    pub ended_at: Option<UnixMillis>,
}

/// The status of a job as returned to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// The job's specification.
    pub specification: JobSpecification,
    /// The job's current phase.
    pub phase: JobPhase,
    /// Number of items received.
    pub received: u32,
    /// Number of items that have a result.
    pub completed: u32,
    /// Number of results that are rejections.
    pub rejected: u32,
    /// Time at which the job was opened.
    pub opened_at: UnixMillis,
    /// Time at which the job ended, if it has.
    pub ended_at: Option<UnixMillis>,
}

impl Job {
    /// Creates a job without items.
    pub fn new(specification: JobSpecification, opened_at: UnixMillis) -> Self {
        Self { specification, phase: JobPhase::Uploading, items: Vec::new(), completed: 0, opened_at, ended_at: None }
    }

    /// Returns whether every item has a result.
    pub fn is_complete(&self) -> bool {
        self.phase == JobPhase::Accepted && self.completed == self.specification.item_count
    }

    /// Returns whether the job is canceled or complete.
    pub fn has_ended(&self) -> bool {
        self.phase == JobPhase::Cancelled || self.is_complete()
    }

    /// Appends items starting at index `first`. Items already received are skipped; if items before
    /// `first` are missing, nothing is added.
    pub fn add_items(&mut self, first: u32, items: &[NewItem]) {
        let received = self.items.len() as u32;
        let limit = self.specification.item_count as usize;
        if self.phase != JobPhase::Uploading || first > received {
            return;
        }
        let already_received = (received - first) as usize;
        for item in items.iter().skip(already_received) {
            if self.items.len() < limit {
                let prompt = Some(item.prompt.clone());
                self.items.push(Item { label: item.label.clone(), prompt, result: None });
            }
        }
    }

    /// Records an item's result unless it already has one. Returns whether the result was recorded.
    pub fn complete_item(&mut self, index: u32, result: &ItemResult, at: UnixMillis) -> bool {
        if self.phase != JobPhase::Accepted {
            return false;
        }
        let Some(item) = self.items.get_mut(index as usize) else { return false };
        if item.result.is_some() {
            return false;
        }
        item.result = Some(result.clone());
        item.prompt = None;
        self.completed += 1;
        if self.is_complete() {
            self.ended_at = Some(at);
        }
        true
    }

    /// Cancels the job. Committed results remain readable.
    pub fn cancel(&mut self, at: UnixMillis) {
        if self.has_ended() {
            return;
        }
        self.phase = JobPhase::Cancelled;
        self.ended_at = Some(at);
        for item in &mut self.items {
            item.prompt = None;
        }
    }

    /// Returns the job's status for callers.
    pub fn summary(&self) -> JobSummary {
        let is_rejected =
            |item: &&Item| item.result.as_ref().is_some_and(|result| result.verdict != ItemVerdict::Completed);
        JobSummary {
            specification: self.specification.clone(),
            phase: self.phase,
            received: self.items.len() as u32,
            completed: self.completed,
            rejected: self.items.iter().filter(is_rejected).count() as u32,
            opened_at: self.opened_at,
            ended_at: self.ended_at,
        }
    }
}
