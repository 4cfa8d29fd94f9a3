//! The memory that long answers of workers hold, limited over all requests of the process.
//!
//! The limits on each answer do not protect a process to which many long answers are sent at once.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

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
}

impl AnswerMemory {
    /// Creates memory of `total` bytes.
    pub fn new(total: usize) -> Self {
        let total = total.min(Semaphore::MAX_PERMITS);
        Self { free: Arc::new(Semaphore::new(total)), total }
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
        let permit = self.free.clone().acquire_many_owned(counted).await.ok();
        self.publish();
        let memory = HeldMemory { memory: self.clone(), permit };
        Bytes::from_owner(HeldBytes { bytes, _memory: memory })
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
    /// Changes the number of bytes that are held.
    ///
    /// # Errors
    ///
    /// [`MemoryExhausted`]: other answers hold the rest of the memory.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        let held = self.permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let wanted = counted(bytes).map_or(0, |counted| counted as usize);
        if wanted > held {
            let more = u32::try_from(wanted - held).unwrap_or(u32::MAX);
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
