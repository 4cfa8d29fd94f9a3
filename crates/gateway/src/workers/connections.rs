//! Kept connections to workers.
//!
//! Owns every connection of this node to a worker and their number; how many there may be is decided in
//! `stallmoor_core::serving::workers::connection_limit`. A connection serves one request at a time and is kept only after
//! an answer that was read whole.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use stallmoor_core::serving::workers::Choice;
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};
use tokio::task::AbortHandle;

use crate::clock::NodeClock;
use crate::sockets::connect_tuned;

/// How long a connection attempt may take, for a request that meets a worker whose machine is gone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle connections are reused for this long where the worker does not say how long it keeps them.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The share of the worker's own idle time for which a connection is reused, in percent, so that none is used after the
/// worker closed it.
const IDLE_TIMEOUT_PERCENT: u32 = 75;
/// How long a connection may take to become free after an answer, before it is closed.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Where a worker is reached in one of its lives. A connection to an earlier life is of no use to a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkerEndpoint {
    address: SocketAddr,
    started_at: Option<UnixMillis>,
}

impl WorkerEndpoint {
    /// Where the worker that was chosen is reached.
    pub fn of(choice: &Choice) -> Self {
        Self { address: choice.address, started_at: choice.started_at }
    }
}

/// A connection that serves one request now.
pub struct WorkerConnection {
    /// `None` only while the connection is given back.
    sender: Option<SendRequest<Full<Bytes>>>,
    endpoint: WorkerEndpoint,
    task: AbortHandle,
    pool: Arc<ConnectionPool>,
    keep: Option<Duration>,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    expires_at: Timestamp,
}

#[derive(Default)]
struct EndpointConnections {
    idle: Vec<IdleConnection>,
    open: usize,
}

impl EndpointConnections {
    /// Counts a connection that is about to be opened, if there may be one more.
    fn reserve(&mut self, max_connections: usize) -> bool {
        let has_capacity = self.open < max_connections;
        self.open += usize::from(has_capacity);
        has_capacity
    }
}

struct NewConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

/// Why there is no connection. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConnection {
    /// The worker's share of connections is in use.
    AllInUse,
    /// The worker can't be reached.
    Unreachable,
}

/// The connections of this node to all workers.
pub struct ConnectionPool {
    clock: NodeClock,
    endpoints: Mutex<HashMap<WorkerEndpoint, EndpointConnections>>,
}

impl ConnectionPool {
    /// No connections yet.
    pub fn new(clock: NodeClock) -> Self {
        Self { clock, endpoints: Mutex::default() }
    }

    /// A connection that is idle, or a new one while there are fewer than `max_connections`.
    ///
    /// # Errors
    ///
    /// [`NoConnection`]: nothing was sent.
    pub async fn take(
        self: &Arc<Self>,
        endpoint: WorkerEndpoint,
        max_connections: usize,
    ) -> Result<WorkerConnection, NoConnection> {
        if let Some(IdleConnection { sender, task, .. }) = self.reuse_or_reserve(endpoint, max_connections)? {
            return Ok(WorkerConnection { sender: Some(sender), endpoint, task, pool: self.clone(), keep: None });
        }
        self.open(endpoint).await
    }

    /// Whether a connection to a worker is kept that the worker has not closed.
    pub fn has_idle(&self, endpoint: WorkerEndpoint) -> bool {
        let endpoints = self.lock();
        let connections = endpoints.get(&endpoint);
        connections.is_some_and(|connections| connections.idle.iter().any(|idle| !idle.sender.is_closed()))
    }

    /// Whether a worker takes a new connection, which is kept for the next request. `None` if the worker's share of
    /// connections is in use, so that nothing was tried.
    pub async fn probe(self: &Arc<Self>, endpoint: WorkerEndpoint, max_connections: usize) -> Option<bool> {
        if !self.lock().entry(endpoint).or_default().reserve(max_connections) {
            return None;
        }
        let opened = self.open(endpoint).await;
        Some(opened.map(|mut connection| connection.keep(None)).is_ok())
    }

    /// Opens a connection that was counted before.
    async fn open(self: &Arc<Self>, endpoint: WorkerEndpoint) -> Result<WorkerConnection, NoConnection> {
        let slot = ReservedSlot { pool: self.clone(), endpoint, is_connected: false };
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect(endpoint.address)).await;
        let Ok(Ok(NewConnection { sender, task })) = connected else { return Err(NoConnection::Unreachable) };
        slot.keep();
        Ok(WorkerConnection { sender: Some(sender), endpoint, task, pool: self.clone(), keep: None })
    }

    /// An idle connection that can be used; `None` if a new one may be opened, which is counted from now on.
    fn reuse_or_reserve(
        &self,
        endpoint: WorkerEndpoint,
        max_connections: usize,
    ) -> Result<Option<IdleConnection>, NoConnection> {
        let mut endpoints = self.lock();
        let connections = endpoints.entry(endpoint).or_default();
        while let Some(idle) = connections.idle.pop() {
            if !idle.sender.is_closed() && idle.sender.is_ready() && self.clock.now() < idle.expires_at {
                return Ok(Some(idle));
            }
            idle.task.abort();
            connections.open = connections.open.saturating_sub(1);
        }
        if connections.reserve(max_connections) { Ok(None) } else { Err(NoConnection::AllInUse) }
    }

    /// Closes idle connections that are over their time.
    pub fn close_stale(&self) {
        let now = self.clock.now();
        let mut endpoints = self.lock();
        for connections in endpoints.values_mut() {
            let before = connections.idle.len();
            connections.idle.retain(|idle| {
                let is_live = now < idle.expires_at && !idle.sender.is_closed();
                if !is_live {
                    idle.task.abort();
                }
                is_live
            });
            connections.open = connections.open.saturating_sub(before - connections.idle.len());
        }
        endpoints.retain(|_, connections| connections.open > 0);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<WorkerEndpoint, EndpointConnections>> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn release_slot(&self, endpoint: WorkerEndpoint) {
        if let Some(connections) = self.lock().get_mut(&endpoint) {
            connections.open = connections.open.saturating_sub(1);
        }
    }

    /// Keeps a connection for `idle`.
    fn return_idle(
        &self,
        endpoint: WorkerEndpoint,
        sender: SendRequest<Full<Bytes>>,
        task: AbortHandle,
        idle: Duration,
    ) {
        let expires_at = self.clock.now() + Millis(idle.as_millis() as u64);
        let idle = IdleConnection { sender, task, expires_at };
        self.lock().entry(endpoint).or_default().idle.push(idle);
    }
}

/// Counts a connection attempt until it has become a connection.
struct ReservedSlot {
    pool: Arc<ConnectionPool>,
    endpoint: WorkerEndpoint,
    is_connected: bool,
}

impl ReservedSlot {
    fn keep(mut self) {
        self.is_connected = true;
    }
}

impl Drop for ReservedSlot {
    fn drop(&mut self) {
        if !self.is_connected {
            self.pool.release_slot(self.endpoint);
        }
    }
}

/// Why a request brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of it left.
    NotSent,
    /// It may have arrived.
    MayHaveArrived,
}

impl WorkerConnection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`SendFailure`]: there was no answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendFailure> {
        let Some(sender) = self.sender.as_mut() else { return Err(SendFailure::NotSent) };
        sender
            .try_send_request(request)
            .await
            .map_err(|error| if error.message().is_some() { SendFailure::NotSent } else { SendFailure::MayHaveArrived })
    }

    /// The answer was whole: the connection may serve another request within `keep_alive`, where the
    /// worker stated that.
    pub fn keep(&mut self, keep_alive: Option<Duration>) {
        self.keep = Some(keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |span| span * IDLE_TIMEOUT_PERCENT / 100));
    }
}

impl Drop for WorkerConnection {
    fn drop(&mut self) {
        let (endpoint, pool, task) = (self.endpoint, self.pool.clone(), self.task.clone());
        let sender = self.sender.take().filter(|sender| !sender.is_closed());
        let (Some(sender), Some(idle)) = (sender, self.keep.filter(|idle| !idle.is_zero())) else {
            task.abort();
            pool.release_slot(endpoint);
            return;
        };
        if sender.is_ready() {
            pool.return_idle(endpoint, sender, task, idle);
            return;
        }
        tokio::spawn(return_when_ready(sender, endpoint, pool, task, idle));
    }
}

async fn return_when_ready(
    mut sender: SendRequest<Full<Bytes>>,
    endpoint: WorkerEndpoint,
    pool: Arc<ConnectionPool>,
    task: AbortHandle,
    idle: Duration,
) {
    let ready = tokio::time::timeout(RELEASE_TIMEOUT, sender.ready()).await;
    if matches!(ready, Ok(Ok(()))) {
        pool.return_idle(endpoint, sender, task, idle);
    } else {
        task.abort();
        pool.release_slot(endpoint);
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<NewConnection> {
    let stream = connect_tuned(address).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    let task = tokio::spawn(async move {
        // How it ended shows at the requests that it carried.
        let _ = connection.await;
    });
    Ok(NewConnection { sender, task: task.abort_handle() })
}
