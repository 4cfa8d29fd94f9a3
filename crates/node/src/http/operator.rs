//! Operator endpoints: configuration, status and explanations of requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use stallmoor_core::error::{ErrorKind, Refusal};
use stallmoor_core::node::configuration::{ApplyId, Bundle};
use stallmoor_core::node::{CallerAnswer, CallerCall, NodeStatus, OperatorCall};

use super::answer;
use super::body::AnswerBody;
use super::request::parse_json;
use super::router::HttpService;

/// The body of `POST /operator/configuration`.
#[derive(Deserialize, Serialize)]
struct ApplyBody {
    apply_id: u64,
    expected_revision: Option<u64>,
    files: BTreeMap<String, Arc<str>>,
}

/// `POST /operator/configuration`: applies a set of configuration files.
pub async fn apply(service: &HttpService, body: &[u8]) -> Response<AnswerBody> {
    let body: ApplyBody = match parse_json(body) {
        Ok(body) => body,
        Err(refusal) => return answer::refusal(&refusal),
    };
    let call = OperatorCall::Apply {
        id: ApplyId(body.apply_id),
        bundle: Bundle { files: body.files },
        expected_revision: body.expected_revision,
    };
    match send_call(service, call).await {
        Some(CallerAnswer::Applied { revision, changed }) => {
            answer::json(StatusCode::OK, &json!({"revision": revision, "changed": changed}))
        }
        Some(CallerAnswer::Invalid(errors)) => {
            let refusal = Refusal::new(ErrorKind::ConfigurationInvalid, format!("{} errors", errors.len()));
            let mut value = answer::refusal_json(&refusal);
            value["errors"] = json!(errors);
            answer::json(StatusCode::UNPROCESSABLE_ENTITY, &value)
        }
        other => refusal_or_unexpected(other),
    }
}

/// `GET /operator/configuration`: returns the active configuration.
pub async fn configuration(service: &HttpService) -> Response<AnswerBody> {
    match send_call(service, OperatorCall::ReadConfiguration).await {
        Some(CallerAnswer::Configuration { revision, bundle }) => {
            answer::json(StatusCode::OK, &json!({"revision": revision, "files": bundle.files}))
        }
        other => refusal_or_unexpected(other),
    }
}

/// `GET /operator/status`: returns the status of the fleet.
pub async fn fleet_status(service: &HttpService) -> Response<AnswerBody> {
    match send_call(service, OperatorCall::FleetStatus).await {
        Some(CallerAnswer::FleetStatus(status)) => answer::json(StatusCode::OK, &status),
        other => refusal_or_unexpected(other),
    }
}

/// `GET /operator/explain/ID`: returns the recorded steps of a request.
pub async fn explain(service: &HttpService, id: &str) -> Response<AnswerBody> {
    match send_call(service, OperatorCall::Explain(Arc::from(id))).await {
        Some(CallerAnswer::Explanation(explanation)) => answer::json(StatusCode::OK, &explanation),
        other => refusal_or_unexpected(other),
    }
}

/// `GET /v1/models`: lists the models and their adapters.
pub async fn models(service: &HttpService) -> Response<AnswerBody> {
    match send_call(service, OperatorCall::Models).await {
        Some(CallerAnswer::Models(models)) => {
            let data: Vec<_> = models
                .iter()
                .map(|model| json!({"id": &*model.name, "object": "model", "adapters": model.adapters}))
                .collect();
            answer::json(StatusCode::OK, &json!({"object": "list", "data": data}))
        }
        other => refusal_or_unexpected(other),
    }
}

/// `GET /readyz`: reports whether the node accepts requests.
pub async fn ready(service: &HttpService) -> Response<AnswerBody> {
    match node_status(service).await {
        Some(status) if status.ready => answer::text(StatusCode::OK, "text/plain", "ready\n".to_owned()),
        Some(_) => answer::text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n".to_owned()),
        None => answer::unexpected(),
    }
}

/// Returns this node's status, or `None` if the node has stopped.
pub async fn node_status(service: &HttpService) -> Option<NodeStatus> {
    match send_call(service, OperatorCall::NodeStatus).await {
        Some(CallerAnswer::NodeStatus(status)) => Some(status),
        _ => None,
    }
}

async fn send_call(service: &HttpService, call: OperatorCall) -> Option<CallerAnswer> {
    service.callers.call(&service.events, CallerCall::Operator(call)).await.next().await
}

fn refusal_or_unexpected(answer: Option<CallerAnswer>) -> Response<AnswerBody> {
    match answer {
        Some(CallerAnswer::Refused(refusal)) => answer::refusal(&refusal),
        _ => answer::unexpected(),
    }
}
