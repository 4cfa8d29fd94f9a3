//! Whether a worker died under a request that broke off there.
//!
//! A connection breaks for many reasons. Only a worker that can't be reached right after counts as dead: the difference
//! between a request that crashes its workers and one whose connection was reset.

use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::serving::crashes::RequestKeys;
use stallmoor_core::serving::workers::Choice;

use crate::fleet::fleet_view::SeenCrash;
use crate::workers::attempt::WorkerClient;
use crate::workers::connections::WorkerEndpoint;

/// The wait between a broken connection and the look at its worker, in milliseconds: a process that ends closes its
/// connections and its listener one after the other.
const CHECK_DELAY: Duration = Duration::from_millis(20);

/// A run of a request that broke off.
pub struct BrokenRun {
    /// Where it ran.
    pub choice: Choice,
    /// The worker's service.
    pub service: Arc<str>,
    /// The request's id.
    pub request_id: Arc<str>,
    /// The request's names.
    pub keys: RequestKeys,
    /// The last event of its answer, 0 for none.
    pub progress: u64,
}

impl WorkerClient {
    /// Looks at the worker of a run that broke off, and notes it if the worker died.
    pub async fn check_crash(&self, run: BrokenRun) {
        tokio::time::sleep(CHECK_DELAY).await;
        // Nothing goes to an evacuated zone, so nothing is known, and nothing is held against the request.
        if self.view.workers().is_in_evacuated_zone(&run.choice.id) {
            return;
        }
        let most = self.most_connections(&run.service);
        // Where this node may open no further connection, nothing is known, and nothing is held against the request.
        if self.connections.reaches(WorkerEndpoint::of(&run.choice), most).await != Some(false) {
            return;
        }
        self.view.note_crash(&SeenCrash {
            request: run.request_id,
            keys: run.keys,
            worker: run.choice.id,
            progress: run.progress,
        });
    }
}
