//! Serves callers' requests about batch jobs.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use stallmoor_core::error::{ErrorKind, Ran, Refusal};
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::configuration::Route;
use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::jobs::command::{JobKey, Submission};
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::leader::search::NoLeader;
use stallmoor_core::serving::leader::storage_reach::UNREACHABLE_RETRY_AFTER;
use stallmoor_core::serving::online::request_state::stopping;
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::serving::request::RequestAttributes;
use stallmoor_core::time::{Millis, Timestamp};

use crate::adapter::dialect::{Dialect, JobCall};
use crate::fleet::fleet_view::FleetView;
use crate::http::answer_body::AnswerBody;
use crate::http::refusal;
use crate::leader::client::LeaderClient;
use crate::observe::journal::{Field, record};
use crate::observe::measures;

/// Maximum duration of a submission; the caller's deadline may be shorter. Long enough to span a leader election.
const SUBMIT_TIMEOUT: Millis = Millis(2_500);
/// Timeout for any other call, in addition to the wait that the caller requests. Short, because the caller can retry.
const CALL_TIMEOUT: Millis = Millis(1_200);
/// Maximum time that a read may wait for a result. Bounds how long reads are held.
const MAX_READ_WAIT: Millis = Millis(2_000);
/// Retry delay for a job that exceeds the limit of queued tokens or the capacity of the disks.
const OVER_QUOTA_RETRY_AFTER: Millis = Millis(1_000);
/// Retry delay while the job table has no leader.
const NO_LEADER_RETRY_AFTER: Millis = Millis(300);

/// An admitted request to submit a batch job.
pub struct JobSubmission<'a> {
    /// Properties parsed from the headers.
    pub attributes: &'a RequestAttributes,
    /// Route that the request matched.
    pub route: &'a Route,
    /// Version of the configuration that defines the route.
    pub version: u64,
    /// Authenticated identity of the caller.
    pub identity: &'a CallerIdentity,
    /// Regions in which the job may run and be stored.
    pub regions: &'a AllowedRegions,
    /// Complete body, not yet parsed.
    pub body: &'a Bytes,
}

/// Handler of requests about batch jobs.
pub struct JobCalls {
    /// This node's view of the fleet.
    pub view: Arc<FleetView>,
    /// HTTP format of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Client of the job table's leader.
    pub client: LeaderClient,
}

impl JobCalls {
    /// Submits a job to the leader of the job table.
    pub async fn submit(&self, request: JobSubmission<'_>, arrived_at: Timestamp) -> Response<AnswerBody> {
        let JobSubmission { attributes, route, version, identity, regions, body } = request;
        if let Some(refused) = self.refuse_outside_regions(regions) {
            return refusal::answer(&refused);
        }
        let received_at = self.view.clock.wall_time();
        let submission = match self.dialect.submission(attributes, route, identity.tenant(), body, received_at) {
            Ok(submission) => Submission { configuration_version: version, ..submission },
            Err(error) => return refusal::from_kind(ErrorKind::MalformedRequest, &error.detail),
        };
        if !self.client.reaches_storage().await {
            return refusal::answer(&self.unreachable_refusal(&submission.key, arrived_at));
        }
        let timeout = attributes.deadline.unwrap_or(SUBMIT_TIMEOUT).min(SUBMIT_TIMEOUT).min(route.timeout);
        let key = submission.key.clone();
        let items = submission.items.len() as u64;
        let result = self.client.send_request(JobsRequest::Submit(submission), arrived_at + timeout).await;
        self.log_submission(&key, items, &result, arrived_at);
        match result {
            Ok(JobsAnswer::Accepted | JobsAnswer::Ended) => empty_response(StatusCode::ACCEPTED),
            Ok(JobsAnswer::OverQuota { waiting }) => {
                let detail = format!("{waiting} tokens wait on this route");
                let refused = Refusal::new(ErrorKind::TenantLimit, detail).with_retry_after(OVER_QUOTA_RETRY_AFTER.0);
                refusal::answer(&refused)
            }
            Ok(JobsAnswer::KeyTaken) => refusal::from_kind(ErrorKind::KeyConflict, "another job has this id"),
            Ok(JobsAnswer::NoRoom) => {
                let refused = Refusal::new(ErrorKind::StateUnavailable, "the storing nodes' disks have no room");
                refusal::answer(&refused.with_retry_after(OVER_QUOTA_RETRY_AFTER.0))
            }
            Ok(JobsAnswer::Indeterminate) => {
                refusal::answer(&indeterminate_refusal("an earlier try may have taken the job"))
            }
            Ok(_) => refusal::from_kind(ErrorKind::Internal, "an answer that does not fit a submission"),
            Err(no_leader) => refusal::answer(&no_leader_refusal(no_leader)),
        }
    }

    /// Serves a call about an existing job.
    pub async fn call(&self, call: JobCall, caller: CallerIdentity, arrived_at: Timestamp) -> Response<AnswerBody> {
        match call {
            JobCall::Read { job, first, wait } => {
                let wait = wait.min(MAX_READ_WAIT);
                let deadline = arrived_at + wait + CALL_TIMEOUT;
                match self.client.send_request(JobsRequest::Read { job, first, wait, caller }, deadline).await {
                    Ok(JobsAnswer::Page(page)) => {
                        response_with_body(self.dialect.result_page(first, &page), "application/json")
                    }
                    other => call_refusal(other),
                }
            }
            JobCall::Body { job, item } => {
                let request = JobsRequest::Body { job, item, caller };
                match self.client.send_request(request, arrived_at + CALL_TIMEOUT).await {
                    Ok(JobsAnswer::Body(body)) => {
                        response_with_body(Bytes::from(body.to_vec()), "application/octet-stream")
                    }
                    other => call_refusal(other),
                }
            }
            JobCall::End { job } => {
                let request = JobsRequest::End { job, caller };
                match self.client.send_request(request, arrived_at + CALL_TIMEOUT).await {
                    Ok(JobsAnswer::Ended | JobsAnswer::Accepted) => empty_response(StatusCode::OK),
                    // Unlike a read, ending the job may have taken effect.
                    Err(no_leader) => refusal::answer(&no_leader_refusal(no_leader)),
                    other => call_refusal(other),
                }
            }
        }
    }

    /// Returns the refusal of a submission that was not sent, since no storage node is reachable.
    fn unreachable_refusal(&self, key: &JobKey, arrived_at: Timestamp) -> Refusal {
        let result = Err(NoLeader { may_have_arrived: false });
        self.log_submission(key, 0, &result, arrived_at);
        let refused = Refusal::new(ErrorKind::StateUnavailable, "no storage node is reachable from this gateway");
        refused.with_retry_after(UNREACHABLE_RETRY_AFTER.0)
    }

    /// Refuses a job if any storage node is outside the job's allowed regions, since each of them may store the job
    /// table.
    fn refuse_outside_regions(&self, regions: &AllowedRegions) -> Option<Refusal> {
        let storage = self.view.storage();
        let outside = storage.records().find(|record| !self.view.regions.allows(regions, &record.zone))?;
        let detail = format!("jobs are also kept in the zone {}, and this one may only lie in {regions}", outside.zone);
        Some(Refusal::new(ErrorKind::RegionUnavailable, detail))
    }

    fn log_submission(&self, key: &JobKey, items: u64, result: &Result<JobsAnswer, NoLeader>, arrived_at: Timestamp) {
        let fields = [
            Field::text("job", key),
            Field::number("items", items),
            Field::text("result", format!("{result:?}")),
            Field::number("age_ms", self.view.clock.now().since(arrived_at).0),
        ];
        record(LogEvent::JobAccepted, &fields);
        measures::count_submission(match result {
            Ok(JobsAnswer::Accepted | JobsAnswer::Ended) => "accepted",
            Ok(JobsAnswer::OverQuota { .. }) => "over_quota",
            Ok(JobsAnswer::NoRoom) => "no_room",
            Ok(JobsAnswer::KeyTaken) => "key_taken",
            Ok(JobsAnswer::Indeterminate) => "unknown",
            Ok(_) => "unexpected",
            Err(NoLeader { may_have_arrived: true }) => "unknown",
            Err(NoLeader { may_have_arrived: false }) => "no_leader",
        });
    }
}

/// Returns the refusal of a call that no leader answered. If the request may have arrived, the refusal states an
/// unknown outcome, and the caller can retry safely.
fn no_leader_refusal(no_leader: NoLeader) -> Refusal {
    let detail = "the job table has no leader that answers";
    if no_leader.may_have_arrived {
        return indeterminate_refusal(detail);
    }
    Refusal::new(ErrorKind::StateUnavailable, detail).with_retry_after(NO_LEADER_RETRY_AFTER.0)
}

/// Returns the refusal of a submission that this node stops before it is answered.
pub fn unanswered_submission() -> Refusal {
    indeterminate_refusal("the node stops before the submission is answered")
}

/// Returns the refusal of a call that this node stops before it is answered. Reads can be repeated elsewhere at once.
pub fn unanswered_call(call: &JobCall) -> Refusal {
    match call {
        JobCall::Read { .. } | JobCall::Body { .. } => stopping(),
        JobCall::End { .. } => indeterminate_refusal("the node stops before the call is answered"),
    }
}

/// Returns a refusal which states that the request may or may not have taken effect.
fn indeterminate_refusal(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::DeadlineExceeded, detail).with_ran(Ran::Unknown)
}

fn call_refusal(result: Result<JobsAnswer, NoLeader>) -> Response<AnswerBody> {
    match result {
        Ok(JobsAnswer::UnknownJob) => refusal::from_kind(ErrorKind::UnknownJob, "there is no such job"),
        Ok(JobsAnswer::UnknownItem) => refusal::from_kind(ErrorKind::UnknownPath, "no such item without a result"),
        Ok(_) => refusal::from_kind(ErrorKind::Internal, "an answer that does not fit the call"),
        Err(_) => refusal::from_kind(ErrorKind::StateUnavailable, "the job table has no leader that answers"),
    }
}

fn empty_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn response_with_body(body: Bytes, content_type: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
