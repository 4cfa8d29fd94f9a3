//! Requests, workers and times for the tests of the crash ledger.

use std::sync::Arc;

use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::crashes::{RequestContent, RequestDigest};
use stallmoor_core::serving::request::RequestAttributes;
use stallmoor_core::serving::workers::WorkerId;
use stallmoor_core::time::UnixMillis;

pub fn digest(body: &str) -> RequestDigest {
    RequestDigest::of(&RequestContent {
        identity: &CallerIdentity::Unchecked,
        method: "POST",
        target: "/a",
        attributes: &RequestAttributes::default(),
        body: body.as_bytes(),
    })
}

pub fn worker(number: u64) -> WorkerId {
    WorkerId(Arc::from(format!("w-{number}")))
}

pub fn at(millis: u64) -> UnixMillis {
    UnixMillis(1_700_000_000_000 + millis)
}
