//! What a graceful shutdown of this node means for a request.

use hyper::Response;
use stallmoor_core::error::{ErrorKind, Refusal};

use super::ActiveRequest;
use crate::http::answer_body::AnswerBody;
use crate::http::refusal;
use crate::shutdown::StopOutcome;

impl ActiveRequest {
    /// Refuses a request that this node can't answer before it stops.
    pub(super) fn check_stop(&self) -> Result<(), Refusal> {
        let shutdown = &self.open.shutdown;
        let Some(stop) = shutdown.active() else { return Ok(()) };
        self.state.check_stop(&stop, shutdown.expected(&self.request.route.name), self.now())
    }

    /// Logs and answers a refusal.
    pub(super) fn refuse(&self, refused: &Refusal) -> Response<AnswerBody> {
        self.log_refusal(refused);
        let shutdown = &self.open.shutdown;
        match refused.kind {
            ErrorKind::Stopping => shutdown.count(StopOutcome::Refused),
            ErrorKind::AnswerIncomplete if shutdown.active().is_some() => shutdown.count(StopOutcome::Answered),
            _ => {}
        }
        refusal::answer(refused)
    }

    /// Records the duration of a complete answer. A resumed stream is only a part of one.
    pub(super) fn record_answer_time(&self) {
        if !self.state.resumes_stream() {
            let now = self.now();
            self.open.shutdown.record_answer(&self.request.route.name, now.since(self.started_at), now);
        }
    }
}
