//! A gateway's start and planned stop.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::stopping::GatewayStop;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use super::ProcessError;
use super::parts::{NodeComponents, log_start, new_node_id, open_listener, start_metrics};
use super::reload::wait_for_stop;
use super::settings::ServingSettings;
use super::signals::ProcessSignals;
use crate::adapter::PlatformAdapter;
use crate::batch::job_calls::JobCalls;
use crate::callers::server::{CallerServer, StopPhase};
use crate::fleet::fleet_view::FleetView;
use crate::http::plain_listener::serve_readiness;
use crate::leader::client::LeaderClient;
use crate::leader::load_exchange::exchange_loads;
use crate::leader::rate_limits::{RateLimits, exchange_limits};
use crate::observe::journal::record;
use crate::workers::attempt::WorkerClient;
use crate::workers::permits::exchange_permits;

/// How often idle connections to workers that are over their time are closed, in milliseconds: frees their sockets.
const STALE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a gateway until it gets the signal to stop.
///
/// # Errors
///
/// [`ProcessError`]: it can't start.
pub async fn run_gateway(
    settings: &ServingSettings,
    settings_path: &Path,
    adapter: &dyn PlatformAdapter,
    signals: ProcessSignals,
) -> Result<(), ProcessError> {
    let callers = settings.listen.callers.ok_or(ProcessError::Lacking { field: "listen.callers" })?;
    let readiness = settings.listen.readiness.ok_or(ProcessError::Lacking { field: "listen.readiness" })?;
    start_metrics(settings)?;
    let parts = NodeComponents::new(settings, adapter);
    let id = new_node_id();
    parts.follow_metadata(id, settings, adapter, None);
    let calls = LeaderCalls::start(&parts.view, id, settings, adapter);
    tokio::spawn(exchange_permits(parts.workers.clone(), id));
    let callers = open_listener(callers)?;
    let readiness = open_listener(readiness)?;
    let serving = ServingGateway::start(&parts, calls, callers, readiness);
    tokio::spawn(close_stale(parts.workers));
    log_start(settings, "gateway");
    wait_for_stop(signals, settings_path).await;
    record(LogEvent::NodeStopping, &[]);
    serving.stop(GatewayStop::within(settings.stop.grace())).await;
    record(LogEvent::NodeStopped, &[]);
    Ok(())
}

/// What a gateway exchanges with the job table's leader.
struct LeaderCalls {
    jobs: Arc<JobCalls>,
    limits: Arc<RateLimits>,
}

impl LeaderCalls {
    /// Starts the exchanges of loads and limits.
    fn start(view: &Arc<FleetView>, id: NodeId, settings: &ServingSettings, adapter: &dyn PlatformAdapter) -> Self {
        let client = LeaderClient::new(view.clone(), id);
        let jobs = Arc::new(JobCalls { view: view.clone(), dialect: adapter.dialect(), client });
        tokio::spawn(exchange_loads(view.clone(), jobs.clone(), id));
        let limits = Arc::new(RateLimits::new(view.clone(), &settings.node.name));
        tokio::spawn(exchange_limits(limits.clone(), jobs.clone()));
        Self { jobs, limits }
    }
}

/// A gateway that takes connections.
struct ServingGateway {
    stop: watch::Sender<StopPhase>,
    accepting: JoinHandle<()>,
    /// Every connection holds a sender; the channel ends with the last of them. Nothing is sent on it.
    all_closed: mpsc::Receiver<()>,
}

impl ServingGateway {
    /// Starts to take connections, and to answer whether the gateway is ready.
    fn start(parts: &NodeComponents, calls: LeaderCalls, callers: TcpListener, readiness: TcpListener) -> Self {
        let (stop, stopping) = watch::channel(StopPhase::Serving);
        let (connection_guard, all_closed) = mpsc::channel(1);
        let LeaderCalls { jobs, limits } = calls;
        let workers = parts.workers.clone();
        let server = CallerServer { workers, jobs, limits, stop: stopping.clone(), connection_guard };
        let accepting = tokio::spawn(Arc::new(server).run(callers));
        let view = parts.view.clone();
        let is_ready = move || *stopping.borrow() == StopPhase::Serving && view.configuration().is_some();
        tokio::spawn(serve_readiness(readiness, is_ready));
        Self { stop, accepting, all_closed }
    }

    /// Stops within the given times. Callers learn first that the node leaves; connections that come meanwhile are
    /// served.
    async fn stop(mut self, times: GatewayStop) {
        let ends_at = tokio::time::Instant::now() + Duration::from_millis(times.ends_after.0);
        // Whoever takes the phase is gone only with the last connection.
        let _ = self.stop.send(StopPhase::Leaving);
        tokio::time::sleep(Duration::from_millis(times.drain_period.0)).await;
        self.accepting.abort();
        let _ = self.stop.send(StopPhase::Closing);
        // What is open when the time is over is cut off by the end of the process.
        let _ = tokio::time::timeout_at(ends_at, self.all_closed.recv()).await;
    }
}

async fn close_stale(workers: Arc<WorkerClient>) {
    let mut ticks = tokio::time::interval(STALE_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        workers.connections.close_stale();
    }
}
