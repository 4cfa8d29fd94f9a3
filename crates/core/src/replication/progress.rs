//! The leader's view of a follower's replication progress.

use super::log::LogIndex;
use crate::time::Timestamp;

/// The leader's view of one follower.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The highest index up to which the follower's log is known to match the leader's.
    pub matched: LogIndex,
    /// The index of the next entry to send.
    pub next: LogIndex,
    /// The time of the follower's last answer in this term.
    pub last_answer: Option<Timestamp>,
    /// The send time of the latest answered message. The follower's promise not to elect another leader starts no
    /// earlier than this.
    pub last_acked_send: Option<Timestamp>,
    /// The time at which entries or a snapshot were last sent.
    pub last_sent: Timestamp,
    /// Whether the point up to which the logs match is unknown. While probing, appends carry no entries and do not
    /// advance `next`. Otherwise the rejections of several appends in flight would keep moving `next` back and forth.
    pub probing: bool,
    /// The index of the snapshot in transit to the follower, if any.
    pub pending_snapshot: Option<LogIndex>,
}

impl Progress {
    /// Creates the state for a follower whose log is unknown. Probing starts at `next`.
    pub fn new(next: LogIndex, now: Timestamp) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            last_answer: None,
            last_acked_send: None,
            last_sent: now,
            probing: true,
            pending_snapshot: None,
        }
    }

    /// Records that the follower's log matches up to `index`.
    pub fn accepted(&mut self, index: LogIndex, now: Timestamp) {
        self.last_answer = Some(now);
        if self.probing && index < self.next.previous() {
            // The follower answered ahead of its disk and acknowledged only what it has written; the answer to the probe
            // follows.
            self.matched = self.matched.max(index);
            return;
        }
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

    /// Records that the follower rejected an append. Probing resumes after `hint`, but never at or below `matched`.
    pub fn rejected(&mut self, hint: LogIndex, now: Timestamp) {
        self.last_answer = Some(now);
        self.probing = true;
        let floor = self.matched.next();
        self.next = hint.next().min(self.next.previous()).max(floor);
    }
}
