//! Connection pool for workers.
//!
//! Owns all connections from this node to workers; `stallmoor_core::serving::workers::connection_limit` defines their
//! maximum number. A connection serves one request at a time and is reused only after the complete answer was read.

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
use stallmoor_core::serving::online::answer_limits::MAX_HEAD_BYTES;
use stallmoor_core::serving::workers::Choice;
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};
use tokio::task::AbortHandle;

use crate::clock::NodeClock;
use crate::sockets::connect_tuned;
use crate::workers::informational_heads::InformationalHeads;

/// Maximum time to connect, which delays requests that select an unreachable worker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle timeout of connections to a worker that does not state its keep-alive time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Percentage of the worker's keep-alive time for which an idle connection is reused, so that the worker doesn't close
/// it first.
const IDLE_TIMEOUT_PERCENT: u32 = 75;
/// Maximum time for a connection to become ready after an answer before it is closed.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Address of one incarnation of a worker. Connections to an earlier incarnation can't be reused for a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkerEndpoint {
    address: SocketAddr,
    started_at: Option<UnixMillis>,
}

impl WorkerEndpoint {
    /// Returns the endpoint of a selected worker.
    pub fn of(choice: &Choice) -> Self {
        Self { address: choice.address, started_at: choice.started_at }
    }
}

/// A connection that serves one request. Returned to the pool on drop after [`WorkerConnection::keep`], closed
/// otherwise.
pub struct WorkerConnection {
    /// `None` only while the connection is being dropped.
    sender: Option<SendRequest<Full<Bytes>>>,
    endpoint: WorkerEndpoint,
    task: AbortHandle,
    pool: Arc<ConnectionPool>,
    idle_timeout: Option<Duration>,
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
    /// Reserves a slot for a new connection. Returns false if the limit is reached.
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

/// Why no connection is available. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConnection {
    /// The maximum number of connections to the worker is in use.
    AllInUse,
    /// Connecting to the worker failed or timed out.
    Unreachable,
}

/// The connections of this node to all workers.
pub struct ConnectionPool {
    clock: NodeClock,
    endpoints: Mutex<HashMap<WorkerEndpoint, EndpointConnections>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(clock: NodeClock) -> Self {
        Self { clock, endpoints: Mutex::default() }
    }

    /// Returns an idle connection, or opens a new one if there are fewer than `max_connections`.
    ///
    /// # Errors
    ///
    /// [`NoConnection`]: the limit is reached or the worker is unreachable.
    pub async fn take(
        self: &Arc<Self>,
        endpoint: WorkerEndpoint,
        max_connections: usize,
    ) -> Result<WorkerConnection, NoConnection> {
        if let Some(IdleConnection { sender, task, .. }) = self.reuse_or_reserve(endpoint, max_connections)? {
            return Ok(WorkerConnection {
                sender: Some(sender),
                endpoint,
                task,
                pool: self.clone(),
                idle_timeout: None,
            });
        }
        self.open(endpoint).await
    }

    /// Returns whether there is an idle connection that the worker has not closed.
    pub fn has_idle(&self, endpoint: WorkerEndpoint) -> bool {
        let endpoints = self.lock();
        let connections = endpoints.get(&endpoint);
        connections.is_some_and(|connections| connections.idle.iter().any(|idle| !idle.sender.is_closed()))
    }

    /// Checks whether a worker accepts a new connection, which is kept for the next request. Returns `None` without
    /// trying if the maximum number of connections is in use.
    pub async fn probe(self: &Arc<Self>, endpoint: WorkerEndpoint, max_connections: usize) -> Option<bool> {
        if !self.lock().entry(endpoint).or_default().reserve(max_connections) {
            return None;
        }
        let opened = self.open(endpoint).await;
        Some(opened.map(|mut connection| connection.keep(None)).is_ok())
    }

    /// Opens a connection for which a slot was reserved.
    async fn open(self: &Arc<Self>, endpoint: WorkerEndpoint) -> Result<WorkerConnection, NoConnection> {
        let slot = ReservedSlot { pool: self.clone(), endpoint, is_connected: false };
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect(endpoint.address)).await;
        let Ok(Ok(NewConnection { sender, task })) = connected else { return Err(NoConnection::Unreachable) };
        slot.commit();
        Ok(WorkerConnection { sender: Some(sender), endpoint, task, pool: self.clone(), idle_timeout: None })
    }

    /// Returns a usable idle connection, or `None` after reserving a slot for a new one.
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

    /// Closes idle connections whose idle timeout has passed or that the worker has closed.
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

    /// Makes a connection available for reuse for the duration of `idle`.
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

/// Reserved slot for a connection attempt, released on drop unless the connection was opened.
struct ReservedSlot {
    pool: Arc<ConnectionPool>,
    endpoint: WorkerEndpoint,
    is_connected: bool,
}

impl ReservedSlot {
    fn commit(mut self) {
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

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No part of the request was sent.
    NotSent,
    /// The worker may have received the request.
    MayHaveArrived,
    /// The head of the answer, or the informational heads before it, exceed [`MAX_HEAD_BYTES`].
    HeadTooLarge,
}

impl WorkerConnection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`SendFailure`]: the connection broke before the answer.
    pub async fn send(&mut self, mut request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendFailure> {
        let Some(sender) = self.sender.as_mut() else { return Err(SendFailure::NotSent) };
        let informational = InformationalHeads::of(&mut request);
        let response = tokio::select! {
            response = sender.try_send_request(request) => response,
            () = informational.exceeded() => return Err(SendFailure::HeadTooLarge),
        };
        response.map_err(|error| match error.message() {
            Some(_) => SendFailure::NotSent,
            None if error.error().is_parse_too_large() => SendFailure::HeadTooLarge,
            None => SendFailure::MayHaveArrived,
        })
    }

    /// Marks the connection as reusable after a complete answer. `keep_alive` is the keep-alive time that the worker
    /// stated, if any.
    pub fn keep(&mut self, keep_alive: Option<Duration>) {
        self.idle_timeout = Some(keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |span| span * IDLE_TIMEOUT_PERCENT / 100));
    }
}

impl Drop for WorkerConnection {
    fn drop(&mut self) {
        let (endpoint, pool, task) = (self.endpoint, self.pool.clone(), self.task.clone());
        let sender = self.sender.take().filter(|sender| !sender.is_closed());
        let (Some(sender), Some(idle)) = (sender, self.idle_timeout.filter(|idle| !idle.is_zero())) else {
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
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    let task = tokio::spawn(async move {
        // Errors are reported to the requests on the connection.
        let _ = connection.await;
    });
    Ok(NewConnection { sender, task: task.abort_handle() })
}
