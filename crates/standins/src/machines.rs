//! Machine list stand-in: machines report their state, and readers get the list with a fixed delay.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http::{Answer, Call, full, json};

/// State reported by a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// Accepts work.
    Live,
    /// Is about to leave the fleet.
    Leaving,
    /// Has left the fleet and is no longer listed.
    Gone,
}

/// Report of a machine about itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Machine {
    /// Name of the machine, unique in the fleet.
    pub name: String,
    /// Incremented on each start of the machine.
    pub incarnation: u64,
    /// State at the time of the report.
    pub state: MachineState,
}

/// Machine list with delayed reads.
#[derive(Clone)]
pub struct MachineDirectory {
    lag: Duration,
    reports: Arc<Mutex<Vec<(Instant, Machine)>>>,
}

impl MachineDirectory {
    /// Creates an empty list whose reads return its state of `lag` ago.
    pub fn new(lag: Duration) -> Self {
        Self { lag, reports: Arc::default() }
    }

    /// Handles one request.
    pub async fn handle(self, call: Call) -> Answer {
        let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
        match (&call.method, path.as_slice()) {
            (&Method::GET, ["v1", "machines"]) => json(StatusCode::OK, &json!(self.listed())),
            (&Method::POST, ["v1", "machines"]) => match serde_json::from_slice::<Machine>(&call.body) {
                Ok(machine) => {
                    self.lock().push((Instant::now(), machine));
                    full(StatusCode::OK, "")
                }
                Err(error) => full(StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => full(StatusCode::NOT_FOUND, ""),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(Instant, Machine)>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn listed(&self) -> Vec<Machine> {
        let reports = self.lock();
        let mut latest: BTreeMap<&str, &Machine> = BTreeMap::new();
        for (at, machine) in reports.iter() {
            if at.elapsed() >= self.lag {
                latest.insert(&machine.name, machine);
            }
        }
        latest.into_values().filter(|machine| machine.state != MachineState::Gone).cloned().collect()
    }
}
