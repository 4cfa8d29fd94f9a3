//! Batch jobs: OpenAI's file and batch endpoints, and submission of a job in one request.
//!
//! An uploaded file is a job that has not been accepted, so it is replicated like one and readable from any
//! node; creating the batch accepts the job. Output and error files are views of the job's results.

use std::sync::Arc;

use hyper::{HeaderMap, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use stallmoor_core::error::{ErrorKind, Refusal};
use stallmoor_core::identity::{GroupId, JobId};
use stallmoor_core::node::partition::{FinishedItem, ItemVerdict, JobPhase, JobSummary, NewItem};
use stallmoor_core::node::{BatchCall, CallerAnswer, CallerCall, JobSubmission};
use stallmoor_core::time::Millis;

use super::answer;
use super::body::AnswerBody;
use super::prompt::CompletionBody;
use super::request::{parse_json, query_parameter, read_headers};
use super::router::HttpService;

/// Time limit of a job if the caller specifies none.
const DEFAULT_JOB_TIMEOUT: Millis = Millis(24 * 3_600_000);
const MAX_LISTED_JOBS: u32 = 1_000;
/// Default number of items scanned per page of results.
const DEFAULT_PAGE_ITEMS: u32 = 5_000;
/// Maximum number of items scanned per page of results.
const MAX_PAGE_ITEMS: u32 = 20_000;
/// Prefix of output file names, followed by the job ID.
const OUTPUT_PREFIX: &str = "output-";
/// Prefix of error file names, followed by the job ID.
const ERROR_PREFIX: &str = "errors-";

/// One line of a submission: either OpenAI's format or a plain prompt.
#[derive(Deserialize)]
struct SubmissionLine {
    custom_id: Option<String>,
    body: Option<CompletionBody>,
    prompt: Option<String>,
}

#[derive(Deserialize)]
struct CreateBatch {
    input_file_id: String,
}

/// The parsed lines of a submission.
struct ParsedLines {
    model: Option<Arc<str>>,
    adapter: Option<Arc<str>>,
    max_tokens: Option<u32>,
    items: Vec<NewItem>,
}

/// `POST /v1/files`: uploads a job without accepting it.
pub async fn upload_file(
    service: &HttpService,
    headers: &HeaderMap,
    query: Option<&str>,
    body: &[u8],
) -> Response<AnswerBody> {
    match read_submission(headers, query, body, false) {
        Ok(submission) => match submit(service, submission).await {
            Ok((job, summary)) => answer::json(StatusCode::OK, &file_json(job, &summary)),
            Err(response) => response,
        },
        Err(refusal) => answer::refusal(&refusal),
    }
}

/// `POST /v1/batches`: accepts an uploaded job, or creates a job from a body in JSON Lines.
pub async fn create_batch(
    service: &HttpService,
    headers: &HeaderMap,
    query: Option<&str>,
    body: &[u8],
) -> Response<AnswerBody> {
    let is_lines = headers.get("content-type").is_some_and(|value| value.as_bytes().starts_with(b"application/jsonl"));
    let created = if is_lines {
        match read_submission(headers, query, body, true) {
            Ok(submission) => submit(service, submission).await,
            Err(refusal) => Err(answer::refusal(&refusal)),
        }
    } else {
        match parse_json::<CreateBatch>(body).and_then(|create| parse_job(&create.input_file_id)) {
            Ok(job) => request_job(service, BatchCall::Accept(job)).await,
            Err(refusal) => Err(answer::refusal(&refusal)),
        }
    };
    created.map_or_else(|response| response, |(job, summary)| answer::json(StatusCode::OK, &batch_json(job, &summary)))
}

/// `GET /v1/batches?limit=N`: lists the tenant's jobs, ordered by group and ID.
pub async fn list_batches(service: &HttpService, headers: &HeaderMap, query: Option<&str>) -> Response<AnswerBody> {
    let caller = match read_headers(headers) {
        Ok(caller) => caller,
        Err(refusal) => return answer::refusal(&refusal),
    };
    let Ok(limit) = query_parameter(query, "limit").map(str::parse::<u32>).transpose() else {
        return answer::refuse(ErrorKind::MalformedRequest, "limit must be a whole number");
    };
    let limit = limit.unwrap_or(MAX_LISTED_JOBS).min(MAX_LISTED_JOBS) as usize;
    let mut listed = Vec::new();
    let mut group = 0;
    let mut group_count = 1;
    while group < group_count && listed.len() < limit {
        let left = (limit - listed.len()) as u32;
        let call = BatchCall::List { tenant: caller.tenant.clone(), group: GroupId(group), limit: left };
        let mut call = service.callers.call(&service.events, CallerCall::Batch(call)).await;
        match call.next().await {
            Some(CallerAnswer::Jobs { jobs, group_count: count }) => {
                listed.extend(jobs.iter().map(|(job, summary)| batch_json(*job, summary)));
                group_count = count;
            }
            Some(CallerAnswer::Refused(refusal)) => return answer::refusal(&refusal),
            _ => return answer::unexpected(),
        }
        group += 1;
    }
    answer::json(StatusCode::OK, &json!({"object": "list", "data": listed}))
}

/// `GET /v1/batches/JOB`: returns the status of a job.
pub async fn batch_status(service: &HttpService, id: &str) -> Response<AnswerBody> {
    let result = match parse_job(id) {
        Ok(job) => request_job(service, BatchCall::Status(job)).await,
        Err(refusal) => Err(answer::refusal(&refusal)),
    };
    result.map_or_else(|response| response, |(job, summary)| answer::json(StatusCode::OK, &batch_json(job, &summary)))
}

/// `POST /v1/batches/JOB/cancel`: cancels a job.
pub async fn cancel_batch(service: &HttpService, id: &str) -> Response<AnswerBody> {
    let result = match parse_job(id) {
        Ok(job) => request_job(service, BatchCall::Cancel(job)).await,
        Err(refusal) => Err(answer::refusal(&refusal)),
    };
    result.map_or_else(|response| response, |(job, summary)| answer::json(StatusCode::OK, &batch_json(job, &summary)))
}

/// `GET /v1/batches/JOB/results?first=N&limit=M`: returns a page of results as JSON.
pub async fn batch_results(service: &HttpService, id: &str, query: Option<&str>) -> Response<AnswerBody> {
    let number = |name: &str| query_parameter(query, name).map(str::parse::<u32>).transpose();
    let (Ok(first), Ok(limit)) = (number("first"), number("limit")) else {
        return answer::refuse(ErrorKind::MalformedRequest, "first and limit must be whole numbers");
    };
    let first = first.unwrap_or(0);
    let limit = limit.unwrap_or(DEFAULT_PAGE_ITEMS).clamp(1, MAX_PAGE_ITEMS);
    let job = match parse_job(id) {
        Ok(job) => job,
        Err(refusal) => return answer::refusal(&refusal),
    };
    match request_results(service, job, first, limit).await {
        Ok((results, next)) => {
            let results: Vec<Value> = results.iter().map(result_json).collect();
            answer::json(StatusCode::OK, &json!({"results": results, "next": next}))
        }
        Err(response) => response,
    }
}

/// `GET /v1/files/FILE/content`: returns the output or error file of a job in JSON Lines.
pub async fn file_content(service: &HttpService, id: &str) -> Response<AnswerBody> {
    let (wants_errors, job) = if let Some(job) = id.strip_prefix(OUTPUT_PREFIX) {
        (false, job)
    } else if let Some(job) = id.strip_prefix(ERROR_PREFIX) {
        (true, job)
    } else {
        return answer::refuse(ErrorKind::UnknownJob, format!("{id} is neither an output nor an error file"));
    };
    let job = match parse_job(job) {
        Ok(job) => job,
        Err(refusal) => return answer::refusal(&refusal),
    };
    let mut lines = String::new();
    let mut first = Some(0);
    while let Some(from) = first {
        let (results, next) = match request_results(service, job, from, DEFAULT_PAGE_ITEMS).await {
            Ok(page) => page,
            Err(response) => return response,
        };
        let is_wanted = |item: &&FinishedItem| (item.result.verdict != ItemVerdict::Completed) == wants_errors;
        for item in results.iter().filter(is_wanted) {
            lines.push_str(&output_json(item).to_string());
            lines.push('\n');
        }
        first = next;
    }
    answer::text(StatusCode::OK, "application/jsonl", lines)
}

async fn submit(service: &HttpService, submission: JobSubmission) -> Result<(JobId, JobSummary), Response<AnswerBody>> {
    request_job(service, BatchCall::Submit(submission)).await
}

async fn request_job(service: &HttpService, call: BatchCall) -> Result<(JobId, JobSummary), Response<AnswerBody>> {
    let mut call = service.callers.call(&service.events, CallerCall::Batch(call)).await;
    match call.next().await {
        Some(CallerAnswer::Job { job, summary }) => Ok((job, summary)),
        Some(CallerAnswer::Refused(refusal)) => Err(answer::refusal(&refusal)),
        _ => Err(answer::unexpected()),
    }
}

async fn request_results(
    service: &HttpService,
    job: JobId,
    first: u32,
    limit: u32,
) -> Result<(Vec<FinishedItem>, Option<u32>), Response<AnswerBody>> {
    let call = CallerCall::Batch(BatchCall::Results { job, first, limit });
    let mut call = service.callers.call(&service.events, call).await;
    match call.next().await {
        Some(CallerAnswer::Results { results, next }) => Ok((results, next)),
        Some(CallerAnswer::Refused(refusal)) => Err(answer::refusal(&refusal)),
        _ => Err(answer::unexpected()),
    }
}

fn parse_job(id: &str) -> Result<JobId, Refusal> {
    JobId::parse(id).ok_or_else(|| Refusal::new(ErrorKind::UnknownJob, format!("\"{id}\" is not a job's id")))
}

// Parsing of submissions.

fn read_submission(
    headers: &HeaderMap,
    query: Option<&str>,
    body: &[u8],
    accept: bool,
) -> Result<JobSubmission, Refusal> {
    let caller = read_headers(headers)?;
    let lines = parse_lines(body)?;
    let model = match query_parameter(query, "model") {
        Some(model) => Some(Arc::from(model)),
        None => lines.model,
    };
    let Some(model) = model else {
        let detail = "the model is needed: in the lines' bodies, or as the query parameter \"model\"";
        return Err(Refusal::new(ErrorKind::MalformedRequest, detail));
    };
    let adapter = query_parameter(query, "adapter").map(Arc::from).or(lines.adapter);
    let number = |name: &str| match query_parameter(query, name).map(str::parse::<u64>).transpose() {
        Ok(number) => Ok(number),
        Err(_) => Err(Refusal::new(ErrorKind::MalformedRequest, format!("{name} must be a whole number"))),
    };
    let max_tokens = number("max_tokens")?.map(|limit| limit.clamp(1, u64::from(u32::MAX)) as u32);
    Ok(JobSubmission {
        tenant: caller.tenant,
        key: caller.key,
        model,
        adapter,
        items: lines.items,
        within: number("within_ms")?.map_or(DEFAULT_JOB_TIMEOUT, Millis),
        max_tokens: max_tokens.or(lines.max_tokens),
        accept,
    })
}

/// Parses JSON Lines; errors contain the line number. All lines must specify the same model and adapter.
fn parse_lines(body: &[u8]) -> Result<ParsedLines, Refusal> {
    let text = std::str::from_utf8(body).map_err(|error| {
        let line = body[..error.valid_up_to()].iter().filter(|byte| **byte == b'\n').count() + 1;
        line_error(line, "not UTF-8")
    })?;
    let mut parsed = ParsedLines { model: None, adapter: None, max_tokens: None, items: Vec::new() };
    for (index, line) in text.lines().enumerate() {
        if !line.trim().is_empty() {
            add_line(&mut parsed, index + 1, line)?;
        }
    }
    Ok(parsed)
}

fn add_line(parsed: &mut ParsedLines, number: usize, line: &str) -> Result<(), Refusal> {
    let read: SubmissionLine = serde_json::from_str(line).map_err(|error| line_error(number, &error.to_string()))?;
    let label = read.custom_id.unwrap_or_else(|| number.to_string());
    let prompt = match (read.body, read.prompt) {
        (Some(body), _) => {
            let parameters = body.parameters().map_err(|refusal| line_error(number, &refusal.detail))?;
            let is_first = parsed.model.is_none() && parsed.items.is_empty();
            if is_first {
                parsed.model = Some(parameters.model);
                parsed.adapter = parameters.adapter;
                parsed.max_tokens = parameters.max_tokens;
            } else if parsed.model.as_ref() != Some(&parameters.model) || parsed.adapter != parameters.adapter {
                return Err(line_error(number, "asks for another model than the first line"));
            }
            parameters.prompt
        }
        (None, Some(prompt)) if !prompt.is_empty() => Arc::from(prompt),
        _ => return Err(line_error(number, "has neither a body nor a prompt")),
    };
    parsed.items.push(NewItem { label: Arc::from(label), prompt });
    Ok(())
}

fn line_error(line: usize, message: &str) -> Refusal {
    Refusal::new(ErrorKind::MalformedRequest, format!("line {line}: {message}"))
}

// Serialization of responses.

fn file_json(job: JobId, summary: &JobSummary) -> Value {
    json!({"id": job.to_string(), "object": "file", "purpose": "batch", "items": summary.received})
}

fn batch_json(job: JobId, summary: &JobSummary) -> Value {
    let total = summary.specification.item_count;
    let status = match summary.phase {
        JobPhase::Uploading => "validating",
        JobPhase::Cancelled => "cancelled",
        JobPhase::Accepted if summary.completed == total => "completed",
        JobPhase::Accepted => "in_progress",
    };
    let completed = summary.completed - summary.rejected;
    json!({
        "id": job.to_string(),
        "object": "batch",
        "status": status,
        "input_file_id": job.to_string(),
        "output_file_id": format!("{OUTPUT_PREFIX}{job}"),
        "error_file_id": format!("{ERROR_PREFIX}{job}"),
        "model": &*summary.specification.model,
        "idempotency_key": &*summary.specification.key,
        "created_at_ms": summary.opened_at.0,
        "deadline_ms": summary.specification.deadline.0,
        "ended_at_ms": summary.ended_at.map(|at| at.0),
        "request_counts": {"total": total, "completed": completed, "failed": summary.rejected},
    })
}

fn result_json(item: &FinishedItem) -> Value {
    let error = match &item.result.verdict {
        ItemVerdict::Completed => Value::Null,
        ItemVerdict::Rejected(detail) => json!(&**detail),
    };
    json!({
        "item": item.item,
        "custom_id": &*item.label,
        "text": &*item.result.text,
        "tokens": item.result.tokens,
        "engine": &*item.result.engine.0,
        "error": error,
    })
}

fn output_json(item: &FinishedItem) -> Value {
    match &item.result.verdict {
        ItemVerdict::Completed => json!({
            "custom_id": &*item.label,
            "response": {"status_code": 200, "body": {
                "choices": [{"index": 0, "message": {"role": "assistant", "content": &*item.result.text}}],
                "usage": {"completion_tokens": item.result.tokens},
            }},
            "error": null,
        }),
        ItemVerdict::Rejected(detail) => json!({
            "custom_id": &*item.label,
            "response": null,
            "error": {"code": "rejected", "message": &**detail},
        }),
    }
}
