//! Startup and graceful shutdown of a gateway.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::stopping::GatewayStop;
use stallmoor_core::time::Timestamp;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use super::held::open_listener;
use super::parts::{NodeComponents, log_node_start, new_node_id, start_metrics};
use super::reload::{unless_stopped, wait_for_stop};
use super::settings::ServingSettings;
use super::signals::ProcessSignals;
use super::{ProcessError, log_failure};
use crate::adapter::PlatformAdapter;
use crate::batch::job_calls::JobCalls;
use crate::callers::server::CallerServer;
use crate::clock::NodeClock;
use crate::fleet::fleet_view::FleetView;
use crate::http::plain_listener::serve_readiness;
use crate::leader::client::LeaderClient;
use crate::leader::load_exchange::exchange_loads;
use crate::leader::outcome_exchange::{ExchangeStatus, exchange_outcomes};
use crate::leader::rate_limits::{RateLimits, exchange_limits};
use crate::leader::stall_watch::{StallWatch, report_periodically};
use crate::observe::journal::record;
use crate::shutdown::{Shutdown, StopPhase};
use crate::workers::attempt::WorkerClient;
use crate::workers::permits::exchange_permits;

/// Interval at which expired idle connections to workers are closed, to free their sockets.
const STALE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a gateway until it receives a stop signal.
///
/// # Errors
///
/// Returns a [`ProcessError`] if the gateway can't start.
pub async fn run_gateway(
    settings: &ServingSettings,
    settings_path: &Path,
    adapter: &dyn PlatformAdapter,
    signals: ProcessSignals,
) -> Result<(), ProcessError> {
    log_failure(serve(settings, settings_path, adapter, signals).await)
}

async fn serve(
    settings: &ServingSettings,
    settings_path: &Path,
    adapter: &dyn PlatformAdapter,
    mut signals: ProcessSignals,
) -> Result<(), ProcessError> {
    let opening = open_listeners(settings);
    let Some(listeners) = unless_stopped(&mut signals, settings_path, opening).await else { return Ok(()) };
    let Listeners { callers, readiness } = listeners?;
    let id = new_node_id();
    let components = NodeComponents::new(settings, adapter, NodeClock::start(), id);
    components.follow_metadata(id, settings, adapter, None, Vec::new());
    let calls = LeaderCalls::start(&components.view, id, settings, adapter);
    tokio::spawn(exchange_permits(components.workers.clone(), calls.jobs.clone(), id));
    let view = components.view.clone();
    let serving = ServingGateway::start(&components, calls, callers, readiness);
    tokio::spawn(close_stale(components.workers));
    log_node_start(settings, "gateway");
    wait_for_stop(&mut signals, settings_path).await;
    record(LogEvent::NodeStopping, &[]);
    let shutdown = serving.shutdown.clone();
    serving.stop(GatewayStop::within(settings.stop.grace()), view.clock.now()).await;
    shutdown.log_outcomes();
    record(LogEvent::NodeStopped, &[]);
    Ok(())
}

/// Listeners of a gateway, besides the one for metrics.
struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
}

async fn open_listeners(settings: &ServingSettings) -> Result<Listeners, ProcessError> {
    let callers = settings.listen.callers.ok_or(ProcessError::MissingSetting { field: "listen.callers" })?;
    let readiness = settings.listen.readiness.ok_or(ProcessError::MissingSetting { field: "listen.readiness" })?;
    start_metrics(settings).await?;
    Ok(Listeners { callers: open_listener(callers).await?, readiness: open_listener(readiness).await? })
}

/// Clients for the requests that a gateway sends to the job table's leader.
struct LeaderCalls {
    jobs: Arc<JobCalls>,
    limits: Arc<RateLimits>,
}

impl LeaderCalls {
    /// Starts the periodic exchanges of loads, outcomes and rate limits.
    fn start(view: &Arc<FleetView>, id: NodeId, settings: &ServingSettings, adapter: &dyn PlatformAdapter) -> Self {
        let client = LeaderClient::new(view.clone(), id);
        let jobs = Arc::new(JobCalls { view: view.clone(), dialect: adapter.dialect(), client });
        let (exchange_status, loads) = watch::channel(ExchangeStatus::default());
        let stalls = Arc::new(StallWatch::new(view.clock.now()));
        tokio::spawn(exchange_loads(view.clone(), jobs.clone(), id, exchange_status, stalls.clone()));
        tokio::spawn(report_periodically(stalls, view.clone(), jobs.clone(), settings.node.name.clone()));
        tokio::spawn(exchange_outcomes(view.clone(), jobs.clone(), id, loads));
        let limits = Arc::new(RateLimits::new(view.clone(), &settings.node.name));
        tokio::spawn(exchange_limits(limits.clone(), jobs.clone()));
        Self { jobs, limits }
    }
}

/// A gateway that accepts connections.
struct ServingGateway {
    shutdown: Arc<Shutdown>,
    accepting: JoinHandle<()>,
    /// Every connection owns a sender, so the channel closes with the last connection. Nothing is sent on it.
    all_closed: mpsc::Receiver<()>,
}

impl ServingGateway {
    /// Starts accepting connections of callers and serving readiness checks.
    fn start(components: &NodeComponents, calls: LeaderCalls, callers: TcpListener, readiness: TcpListener) -> Self {
        let shutdown = Arc::new(Shutdown::default());
        let (connection_guard, all_closed) = mpsc::channel(1);
        let LeaderCalls { jobs, limits } = calls;
        let workers = components.workers.clone();
        let server = CallerServer { workers, jobs, limits, shutdown: shutdown.clone(), connection_guard };
        let accepting = tokio::spawn(Arc::new(server).run(callers));
        let view = components.view.clone();
        let readiness_shutdown = shutdown.clone();
        let is_ready = move || readiness_shutdown.phase() == StopPhase::Serving && view.configuration().is_some();
        tokio::spawn(serve_readiness(readiness, is_ready));
        Self { shutdown, accepting, all_closed }
    }

    /// Stops within the given times. The gateway first reports that it is not ready, while it still accepts
    /// connections; then it stops accepting and waits for open connections to close. Requests that are still under way
    /// shortly before the end are answered with what is known of them.
    async fn stop(mut self, times: GatewayStop, now: Timestamp) {
        let started_at = tokio::time::Instant::now();
        let ends_at = started_at + Duration::from_millis(times.ends_after.0);
        let answers_at = started_at + Duration::from_millis(times.answers_after().0);
        self.shutdown.start(times, now);
        tokio::time::sleep(Duration::from_millis(times.drain_period.0)).await;
        self.accepting.abort();
        self.shutdown.enter(StopPhase::Closing);
        if tokio::time::timeout_at(answers_at, self.all_closed.recv()).await.is_ok() {
            return;
        }
        self.shutdown.enter(StopPhase::Ending);
        // Connections still open at the deadline are closed by the exit of the process.
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
