//! What a leader knows of one follower.

use super::log::LogIndex;
use crate::time::Timestamp;

/// What a leader knows of one follower.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The follower's log is known to match the leader's up to here.
    pub matched: LogIndex,
    /// The next entry to send.
    pub next: LogIndex,
    /// When the follower last answered in this term.
    pub last_answer: Option<Timestamp>,
    /// When the latest message that the follower answered was sent: it follows since then at least.
    pub follows_since: Option<Timestamp>,
    /// When entries or a snapshot were last sent.
    pub last_sent: Timestamp,
    /// Where the follower's log ends or parts from the leader's is not known: appends carry no entries
    /// and `next` stays, until one is accepted. Entries sent meanwhile would all be refused, and the
    /// refusals of several appends under way would move `next` to and fro without end.
    pub probing: bool,
    /// A snapshot up to here is on its way.
    pub pending_snapshot: Option<LogIndex>,
}

impl Progress {
    /// A follower of which nothing is known yet.
    pub fn new(next: LogIndex, now: Timestamp) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            last_answer: None,
            follows_since: None,
            last_sent: now,
            probing: true,
            pending_snapshot: None,
        }
    }

    /// Notes that the follower's log matches up to `index`.
    pub fn accepted(&mut self, index: LogIndex, now: Timestamp) {
        self.last_answer = Some(now);
        if self.probing {
            self.probing = false;
            self.next = index.next();
        }
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        if self.pending_snapshot.is_some_and(|pending| pending <= self.matched) {
            self.pending_snapshot = None;
        }
    }

    /// Notes that the follower's log doesn't fit at `next`, and where to try again.
    pub fn rejected(&mut self, hint: LogIndex, now: Timestamp) {
        self.last_answer = Some(now);
        self.probing = true;
        let floor = self.matched.next();
        self.next = hint.next().min(self.next.previous()).max(floor);
    }
}
