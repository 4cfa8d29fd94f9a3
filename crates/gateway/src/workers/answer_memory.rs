//! The memory that long answers of workers hold, limited over all requests of the process.
//!
//! The limits on each answer do not protect a process to which many long answers are sent at once.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::unread_answers::UnreadAnswers;
use crate::observe::measures;

/// Bytes of each answer that do not count, so that ordinary answers never wait for memory.
const UNCOUNTED_BYTES: usize = 64 << 10;

/// The limit is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryExhausted;

/// The memory that is shared by all answers of the process.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    free: Arc<Semaphore>,
    total: usize,
    /// Complete answers that wait for their callers.
    unread: Arc<UnreadAnswers>,
}

impl AnswerMemory {
    /// Creates memory of `total` bytes.
    pub fn new(total: usize) -> Self {
        let total = total.min(Semaphore::MAX_PERMITS);
        Self { free: Arc::new(Semaphore::new(total)), total, unread: Arc::default() }
    }

    /// Returns the memory of an answer of which nothing was received yet.
    pub fn hold_none(&self) -> HeldMemory {
        HeldMemory { memory: self.clone(), permit: None }
    }

    /// Waits until `bytes` can be held. They are held until the returned bytes are dropped.
    pub async fn hold(&self, bytes: Vec<u8>) -> Bytes {
        let Some(counted) = counted(bytes.len()) else { return Bytes::from(bytes) };
        // More than the total could never be held. The semaphore is never closed.
        let counted = counted.min(u32::try_from(self.total).unwrap_or(u32::MAX));
        self.end_unread_answers(counted as usize);
        let permit = self.free.clone().acquire_many_owned(counted).await.ok();
        self.publish();
        let memory = HeldMemory { memory: self.clone(), permit };
        Bytes::from_owner(HeldBytes { bytes, _memory: memory })
    }

    /// Ends answers that their callers don't read if that frees `wanted` bytes, unless these are free.
    fn end_unread_answers(&self, wanted: usize) {
        let missing = wanted.saturating_sub(self.free.available_permits());
        if missing > 0 {
            self.unread.end(missing);
        }
    }

    fn publish(&self) {
        measures::set_held_answer_bytes(self.total - self.free.available_permits());
    }
}

/// Returns how many of an answer's bytes count, if any.
fn counted(bytes: usize) -> Option<u32> {
    let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
    (counted > 0).then(|| u32::try_from(counted).unwrap_or(u32::MAX))
}

/// The memory that one answer holds until this is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    memory: AnswerMemory,
    permit: Option<OwnedSemaphorePermit>,
}

impl HeldMemory {
    /// Returns the complete answers that wait for their callers.
    pub fn unread_answers(&self) -> Arc<UnreadAnswers> {
        self.memory.unread.clone()
    }

    /// Returns how many bytes count as held.
    pub fn bytes(&self) -> usize {
        self.permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }

    /// Changes the number of bytes that are held.
    ///
    /// # Errors
    ///
    /// [`MemoryExhausted`]: other answers hold the rest of the memory.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        let held = self.bytes();
        let wanted = counted(bytes).map_or(0, |counted| counted as usize);
        if wanted > held {
            let more = u32::try_from(wanted - held).unwrap_or(u32::MAX);
            self.memory.end_unread_answers(wanted - held);
            let permit = self.memory.free.clone().try_acquire_many_owned(more).map_err(|_| MemoryExhausted)?;
            match &mut self.permit {
                Some(held) => held.merge(permit),
                None => self.permit = Some(permit),
            }
            self.memory.publish();
        } else if wanted < held {
            drop(self.permit.as_mut().and_then(|permit| permit.split(held - wanted)));
            self.memory.publish();
        }
        Ok(())
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        if self.permit.take().is_some() {
            self.memory.publish();
        }
    }
}

struct HeldBytes {
    bytes: Vec<u8>,
    _memory: HeldMemory,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
