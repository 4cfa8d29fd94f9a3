//! What the nodes of this process know of items that make no progress, served as JSON at `/status` on the metrics port.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde_json::{Value, json};
use stallmoor_core::serving::jobs::standstill::{Stall, Standstill};

/// Bounded by the nodes of the process, usually one.
static PARTS: Mutex<BTreeMap<String, Value>> = Mutex::new(BTreeMap::new());

/// Replaces the status of a node of this process.
pub fn set_part(node: &str, status: Value) {
    lock().insert(node.to_owned(), status);
}

/// Renders the status of all nodes of this process.
pub fn render() -> String {
    json!(*lock()).to_string()
}

/// Returns a standstill as JSON.
pub fn standstill(standstill: &Standstill) -> Value {
    let of = |stall: &Stall| {
        json!({
            "cause": stall.cause.name(), "items": stall.items, "for_ms": stall.span.0, "detail": &*stall.detail,
        })
    };
    json!({"open_items": standstill.open_items, "stalls": standstill.stalls.iter().map(of).collect::<Vec<Value>>()})
}

fn lock() -> MutexGuard<'static, BTreeMap<String, Value>> {
    PARTS.lock().unwrap_or_else(PoisonError::into_inner)
}
