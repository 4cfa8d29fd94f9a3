//! The weight store: gives a model's weights at a limited rate.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use serde_json::json;
use tokio::sync::Mutex;

use crate::http::{Answer, Call, json, whole};

/// The store. Fetches queue behind one another, as they share one link.
#[derive(Clone)]
pub struct WeightStore {
    fetch_time: Duration,
    free_at: Arc<Mutex<Instant>>,
}

impl WeightStore {
    /// A store that takes `fetch_time` for one model.
    pub fn new(fetch_time: Duration) -> Self {
        Self { fetch_time, free_at: Arc::new(Mutex::new(Instant::now())) }
    }

    /// Serves one call.
    pub async fn handle(self, call: Call) -> Answer {
        let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
        match (&call.method, path.as_slice()) {
            (&Method::GET, ["v1", "weights", model, version]) => {
                let ready = {
                    let mut free_at = self.free_at.lock().await;
                    *free_at = (*free_at).max(Instant::now()) + self.fetch_time;
                    *free_at
                };
                tokio::time::sleep_until(ready.into()).await;
                json(StatusCode::OK, &json!({"model": model, "version": version}))
            }
            _ => whole(StatusCode::NOT_FOUND, ""),
        }
    }
}
