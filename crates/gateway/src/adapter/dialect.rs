//! How the wire of callers and workers is spelled. An adapter implements [`Dialect`]; the gateway
//! itself knows no header or path by name.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use stallmoor_core::serving::configuration::Route;
use stallmoor_core::serving::configuration::tenant::{ApiKey, CallerIdentity, TenantName};
use stallmoor_core::serving::jobs::command::{JobItem, JobKey, Submission};
use stallmoor_core::serving::jobs::table::ResultPage;
use stallmoor_core::serving::request::RequestFacts;
use stallmoor_core::serving::workers::{WorkerId, WorkerLoad};
use stallmoor_core::time::{Millis, UnixMillis};

/// A request that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadRequest {
    /// What is wrong with it.
    pub detail: String,
}

impl BadRequest {
    /// Says what is wrong.
    pub fn new(detail: impl Into<String>) -> Self {
        Self { detail: detail.into() }
    }
}

/// A call about a batch job other than its submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Results from a position on.
    Read {
        /// The job.
        job: JobKey,
        /// The first position wanted.
        first: u32,
        /// How long to wait for a result.
        wait: Millis,
    },
    /// The body of an item.
    Body {
        /// The job.
        job: JobKey,
        /// The item's id.
        item: Arc<str>,
    },
    /// End the job.
    End {
        /// The job.
        job: JobKey,
    },
}

/// What the gateway adds to a request for one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// The worker that is meant; no other may run the request.
    pub worker: &'a WorkerId,
    /// How long the caller still waits.
    pub remaining: Option<Millis>,
    /// Go on after this event.
    pub after_event: Option<u64>,
    /// On whose behalf it runs.
    pub identity: &'a CallerIdentity,
}

/// What a worker's answer says besides its content.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerFacts {
    /// The id of the request that it answers.
    pub request_id: Option<Arc<str>>,
    /// The worker says that it did not run the request.
    pub not_run: bool,
    /// The worker is not the one that was meant.
    pub other_instance: bool,
    /// The worker's load.
    pub load: Option<WorkerLoad>,
    /// For how much longer the worker is slow after its start.
    pub cold_remaining: Option<Millis>,
    /// How long the worker keeps the connection when idle; `None` if it does not say.
    pub keep_alive: Option<Millis>,
    /// The answer bears the worker's signature.
    pub is_signed: bool,
}

/// The spelling of the wire.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a call about a batch job; `None` if the request is none.
    ///
    /// # Errors
    ///
    /// It is one, and can't be read.
    fn job_call(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Result<Option<JobCall>, BadRequest>;

    /// The id that a caller gave its request; `None` if it gave none that can be read.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// The key that a caller shows; `None` if it shows none, or one that can't be read.
    fn api_key(&self, headers: &HeaderMap) -> Option<ApiKey>;

    /// Reads what a request says of itself.
    ///
    /// # Errors
    ///
    /// A header can't be read.
    fn request_facts(&self, headers: &HeaderMap) -> Result<RequestFacts, BadRequest>;

    /// Reads a batch job.
    ///
    /// # Errors
    ///
    /// The body is not a job.
    fn submission(
        &self,
        facts: &RequestFacts,
        route: &Route,
        tenant: Option<&TenantName>,
        body: &Bytes,
        received_at: UnixMillis,
    ) -> Result<Submission, BadRequest>;

    /// The head of a request for a worker, from the caller's. The caller's key is not in it, and its tenant only
    /// as it was found here, unless nobody was asked for a key.
    fn attempt_headers(&self, headers: &HeaderMap, context: &AttemptContext<'_>) -> HeaderMap;

    /// What an item's request says of itself.
    fn item_facts(&self, item: &JobItem) -> RequestFacts;

    /// The head of an item's request for a worker.
    fn item_headers(&self, item: &JobItem, host: &str, context: &AttemptContext<'_>) -> HeaderMap;

    /// Reads what a worker's answer says besides its content.
    fn answer_facts(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;

    /// The head of the answer to the caller, from the worker's.
    fn answer_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// The body that answers a read of results.
    fn result_page(&self, first: u32, page: &ResultPage) -> Bytes;
}
