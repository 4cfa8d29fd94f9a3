//! The HTTP format that callers and workers use. Adapters implement [`Dialect`], so that the gateway does not depend on
//! specific header names or paths.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use stallmoor_core::serving::configuration::Route;
use stallmoor_core::serving::configuration::tenant::{ApiKey, CallerIdentity, TenantName};
use stallmoor_core::serving::jobs::command::{JobItem, JobKey, Submission};
use stallmoor_core::serving::jobs::table::ResultPage;
use stallmoor_core::serving::request::RequestAttributes;
use stallmoor_core::serving::workers::{WorkerId, WorkerLoad};
use stallmoor_core::time::{Millis, UnixMillis};

/// Error for a malformed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadRequest {
    /// Description of the problem.
    pub detail: String,
}

impl BadRequest {
    /// Creates an error with a description of the problem.
    pub fn new(detail: impl Into<String>) -> Self {
        Self { detail: detail.into() }
    }
}

/// A request about an existing batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Reads results, starting at a position.
    Read {
        /// Key of the job.
        job: JobKey,
        /// Position of the first result to return.
        first: u32,
        /// Maximum time to wait for a result.
        wait: Millis,
    },
    /// Reads the body of an item.
    Body {
        /// Key of the job.
        job: JobKey,
        /// ID of the item.
        item: Arc<str>,
    },
    /// Ends the job.
    End {
        /// Key of the job.
        job: JobKey,
    },
}

/// Per-attempt values that the gateway adds to a request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// The intended worker; any other one must reject the request.
    pub worker: &'a WorkerId,
    /// Time left until the caller's deadline.
    pub remaining: Option<Millis>,
    /// ID of the last event received; the stream is resumed after it.
    pub after_event: Option<u64>,
    /// Identity of the caller.
    pub identity: &'a CallerIdentity,
}

/// Metadata of a worker's answer, parsed from its status and headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerAttributes {
    /// ID of the request that the answer belongs to.
    pub request_id: Option<Arc<str>>,
    /// Whether the worker states that it did not run the request.
    pub not_run: bool,
    /// Whether the answer comes from a worker other than the intended one.
    pub other_instance: bool,
    /// Whether callers take the status for a promise that the request was not run.
    pub promises_not_run: bool,
    /// Current load of the worker.
    pub load: Option<WorkerLoad>,
    /// Remaining duration of the worker's cold start.
    pub cold_remaining: Option<Millis>,
    /// The worker's idle timeout for the connection; `None` if not stated.
    pub keep_alive: Option<Millis>,
    /// Whether the answer has the worker's signature header.
    pub is_signed: bool,
}

/// Parses and builds the HTTP messages of a platform.
pub trait Dialect: Send + Sync + 'static {
    /// Parses a request about an existing batch job; `None` if the request is not one.
    ///
    /// # Errors
    ///
    /// Fails if the request is about a batch job but malformed.
    fn job_call(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Result<Option<JobCall>, BadRequest>;

    /// Returns the request ID set by the caller; `None` if it is missing or malformed.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Returns the caller's API key; `None` if it is missing or malformed.
    fn api_key(&self, headers: &HeaderMap) -> Option<ApiKey>;

    /// Parses the headers that describe a request.
    ///
    /// # Errors
    ///
    /// Fails if a required header is missing or a header is malformed.
    fn request_facts(&self, headers: &HeaderMap) -> Result<RequestAttributes, BadRequest>;

    /// Parses the submission of a batch job.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a valid job.
    fn submission(
        &self,
        attributes: &RequestAttributes,
        route: &Route,
        tenant: Option<&TenantName>,
        body: &Bytes,
        received_at: UnixMillis,
    ) -> Result<Submission, BadRequest>;

    /// Builds the headers of a worker request from the caller's headers. Removes the caller's API key and replaces the
    /// tenant by the authenticated one, unless the configuration requires no keys.
    fn attempt_headers(&self, headers: &HeaderMap, context: &AttemptContext<'_>) -> HeaderMap;

    /// Returns the properties of a batch item's request.
    fn item_facts(&self, item: &JobItem) -> RequestAttributes;

    /// Builds the headers of a worker request for a batch item.
    fn item_headers(&self, item: &JobItem, host: &str, context: &AttemptContext<'_>) -> HeaderMap;

    /// Parses the metadata of a worker's answer.
    fn answer_facts(&self, status: StatusCode, headers: &HeaderMap) -> AnswerAttributes;

    /// Builds the headers of the answer to the caller from the worker's headers.
    fn answer_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Builds the response body for a page of results.
    fn result_page(&self, first: u32, page: &ResultPage) -> Bytes;
}
