//! The machine list: machines report themselves, and readers see the list as it was a while ago.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http::{Answer, Call, json, whole};

/// How a machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It takes work.
    Live,
    /// It is leaving.
    Leaving,
    /// It is gone, and listed no longer.
    Gone,
}

/// A machine as it reports itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Raised with each start.
    pub incarnation: u64,
    /// How it is.
    pub state: MachineState,
}

/// The list.
#[derive(Clone)]
pub struct MachineDirectory {
    lag: Duration,
    reports: Arc<Mutex<Vec<(Instant, Machine)>>>,
}

impl MachineDirectory {
    /// An empty list whose readers see it as it was `lag` ago.
    pub fn new(lag: Duration) -> Self {
        Self { lag, reports: Arc::default() }
    }

    /// Serves one call.
    pub async fn handle(self, call: Call) -> Answer {
        let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
        match (&call.method, path.as_slice()) {
            (&Method::GET, ["v1", "machines"]) => json(StatusCode::OK, &json!(self.listed())),
            (&Method::POST, ["v1", "machines"]) => match serde_json::from_slice::<Machine>(&call.body) {
                Ok(machine) => {
                    self.lock().push((Instant::now(), machine));
                    whole(StatusCode::OK, "")
                }
                Err(error) => whole(StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => whole(StatusCode::NOT_FOUND, ""),
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
