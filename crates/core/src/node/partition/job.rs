//! Batch jobs, their items and results.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::{AttemptId, EngineName};
use crate::time::UnixMillis;

/// What a job was submitted as. Never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpecification {
    /// Who submitted it.
    pub tenant: Arc<str>,
    /// The caller's idempotency key.
    pub key: Arc<str>,
    /// Digest of all item bodies and of the fields below; distinguishes a resend from a conflict.
    pub content_digest: u64,
    /// The model to run.
    pub model: Arc<str>,
    /// The adapter, if any.
    pub adapter: Option<Arc<str>>,
    /// How many items the job has.
    pub item_count: u32,
    /// When the job should be complete.
    pub deadline: UnixMillis,
    /// Most tokens generated for an item.
    pub max_tokens: u32,
}

/// How far a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Items are still arriving. Nothing was promised yet.
    Uploading,
    /// Accepted: every item will complete exactly once.
    Accepted,
    /// Cancelled: no further item starts or completes.
    Cancelled,
}

/// How an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemVerdict {
    /// The engine gave a whole answer.
    Completed,
    /// The engine refused the item for what it is; running it again can't help.
    Rejected(Arc<str>),
}

/// The one result of an item. Never changes once committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The attempt that gave it.
    pub attempt: AttemptId,
    /// The engine that gave it.
    pub engine: EngineName,
    /// How it ended.
    pub verdict: ItemVerdict,
    /// The answer's text.
    pub text: Arc<str>,
    /// Tokens generated.
    pub tokens: u32,
}

/// An item as it is submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewItem {
    /// The caller's name for it.
    pub label: Arc<str>,
    /// What to run.
    pub prompt: Arc<str>,
}

/// One item of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The caller's name for it.
    pub label: Arc<str>,
    /// What to run. Dropped once there is a result or the job is cancelled.
    pub prompt: Option<Arc<str>>,
    /// The result, once committed.
    pub result: Option<ItemResult>,
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What it was submitted as.
    pub specification: JobSpecification,
    /// How far it is.
    pub phase: JobPhase,
    /// Its items, in order; while uploading, those received so far.
    pub items: Vec<Item>,
    /// How many items have a result.
    pub completed: u32,
    /// When the job was opened, by the proposing node's clock.
    pub opened_at: UnixMillis,
    /// When the last item completed or the job was cancelled, by the proposing node's clock.
    pub ended_at: Option<UnixMillis>,
}

/// The status of a job, as a caller gets it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// What it was submitted as.
    pub specification: JobSpecification,
    /// How far it is.
    pub phase: JobPhase,
    /// How many items arrived.
    pub received: u32,
    /// How many items have a result.
    pub completed: u32,
    /// How many of those results are rejections.
    pub rejected: u32,
    /// When it was opened.
    pub opened_at: UnixMillis,
    /// When it ended, if it has.
    pub ended_at: Option<UnixMillis>,
}

impl Job {
    /// A job without items.
    pub fn new(specification: JobSpecification, opened_at: UnixMillis) -> Self {
        Self { specification, phase: JobPhase::Uploading, items: Vec::new(), completed: 0, opened_at, ended_at: None }
    }

    /// Whether every item has its result.
    pub fn is_complete(&self) -> bool {
        self.phase == JobPhase::Accepted && self.completed == self.specification.item_count
    }

    /// Whether nothing will happen to the job any more.
    pub fn has_ended(&self) -> bool {
        self.phase == JobPhase::Cancelled || self.is_complete()
    }

    /// Adds items from place `first` on. Items already held are skipped; a gap adds nothing.
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

    /// Records an item's result unless it has one. Returns whether the result was taken.
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

    /// Stops the job. Results that are committed stay readable.
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

    /// The status, as a caller gets it.
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
