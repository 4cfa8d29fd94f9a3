//! Forwards a streamed answer as it arrives, and resumes it at another worker if it is interrupted.
//!
//! Owns the task that reads from a worker and writes to the caller. The request's state interprets events and sets the
//! timeouts.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::serving::online::event_stream::ServerSentEvent;
use stallmoor_core::serving::online::request_state::ResumeRounds;
use stallmoor_core::serving::online::stream_end::StreamCompletion;
use stallmoor_core::serving::online::timeouts::{AwaitedEvent, EventWait};
use stallmoor_core::time::{Millis, Timestamp};

use super::ActiveRequest;
use crate::http::answer_body::{AnswerBody, ChunkSender, Disconnected};
use crate::shutdown::{StopOutcome, StopPhase};
use crate::workers::answer_reader::EventReader;
use crate::workers::attempt::OpenAnswer;

/// What was forwarded of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Forwarded {
    Whole,
    Part,
}

/// How a stream from one worker ended.
enum StreamEnd {
    Complete,
    CallerDisconnected,
    DeadlineExceeded,
    AttemptFailed(AttemptEnd),
}

impl ActiveRequest {
    /// Responds with a body that is forwarded as it arrives.
    pub(super) fn respond_streaming(mut self, answer: OpenAnswer) -> Response<AnswerBody> {
        let (sender, body) = AnswerBody::channel();
        let mut response = Response::new(body);
        *response.status_mut() = answer.status;
        *response.headers_mut() = self.client.dialect.answer_headers(&answer.headers);
        response.headers_mut().remove(CONTENT_LENGTH);
        tokio::spawn(async move {
            let shutdown = self.open.shutdown.clone();
            let forwarded = tokio::select! {
                biased;
                forwarded = self.forward(answer, &sender) => forwarded,
                () = shutdown.reached(StopPhase::Ending) => {
                    shutdown.count(StopOutcome::Cut);
                    self.log_end("stopping");
                    Forwarded::Part
                }
            };
            if forwarded == Forwarded::Whole {
                sender.complete();
            }
        });
        response
    }

    async fn forward(&mut self, answer: OpenAnswer, sender: &ChunkSender) -> Forwarded {
        let mut current = answer;
        let mut outcome = "broken off";
        loop {
            let (worker, sent_at) = (current.worker.clone(), current.sent_at);
            match self.forward_from(current, sender).await {
                StreamEnd::Complete => {
                    self.run_completed();
                    self.log_end("whole");
                    return Forwarded::Whole;
                }
                StreamEnd::CallerDisconnected => {
                    outcome = "caller gone";
                    break;
                }
                StreamEnd::DeadlineExceeded => {
                    outcome = "out of time";
                    break;
                }
                StreamEnd::AttemptFailed(end) => self.end_attempt(&worker, end, sent_at),
            }
            if !self.state.may_resume() {
                break;
            }
            let resumed = tokio::select! {
                resumed = self.resume() => resumed,
                () = sender.closed() => {
                    outcome = "caller gone";
                    break;
                }
            };
            match resumed {
                Some(answer) => current = answer,
                None => break,
            }
        }
        self.log_end(outcome);
        Forwarded::Part
    }

    /// Sends the request to workers, in rounds, until one of them resumes the partially sent stream. Gives up once no
    /// worker of the version that began the stream is left, that version is not known, or this node stops first.
    async fn resume(&mut self) -> Option<OpenAnswer> {
        let mut rounds = ResumeRounds::default();
        loop {
            if self.is_origin_contradicted() || self.check_stop().is_err() {
                return None;
            }
            if let Ok(answer) = self.open().await {
                return answer.status.is_success().then_some(answer);
            }
            if self.is_origin_gone() {
                return None;
            }
            let wait = self.state.next_round(&mut rounds, self.now())?;
            tokio::time::sleep(Duration::from_millis(wait.0)).await;
        }
    }

    /// Forwards complete events until the stream ends, fails or times out, or the caller disconnects.
    async fn forward_from(&mut self, mut answer: OpenAnswer, sender: &ChunkSender) -> StreamEnd {
        let mut reader = EventReader::new(&self.client.answers, answer.framing());
        let mut first = true;
        let mut first_event_at = None;
        let sent_at = answer.sent_at;
        let mut waiting_since = self.now();
        loop {
            let may_fall_silent = first && !self.state.attribution.is_silence_judged();
            let wait = EventWait { since: waiting_since, received: reader.pending_bytes() };
            let timeout = self.event_timeout(first, answer.sent_at, wait);
            let frame = tokio::select! {
                frame = tokio::time::timeout(timeout, answer.body.frame()) => frame,
                () = sender.closed() => return StreamEnd::CallerDisconnected,
                () = async { tokio::time::sleep(self.silence_after(sent_at)).await }, if may_fall_silent => {
                    self.record_silence(&answer.worker);
                    continue;
                }
            };
            let data = match frame {
                Err(_) if self.state.remaining(self.now()) == Millis(0) => return StreamEnd::DeadlineExceeded,
                Err(_) => {
                    if first && self.silence_after(sent_at).is_zero() {
                        self.record_silence(&answer.worker);
                    }
                    return StreamEnd::AttemptFailed(AttemptEnd::Silent);
                }
                Ok(Some(Err(_))) => return StreamEnd::AttemptFailed(AttemptEnd::Broken),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => {
                    self.record_stream_slot_time(first_event_at);
                    return self.finish_stream(answer, &reader);
                }
            };
            let events = match reader.push(&data) {
                Ok(events) if events.is_empty() => continue,
                Ok(events) => events,
                Err(end) => return StreamEnd::AttemptFailed(end),
            };
            if first {
                first = false;
                first_event_at.get_or_insert(self.now());
                self.first_event_after.get_or_insert(self.state.age(self.now()));
                self.record_first_event(&answer);
                self.record_evidence(|attribution, _| attribution.on_served(&answer.worker));
            }
            match self.forward_events(events, sender).await {
                Ok(()) => waiting_since = self.now(),
                Err(end) => return end,
            }
        }
    }

    /// Handles the end of a worker's answer. Without evidence that the stream is complete it goes on elsewhere.
    fn finish_stream(&mut self, answer: OpenAnswer, reader: &EventReader) -> StreamEnd {
        let ended = reader.ended();
        match ended.completion(self.state.progress.has_events()) {
            StreamCompletion::Broken | StreamCompletion::Unknown => StreamEnd::AttemptFailed(AttemptEnd::Broken),
            StreamCompletion::Complete => {
                if !ended.has_events {
                    self.record_evidence(|attribution, _| attribution.on_served(&answer.worker));
                }
                answer.release();
                StreamEnd::Complete
            }
        }
    }

    async fn forward_events(&mut self, events: Vec<ServerSentEvent>, sender: &ChunkSender) -> Result<(), StreamEnd> {
        let taken = self.state.progress.take(events, self.state.is_retryable());
        if let (Some(run), Some(event)) = (&mut self.run, self.state.progress.last_event) {
            run.record_progress(event);
        }
        if !taken.bytes.is_empty() {
            self.record_origin().await;
            self.send(taken.bytes, sender).await?;
        }
        if taken.has_gap { Err(StreamEnd::AttemptFailed(AttemptEnd::Broken)) } else { Ok(()) }
    }

    async fn send(&self, chunk: Vec<u8>, sender: &ChunkSender) -> Result<(), StreamEnd> {
        let remaining = Duration::from_millis(self.state.remaining(self.now()).0);
        let sending = async {
            let chunk = self.client.answers.memory.hold(chunk).await;
            sender.send(chunk).await
        };
        tokio::select! {
            sent = tokio::time::timeout(remaining, sending) => match sent {
                Ok(Ok(())) => Ok(()),
                Ok(Err(Disconnected)) => Err(StreamEnd::CallerDisconnected),
                Err(_) => Err(StreamEnd::DeadlineExceeded),
            },
            () = sender.closed() => Err(StreamEnd::CallerDisconnected),
        }
    }

    fn record_first_event(&self, answer: &OpenAnswer) {
        let now = self.now();
        let elapsed = now.since(answer.sent_at);
        if let Some(choice) = &self.last_choice {
            self.client.view.workers().record_first_event(&self.service, choice, elapsed, now);
        }
    }

    /// Records the time for which the stream occupied a slot, from its first event until now, if one worker served all
    /// of it.
    fn record_stream_slot_time(&self, first_event_at: Option<Timestamp>) {
        if let Some(first_event_at) = first_event_at.filter(|_| self.state.was_served_by_one_worker()) {
            let elapsed = self.now().since(first_event_at);
            self.client.view.workers().service_times(&self.service).record_slot_time(elapsed);
        }
    }

    /// Returns the timeout for the next event.
    fn event_timeout(&self, is_first: bool, sent_at: Timestamp, wait: EventWait) -> Duration {
        let view = &self.client.view;
        let awaited = if is_first && self.state.progress.events == 0 {
            AwaitedEvent::First { sent_at, mean_first: view.workers().mean_time_to_first_event(), wait }
        } else {
            AwaitedEvent::Next { wait }
        };
        let timeout = self.state.event_timeout(&view.retry_budget(), awaited, self.now());
        Duration::from_millis(timeout.0)
    }
}
