//! Origins that rest on the record of a worker that may have been replaced before.
//!
//! A worker may come back under its ID with another version. The origin of a stream that it begins is taken from its
//! earlier record until the new one is read. Which of its incarnations answered is then not known.

use std::collections::VecDeque;

use super::directory::MAX_STREAMS;
use super::message::OriginRecord;
use super::origin::StreamOrigin;
use crate::serving::workers::continuation::RECORD_DELAY;
use crate::serving::workers::{WorkerId, WorkerRecord};
use crate::time::{Millis, Timestamp};

/// An origin taken from a worker's record.
#[derive(Clone, Debug)]
pub struct UnconfirmedOrigin {
    /// The origin by the record with which the worker was chosen.
    pub record: OriginRecord,
    /// Maximum duration of the stream.
    pub lifetime: Millis,
    /// The worker that sent the first event.
    pub worker: WorkerId,
    /// Time of the first event.
    pub began_at: Timestamp,
}

/// An origin that the present record of its worker contradicts.
#[derive(Clone, Debug)]
pub struct Contradiction {
    /// The origin by the record with which the worker was chosen.
    pub recorded: UnconfirmedOrigin,
    /// The origin by the worker's present record.
    pub present: StreamOrigin,
}

/// Origins that a newer record of their worker may contradict, in the order of their first events.
#[derive(Clone, Debug, Default)]
pub struct UnconfirmedOrigins {
    pending: VecDeque<UnconfirmedOrigin>,
}

impl UnconfirmedOrigins {
    /// Adds the origin of a stream whose first event has arrived.
    pub fn add(&mut self, origin: UnconfirmedOrigin) {
        if self.pending.len() >= MAX_STREAMS {
            self.pending.pop_front();
        }
        self.pending.push_back(origin);
    }

    /// Takes the origins that the present records of their workers contradict. Drops those that a view that was complete
    /// at `confirmed_at` confirms.
    pub fn take_contradicted<'a>(
        &mut self,
        record_of: impl Fn(&WorkerId) -> Option<&'a WorkerRecord>,
        confirmed_at: Timestamp,
    ) -> Vec<Contradiction> {
        let mut contradicted = Vec::new();
        self.pending.retain(|pending| {
            let Some(worker) = record_of(&pending.worker) else { return false };
            let present = StreamOrigin { service: worker.service.clone(), version: worker.version.clone() };
            if present != pending.record.origin {
                contradicted.push(Contradiction { recorded: pending.clone(), present });
                return false;
            }
            confirmed_at < pending.began_at + RECORD_DELAY
        });
        contradicted
    }
}
