//! Complete answers that wait for their callers to read them.
//!
//! `stallmoor_core::serving::online::unread_answers` decides which of them are ended when other answers need the memory.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::online::unread_answers::{UnreadAnswer, answers_to_end};
use stallmoor_core::time::Timestamp;
use tokio::time::Instant;

use super::answer_memory::HeldMemory;
use crate::observe::journal::{Field, record};

/// The answers of this process that are held for their callers.
#[derive(Debug)]
pub struct UnreadAnswers {
    started: Instant,
    waiting: Mutex<Waiting>,
}

#[derive(Debug, Default)]
struct Waiting {
    last_number: u64,
    answers: BTreeMap<u64, WaitingAnswer>,
}

#[derive(Debug)]
struct WaitingAnswer {
    /// The parts that were not sent yet.
    parts: VecDeque<Bytes>,
    remaining: usize,
    memory: HeldMemory,
    read_at: Timestamp,
}

/// An answer was ended before its caller had read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended;

impl Default for UnreadAnswers {
    fn default() -> Self {
        Self { started: Instant::now(), waiting: Mutex::default() }
    }
}

impl UnreadAnswers {
    /// Holds an answer until [`Self::remove`]. Returns its number.
    pub fn insert(&self, parts: VecDeque<Bytes>, memory: HeldMemory) -> u64 {
        let remaining = parts.iter().map(Bytes::len).sum();
        let answer = WaitingAnswer { parts, remaining, memory, read_at: self.now() };
        let mut waiting = self.lock();
        waiting.last_number += 1;
        let number = waiting.last_number;
        waiting.answers.insert(number, answer);
        number
    }

    /// Removes the next part of an answer and releases its memory. Returns `None` after the last part.
    ///
    /// # Errors
    ///
    /// [`Ended`]: the rest of the answer is no longer held.
    pub fn take_next(&self, number: u64) -> Result<Option<Bytes>, Ended> {
        let now = self.now();
        let mut waiting = self.lock();
        let answer = waiting.answers.get_mut(&number).ok_or(Ended)?;
        let part = answer.parts.pop_front();
        answer.remaining -= part.as_ref().map_or(0, Bytes::len);
        answer.read_at = now;
        // Less memory can always be held.
        let _ = answer.memory.resize(answer.remaining);
        Ok(part)
    }

    /// Drops what is left of an answer.
    pub fn remove(&self, number: u64) {
        let removed = self.lock().answers.remove(&number);
        drop(removed);
    }

    /// Ends answers that their callers don't read, so that `needed` bytes are free, if there are enough of them.
    pub fn end(&self, needed: usize) {
        let now = self.now();
        let mut waiting = self.lock();
        let unread = waiting
            .answers
            .iter()
            .map(|(number, answer)| (*number, UnreadAnswer { read_at: answer.read_at, held: answer.memory.bytes() }));
        let ended = answers_to_end(&unread.collect(), needed, now);
        let ended: Vec<WaitingAnswer> = ended.iter().filter_map(|number| waiting.answers.remove(number)).collect();
        drop(waiting);
        for answer in ended {
            let fields = [
                Field::number("held_bytes", answer.memory.bytes() as u64),
                Field::number("unread_ms", now.since(answer.read_at).0),
            ];
            record(LogEvent::UnreadAnswerEnded, &fields);
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
