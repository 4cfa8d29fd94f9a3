//! Reads an answer that is not a stream completely before it is passed on, so that another worker can be tried if it
//! breaks off.

use std::time::Duration;

use hyper::Response;
use stallmoor_core::error::{ErrorKind, Refusal};
use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::serving::online::attribution::HeadVerdict;
use stallmoor_core::time::Millis;

use super::ActiveRequest;
use crate::http::answer_body::AnswerBody;
use crate::http::refusal;
use crate::workers::answer_reader::read_body;
use crate::workers::attempt::OpenAnswer;

/// An answer that can be sent to the caller.
pub(super) enum Answer {
    Complete(Response<AnswerBody>),
    /// A stream whose events are still to be forwarded.
    Stream(Box<OpenAnswer>),
}

impl ActiveRequest {
    /// Reads an answer completely unless it is a stream. Tries further workers while bodies can't be completed.
    pub(super) async fn read_answer(&mut self, answer: OpenAnswer) -> Result<Answer, Refusal> {
        let mut current = answer;
        loop {
            if self.state.is_stream() && current.status.is_success() {
                return Ok(Answer::Stream(Box::new(current)));
            }
            let (worker, sent_at) = (current.worker.clone(), current.sent_at);
            let end = match self.buffer(current).await {
                Ok(response) => return Ok(Answer::Complete(response)),
                Err(end) => end,
            };
            // A worker that is too slow for the deadline has not failed.
            if self.state.remaining(self.now()) == Millis(0) {
                self.run_ended(end);
                return Ok(Answer::Complete(self.refuse_incomplete(end)));
            }
            self.end_attempt(&worker, end, sent_at);
            if !self.state.may_resume() {
                return Ok(Answer::Complete(self.refuse_incomplete(end)));
            }
            current = self.open().await?;
        }
    }

    fn refuse_incomplete(&self, end: AttemptEnd) -> Response<AnswerBody> {
        self.log_end("broken off");
        let detail = match end {
            AttemptEnd::TooLarge { .. } => "the worker's answer exceeds the limit",
            AttemptEnd::NoMemory => "there is no memory for the worker's answer",
            _ => "the worker broke off its answer",
        };
        refusal::from_kind(ErrorKind::AnswerIncomplete, detail)
    }

    /// Reads the complete body of an answer and returns the response.
    async fn buffer(&mut self, mut answer: OpenAnswer) -> Result<Response<AnswerBody>, AttemptEnd> {
        let timeout = Duration::from_millis(self.state.remaining(self.now()).0);
        let reading = read_body(&mut answer.body, &self.client.answers);
        let body = tokio::time::timeout(timeout, reading).await.unwrap_or(Err(AttemptEnd::Broken))?;
        self.log_end(answer.status.as_str());
        if answer.verdict() == HeadVerdict::Serving {
            self.record_evidence(|attribution, _| attribution.on_served(&answer.worker));
        }
        if answer.status.is_success() {
            self.run_completed();
        } else if let Some(run) = self.run.take() {
            run.finish();
        }
        let mut response = Response::new(AnswerBody::Full(body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = self.client.dialect.answer_headers(&answer.headers);
        answer.release();
        Ok(response)
    }
}
