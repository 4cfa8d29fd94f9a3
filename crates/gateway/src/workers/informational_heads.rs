//! Limits the informational heads (1xx) before the head of an answer.
//!
//! They are dropped as they are read, but a faulty worker may send them without end, which takes processor time.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::ext::on_informational;
use hyper::header::HeaderMap;
use stallmoor_core::serving::online::answer_limits::MAX_HEAD_BYTES;
use tokio::sync::Notify;

/// Size of a status line without its reason, and of what separates the name of a header from its value and its end.
const STATUS_LINE_BYTES: usize = 17;
const SEPARATOR_BYTES: usize = 4;

/// Counts the informational heads before one answer.
#[derive(Debug, Default)]
pub struct InformationalHeads {
    bytes: AtomicUsize,
    exceeded: Notify,
}

impl InformationalHeads {
    /// Counts the informational heads that are received in answer to a request.
    pub fn of(request: &mut Request<Full<Bytes>>) -> Arc<Self> {
        let heads = Arc::new(Self::default());
        let counting = heads.clone();
        on_informational(request, move |head| counting.count(head.headers()));
        heads
    }

    /// Waits until the heads are together longer than a head may be.
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }

    fn count(&self, headers: &HeaderMap) {
        let fields: usize =
            headers.iter().map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES).sum();
        let bytes = STATUS_LINE_BYTES + fields;
        if self.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes > MAX_HEAD_BYTES {
            self.exceeded.notify_one();
        }
    }
}
