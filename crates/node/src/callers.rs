//! Delivery of answers to callers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use stallmoor_core::identity::CallerId;
use stallmoor_core::node::{CallerAnswer, CallerCall, Event};
use tokio::sync::mpsc;

use crate::events::EventSender;

/// Maximum number of answers queued for one caller; a caller that falls further behind is disconnected.
const MAX_PENDING_ANSWERS: usize = 16_384;

/// Calls that have not received their final answer.
#[derive(Clone, Default)]
pub struct CallerRegistry {
    pending: Arc<Mutex<HashMap<CallerId, mpsc::Sender<CallerAnswer>>>>,
    next: Arc<AtomicU64>,
}

/// A call in progress. Dropping it before the final answer sends [`Event::CallerDisconnected`] to the node.
pub struct CallInProgress {
    caller: CallerId,
    registry: CallerRegistry,
    events: EventSender,
    answers: mpsc::Receiver<CallerAnswer>,
    ended: bool,
}

impl CallerRegistry {
    /// Registers a caller and sends its call to the node.
    pub async fn call(&self, events: &EventSender, call: CallerCall) -> CallInProgress {
        let caller = CallerId(self.next.fetch_add(1, Ordering::Relaxed) + 1);
        let (sender, answers) = mpsc::channel(MAX_PENDING_ANSWERS);
        self.lock().insert(caller, sender);
        events.send(Event::Call { caller, call }).await;
        CallInProgress { caller, registry: self.clone(), events: events.clone(), answers, ended: false }
    }

    /// Sends an answer to a caller. Returns false if the caller is gone or its queue is full.
    pub fn answer(&self, caller: CallerId, answer: CallerAnswer) -> bool {
        let is_final = answer.is_final();
        let mut pending = self.lock();
        let Some(sender) = pending.get(&caller) else { return false };
        let delivered = sender.try_send(answer).is_ok();
        if is_final || !delivered {
            pending.remove(&caller);
        }
        delivered
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<CallerId, mpsc::Sender<CallerAnswer>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallInProgress {
    /// Returns the next answer, or `None` if the node stopped before the final one.
    pub async fn next(&mut self) -> Option<CallerAnswer> {
        std::future::poll_fn(|context| self.poll_next(context)).await
    }

    /// Polls for the next answer; see [`next`](Self::next).
    pub fn poll_next(&mut self, context: &mut std::task::Context<'_>) -> std::task::Poll<Option<CallerAnswer>> {
        let polled = self.answers.poll_recv(context);
        if let std::task::Poll::Ready(answer) = &polled {
            self.ended |= answer.as_ref().is_none_or(CallerAnswer::is_final);
        }
        polled
    }
}

impl Drop for CallInProgress {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.registry.lock().remove(&self.caller);
        let (events, caller) = (self.events.clone(), self.caller);
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { events.send(Event::CallerDisconnected(caller)).await });
        }
    }
}
