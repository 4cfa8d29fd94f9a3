//! Graceful shutdown.
//!
//! The node refuses new requests, referring callers to other nodes, transfers its leadership, returns
//! batch items with their partial output, and completes requests in progress. It then leaves the
//! membership and exits.

use super::effect::Effect;
use super::machine::Node;
use crate::log_event::LogEvent;
use crate::time::{Millis, Timestamp};

/// Delay between leaving the membership and exiting, which allows the departure to be sent.
const LEAVE_DELAY: Millis = Millis(300);
/// Interval between attempts to transfer leadership.
const LEADERSHIP_TRANSFER_INTERVAL: Millis = Millis(500);
/// Time after which the node stops even if it still leads groups; the remaining members then elect a leader.
const LEADERSHIP_TRANSFER_TIMEOUT: Millis = Millis(5_000);

/// Progress of a graceful shutdown.
pub(super) struct StopState {
    started: Timestamp,
    next_transfer: Timestamp,
    exit_at: Option<Timestamp>,
}

impl Node {
    pub(super) fn begin_stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        let now = self.clock.now;
        self.log(LogEvent::NodeStopping, self.settings.id.to_string());
        self.stop_batch();
        self.stopping = Some(StopState { started: now, next_transfer: now, exit_at: None });
        self.tick_stop();
    }

    pub(super) fn tick_stop(&mut self) {
        let now = self.clock.now;
        let Some(stop) = &mut self.stopping else { return };
        if let Some(exit_at) = stop.exit_at {
            // Requests that arrived before the node left the membership are still answered.
            let timed_out = now.since(stop.started) >= self.settings.stop_timeout + LEAVE_DELAY;
            if now >= exit_at && (self.is_idle() || timed_out) {
                self.log(LogEvent::NodeStopped, self.settings.id.to_string());
                self.effects.push(Effect::Exit);
            }
            return;
        }
        let elapsed = now.since(stop.started);
        let transfer_due = now >= stop.next_transfer;
        if transfer_due {
            stop.next_transfer = now + LEADERSHIP_TRANSFER_INTERVAL;
        }
        let leads_none = if transfer_due { self.transfer_all_leadership() } else { self.groups.led().next().is_none() };
        let transferred = leads_none || elapsed >= LEADERSHIP_TRANSFER_TIMEOUT;
        if (transferred && self.is_idle()) || elapsed >= self.settings.stop_timeout {
            self.leave_membership();
        }
    }

    /// Returns whether no request is in progress.
    fn is_idle(&self) -> bool {
        self.online.requests.is_empty()
            && self.uploads.is_empty()
            && self.client.len() == 0
            && !self.has_pending_applies()
            && !self.has_pending_fleet_status()
    }

    /// Returns whether the node has left the membership and rejects all calls.
    pub(super) fn has_left(&self) -> bool {
        self.stopping.as_ref().is_some_and(|stop| stop.exit_at.is_some())
    }

    fn leave_membership(&mut self) {
        let exit_at = self.clock.now + LEAVE_DELAY;
        self.membership.leave();
        if let Some(stop) = &mut self.stopping {
            stop.exit_at = Some(exit_at);
        }
    }
}
