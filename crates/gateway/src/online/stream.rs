//! The stream of an answer: passed on as it comes, and taken up at another worker where it breaks.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::serving::online::event_stream::{EventSplitter, WholeEvent};
use stallmoor_core::time::{Millis, Timestamp};

use super::{LEAST_REMAINING, Passage};
use crate::http::answer_body::{Aborted, AnswerBody, PieceSender};
use crate::workers::attempt::OpenAnswer;

/// The share of the longest pause that is in time after which another worker goes on.
const GAP_TIMEOUT_PERCENT: u64 = 60;
/// The wait before a begun stream is offered once more to workers that all had no room; doubles with each
/// round.
const FIRST_RESUME_WAIT: Millis = Millis(20);
/// Longest wait between two such rounds.
const LONGEST_RESUME_WAIT: Millis = Millis(160);

/// How a stream from one worker ended.
enum StreamEnd {
    Whole,
    CallerGone,
    OutOfTime,
    Broken(AttemptEnd),
}

impl Passage {
    /// Answers with a stream that is passed on as it comes.
    pub(super) fn stream(mut self, answer: OpenAnswer) -> Response<AnswerBody> {
        let (sender, body) = AnswerBody::pieces();
        let mut response = Response::new(body);
        *response.status_mut() = answer.status;
        *response.headers_mut() = self.client.dialect.answer_headers(&answer.headers);
        response.headers_mut().remove(CONTENT_LENGTH);
        tokio::spawn(async move { self.pass_on(answer, &sender).await });
        response
    }

    async fn pass_on(&mut self, answer: OpenAnswer, sender: &PieceSender) {
        let mut current = answer;
        let mut how = "broken off";
        loop {
            let worker = current.worker.clone();
            match self.pass_on_from(current, sender).await {
                StreamEnd::Whole => return self.log_end("whole"),
                StreamEnd::CallerGone => return self.log_end("caller gone"),
                StreamEnd::OutOfTime => {
                    how = "out of time";
                    break;
                }
                StreamEnd::Broken(end) => {
                    let now = self.now();
                    self.client.view.workers().failed(&worker, true, now);
                    self.log_attempt(&worker, end);
                    self.note_end(&worker, end);
                }
            }
            if !self.may_run_again() || !self.may_try_again() {
                break;
            }
            let resumed = tokio::select! {
                resumed = self.resume() => resumed,
                () = sender.closed() => return self.log_end("caller gone"),
            };
            match resumed {
                Some(answer) => current = answer,
                None => break,
            }
        }
        self.log_end(how);
        // A caller that is gone does not need to hear of it.
        let _ = sender.send(Err(Aborted)).await;
    }

    /// Offers a begun stream to workers until one goes on with it. A stream that the caller has begun to
    /// read can't be refused any more, so workers without room are asked again while there is time.
    async fn resume(&mut self) -> Option<OpenAnswer> {
        let mut wait = FIRST_RESUME_WAIT;
        loop {
            if let Ok(answer) = self.open().await {
                return answer.status.is_success().then_some(answer);
            }
            let may_run = self.ledger.may_run(self.request.route.kind, self.request.route.max_attempts);
            if !may_run || self.remaining() < wait + LEAST_REMAINING {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(wait.0)).await;
            wait = Millis((wait.0 * 2).min(LONGEST_RESUME_WAIT.0));
            self.ledger.begin_round();
            self.tried.clone_from(&self.ran_on);
        }
    }

    /// Passes on whole events until the stream ends, breaks, pauses for too long, or the caller leaves.
    async fn pass_on_from(&mut self, mut answer: OpenAnswer, sender: &PieceSender) -> StreamEnd {
        let mut splitter = EventSplitter::default();
        let mut first = true;
        let mut began = None;
        loop {
            let timeout = self.event_timeout(first, answer.sent_at);
            let frame = tokio::select! {
                frame = tokio::time::timeout(timeout, answer.body.frame()) => frame,
                () = sender.closed() => return StreamEnd::CallerGone,
            };
            let data = match frame {
                Err(_) if self.remaining() == Millis(0) => return StreamEnd::OutOfTime,
                Err(_) => return StreamEnd::Broken(AttemptEnd::Silent),
                Ok(Some(Err(_))) => return StreamEnd::Broken(AttemptEnd::Broken),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => {
                    self.note_hold(began);
                    return finish_stream(answer, &splitter);
                }
            };
            let events = splitter.push(&data);
            if events.is_empty() {
                continue;
            }
            if first {
                first = false;
                began.get_or_insert(self.now());
                self.first_event_after.get_or_insert(self.now().since(self.request.arrived_at));
                self.note_first_event(&answer);
            }
            match self.pass_on_events(events, sender).await {
                Ok(()) => {}
                Err(end) => return end,
            }
        }
    }

    async fn pass_on_events(&mut self, events: Vec<WholeEvent>, sender: &PieceSender) -> Result<(), StreamEnd> {
        let mut piece = Vec::new();
        for event in events {
            if let (Some(id), Some(last)) = (event.id, self.last_event) {
                if id <= last && self.may_run_again() {
                    continue;
                }
                if id > last + 1 && self.may_run_again() {
                    return Err(StreamEnd::Broken(AttemptEnd::Broken));
                }
            }
            self.last_event = event.id.or(self.last_event);
            self.events += 1;
            piece.extend_from_slice(&event.bytes);
        }
        if piece.is_empty() {
            return Ok(());
        }
        let left = Duration::from_millis(self.remaining().0);
        match tokio::time::timeout(left, sender.send(Ok(Bytes::from(piece)))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(StreamEnd::CallerGone),
            Err(_) => Err(StreamEnd::OutOfTime),
        }
    }

    fn note_first_event(&self, answer: &OpenAnswer) {
        let now = self.now();
        let took = now.since(answer.sent_at);
        let found_slot = self.last_choice.as_ref().is_some_and(|choice| choice.load < choice.slots);
        let mut workers = self.client.view.workers();
        workers.succeeded(&answer.worker, took, now);
        if found_slot {
            workers.service_times(&self.service).note_first(took);
        }
    }

    /// A stream that was read from its first event on held its slot since then.
    fn note_hold(&self, began: Option<Timestamp>) {
        let is_whole = self.attempts == 1 && self.request.facts.last_event.is_none();
        if let Some(began) = began.filter(|_| is_whole) {
            let took = self.now().since(began);
            self.client.view.workers().service_times(&self.service).note_hold(took);
        }
    }

    /// How long the next event is waited for.
    fn event_timeout(&self, first: bool, sent_at: Timestamp) -> Duration {
        let remaining = self.remaining();
        let route = &self.request.route;
        let can_move = self.may_run_again()
            && self.ledger.ran + 1 < route.max_attempts
            && self.client.view.retry_budget().has_token();
        let gap = route.gap_target.filter(|_| can_move);
        let Some(gap) = gap else { return Duration::from_millis(remaining.0) };
        let target = if first && self.events == 0 {
            let allowed = self.first_event_timeout();
            Millis(allowed.0.saturating_sub(self.now().since(sent_at).0)).max(Millis(20))
        } else {
            Millis(gap.0 * GAP_TIMEOUT_PERCENT / 100)
        };
        Duration::from_millis(target.min(remaining).0)
    }
}

/// A stream has ended: whole, unless it broke off within an event.
fn finish_stream(answer: OpenAnswer, splitter: &EventSplitter) -> StreamEnd {
    if !splitter.pending().is_empty() {
        return StreamEnd::Broken(AttemptEnd::Broken);
    }
    answer.release();
    StreamEnd::Whole
}
