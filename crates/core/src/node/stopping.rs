//! The planned stop.
//!
//! New requests are refused with a pointer to other nodes, leadership is handed over, batch items are
//! given back with what they have so far, and requests in hand are finished. Then the node leaves the
//! membership and exits.

use super::effect::Effect;
use super::machine::Node;
use crate::log_event::LogEvent;
use crate::time::{Millis, Timestamp};

/// Time between leaving the membership and the exit, so that the departure is sent.
const LEAVE_WAIT: Millis = Millis(300);
/// Leadership is handed over again if the first try came to nothing.
const HAND_OVER_INTERVAL: Millis = Millis(500);
/// How long handing over may take before the node stops all the same; the others then elect anew.
const HAND_OVER_TIMEOUT: Millis = Millis(5_000);

/// How far a planned stop is.
pub(super) struct StopState {
    began: Timestamp,
    next_hand_over: Timestamp,
    exit_at: Option<Timestamp>,
}

impl Node {
    pub(super) fn begin_stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        let now = self.clock.now;
        self.log(LogEvent::NodeStopping, self.settings.id.to_string());
        self.give_back_batch();
        self.stopping = Some(StopState { began: now, next_hand_over: now, exit_at: None });
        self.tick_stop();
    }

    pub(super) fn tick_stop(&mut self) {
        let now = self.clock.now;
        let Some(stop) = &mut self.stopping else { return };
        if let Some(exit_at) = stop.exit_at {
            // Whoever came in before this node left is still answered.
            let is_late = now.since(stop.began) >= self.settings.stop_timeout + LEAVE_WAIT;
            if now >= exit_at && (self.is_idle() || is_late) {
                self.log(LogEvent::NodeStopped, self.settings.id.to_string());
                self.effects.push(Effect::Exit);
            }
            return;
        }
        let waited = now.since(stop.began);
        let hand_over_due = now >= stop.next_hand_over;
        if hand_over_due {
            stop.next_hand_over = now + HAND_OVER_INTERVAL;
        }
        let leads_none = if hand_over_due { self.hand_over_leadership() } else { self.groups.led().next().is_none() };
        let handed_over = leads_none || waited >= HAND_OVER_TIMEOUT;
        if (handed_over && self.is_idle()) || waited >= self.settings.stop_timeout {
            self.leave_fleet();
        }
    }

    /// Whether nobody waits for an answer of this node.
    fn is_idle(&self) -> bool {
        self.online.requests.is_empty()
            && self.uploads.is_empty()
            && self.client.len() == 0
            && !self.has_applies()
            && !self.gathers_status()
    }

    /// Whether the node has left the membership and takes no call of any kind any more.
    pub(super) fn has_left(&self) -> bool {
        self.stopping.as_ref().is_some_and(|stop| stop.exit_at.is_some())
    }

    fn leave_fleet(&mut self) {
        let exit_at = self.clock.now + LEAVE_WAIT;
        self.membership.leave();
        if let Some(stop) = &mut self.stopping {
            stop.exit_at = Some(exit_at);
        }
    }
}
