//! The stream of an answer: passed on as it comes, and taken up at another worker where it breaks.
//!
//! Owns the task that reads from a worker and writes to the caller; what an event means and how long one is awaited is
//! decided by the request's state.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::serving::online::event_stream::{EventSplitter, ServerSentEvent};
use stallmoor_core::serving::online::request_state::ResumeRounds;
use stallmoor_core::serving::online::timeouts::AwaitedEvent;
use stallmoor_core::time::{Millis, Timestamp};

use super::Passage;
use crate::http::answer_body::{Aborted, AnswerBody, ChunkSender};
use crate::workers::attempt::OpenAnswer;

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
        let (sender, body) = AnswerBody::channel();
        let mut response = Response::new(body);
        *response.status_mut() = answer.status;
        *response.headers_mut() = self.client.dialect.answer_headers(&answer.headers);
        response.headers_mut().remove(CONTENT_LENGTH);
        tokio::spawn(async move { self.pass_on(answer, &sender).await });
        response
    }

    async fn pass_on(&mut self, answer: OpenAnswer, sender: &ChunkSender) {
        let mut current = answer;
        let mut how = "broken off";
        loop {
            let worker = current.worker.clone();
            match self.pass_on_from(current, sender).await {
                StreamEnd::Whole => {
                    self.run_completed();
                    return self.log_end("whole");
                }
                StreamEnd::CallerGone => return self.log_end("caller gone"),
                StreamEnd::OutOfTime => {
                    how = "out of time";
                    break;
                }
                StreamEnd::Broken(end) => self.end_attempt(&worker, end),
            }
            if !self.state.may_resume() {
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
        // A caller that is gone needs no sign that the answer broke off.
        let _ = sender.send(Err(Aborted)).await;
    }

    /// Offers a begun stream to workers, in rounds, until one goes on with it.
    async fn resume(&mut self) -> Option<OpenAnswer> {
        let mut rounds = ResumeRounds::default();
        loop {
            if let Ok(answer) = self.open().await {
                return answer.status.is_success().then_some(answer);
            }
            let wait = self.state.next_round(&mut rounds, self.now())?;
            tokio::time::sleep(Duration::from_millis(wait.0)).await;
        }
    }

    /// Passes on whole events until the stream ends, breaks, pauses for too long, or the caller leaves.
    async fn pass_on_from(&mut self, mut answer: OpenAnswer, sender: &ChunkSender) -> StreamEnd {
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
                Err(_) if self.state.remaining(self.now()) == Millis(0) => return StreamEnd::OutOfTime,
                Err(_) => return StreamEnd::Broken(AttemptEnd::Silent),
                Ok(Some(Err(_))) => return StreamEnd::Broken(AttemptEnd::Broken),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => {
                    self.note_slot_time(began);
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
                self.first_event_after.get_or_insert(self.state.age(self.now()));
                self.note_first_event(&answer);
            }
            match self.pass_on_events(events, sender).await {
                Ok(()) => {}
                Err(end) => return end,
            }
        }
    }

    async fn pass_on_events(&mut self, events: Vec<ServerSentEvent>, sender: &ChunkSender) -> Result<(), StreamEnd> {
        let taken = self.state.progress.take(events, self.state.is_retryable());
        if let (Some(run), Some(event)) = (&mut self.run, self.state.progress.last_event) {
            run.record_progress(event);
        }
        if !taken.bytes.is_empty() {
            self.send(taken.bytes, sender).await?;
        }
        if taken.has_gap { Err(StreamEnd::Broken(AttemptEnd::Broken)) } else { Ok(()) }
    }

    async fn send(&self, piece: Vec<u8>, sender: &ChunkSender) -> Result<(), StreamEnd> {
        let left = Duration::from_millis(self.state.remaining(self.now()).0);
        match tokio::time::timeout(left, sender.send(Ok(Bytes::from(piece)))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(StreamEnd::CallerGone),
            Err(_) => Err(StreamEnd::OutOfTime),
        }
    }

    fn note_first_event(&self, answer: &OpenAnswer) {
        let now = self.now();
        let took = now.since(answer.sent_at);
        if let Some(choice) = &self.last_choice {
            self.client.view.workers().first_event(&self.service, choice, took, now);
        }
    }

    /// A stream that was read from its first event on took up its slot since then.
    fn note_slot_time(&self, began: Option<Timestamp>) {
        if let Some(began) = began.filter(|_| self.state.was_served_by_one_worker()) {
            let took = self.now().since(began);
            self.client.view.workers().service_times(&self.service).record_slot_time(took);
        }
    }

    /// How long the next event is awaited.
    fn event_timeout(&self, is_first: bool, sent_at: Timestamp) -> Duration {
        let view = &self.client.view;
        let awaited = if is_first && self.state.progress.events == 0 {
            AwaitedEvent::First { sent_at, mean_first: view.workers().mean_time_to_first_event() }
        } else {
            AwaitedEvent::Next
        };
        let timeout = self.state.event_timeout(&view.retry_budget(), awaited, self.now());
        Duration::from_millis(timeout.0)
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
