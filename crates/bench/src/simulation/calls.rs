//! Pending calls at nodes, and dispatch of their answers to the caller models.
//!
//! Owns the kinds of calls. Relies on `callers`, `jobs` and `operators`, which make the calls and check the
//! answers.

use stallmoor_core::identity::CallerId;
use stallmoor_core::node::{CallerAnswer, CallerCall, Event};

use super::events::SimEvent;
use super::oracle;
use super::world::World;

/// Origin of a call and the node that received it.
#[derive(Clone, Copy, Debug)]
pub struct CallOwner {
    /// Slot of the node that received the call.
    pub slot: usize,
    /// Purpose of the call.
    pub purpose: CallPurpose,
}

/// Purpose of a call. Each variant holds the index of the request, job or change.
#[derive(Clone, Copy, Debug)]
pub enum CallPurpose {
    /// An online request.
    Online(usize),
    /// Submission of a job.
    Submit(usize),
    /// Submission of different content under a job's key.
    Conflicting(usize),
    /// Query for a job's status.
    Status(usize),
    /// Query for a page of a job's results.
    Results(usize),
    /// Out-of-order query for some of a job's results.
    Peek(usize),
    /// Cancellation of a job.
    Cancel(usize),
    /// Application of an operator's change.
    Apply(usize),
}

impl World {
    /// Sends a call to a node.
    pub fn call(&mut self, slot: usize, purpose: CallPurpose, call: CallerCall) -> CallerId {
        let caller = CallerId(self.next_caller);
        self.next_caller += 1;
        self.calls.insert(caller, CallOwner { slot, purpose });
        let is_up = self.slots[slot].node.is_some();
        if is_up {
            let process = Some(self.slots[slot].process);
            let event = Box::new(Event::Call { caller, call });
            self.schedule(2, SimEvent::Node { slot, process, event });
        } else {
            self.schedule(2, SimEvent::Answer { caller, answer: None });
        }
        caller
    }

    /// Disconnects a caller.
    pub fn disconnect_caller(&mut self, caller: CallerId) {
        if let Some(owner) = self.calls.remove(&caller) {
            let event = Box::new(Event::CallerDisconnected(caller));
            self.schedule(2, SimEvent::Node { slot: owner.slot, process: None, event });
        }
    }

    pub(super) fn on_answer(&mut self, caller: CallerId, answer: Option<CallerAnswer>) {
        let Some(owner) = self.calls.get(&caller).copied() else { return };
        if answer.as_ref().is_none_or(CallerAnswer::is_final) {
            self.calls.remove(&caller);
        }
        if let Some(CallerAnswer::Refused(refusal)) = &answer {
            let table = refusal.kind.answer();
            let says_when = table.retry_after_ms.is_none() || refusal.retry_after_ms.is_some();
            let now_ms = self.now_ms;
            self.oracle.check(oracle::REFUSAL_HAS_RETRY_DELAY, says_when, now_ms, || refusal.kind.code().to_owned());
        }
        match owner.purpose {
            CallPurpose::Online(request) => self.on_online_answer(request, caller, answer),
            CallPurpose::Submit(job) => self.on_submitted(job, answer),
            CallPurpose::Conflicting(job) => self.on_conflicting(job, answer),
            CallPurpose::Status(job) => self.on_job_status(job, answer),
            CallPurpose::Results(job) => self.on_job_results(job, answer),
            CallPurpose::Peek(job) => self.on_peek(job, answer),
            CallPurpose::Cancel(job) => self.on_cancelled(job, answer),
            CallPurpose::Apply(change) => self.on_applied(change, answer),
        }
    }

    pub(super) fn has_answer_in_flight(&self, caller: CallerId) -> bool {
        self.queue.events().any(|event| match event {
            SimEvent::Answer { caller: to, answer: Some(answer) } => *to == caller && answer.is_final(),
            SimEvent::Node { event, .. } => matches!(&**event, Event::Call { caller: by, .. } if *by == caller),
            _ => false,
        })
    }
}
