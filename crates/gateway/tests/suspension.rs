//! Time during which the machine is suspended must count for the node's clock, although the runtime's clock omits it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use stallmoor_core::serving::workers::{Availability, Choice, SoftwareVersion, WorkerId};
use stallmoor_core::time::Millis;
use stallmoor_gateway::clock::NodeClock;
use stallmoor_gateway::workers::connections::{ConnectionPool, WorkerEndpoint};
use tokio::net::TcpListener;

const MAX_CONNECTIONS: usize = 4;
/// Generous limit for a connection within this process.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than the idle timeout of a connection.
const SUSPENSION: Duration = Duration::from_secs(5);

fn choice(address: SocketAddr) -> Choice {
    Choice {
        id: WorkerId(Arc::from("i-1")),
        started_at: None,
        address,
        version: SoftwareVersion::new("v1"),
        load: 0,
        slots: 8,
        queue_position: 0,
        cached_tokens: 0,
        candidates: 1,
        availability: Availability::Ready,
        is_trial: false,
    }
}

#[tokio::test(start_paused = true)]
async fn monotonic_time_includes_suspensions_since_the_start() {
    static SUSPENDED: AtomicU64 = AtomicU64::new(700);
    let clock = NodeClock::with_suspensions(|| Duration::from_millis(SUSPENDED.load(Ordering::SeqCst)));
    let started = clock.now();
    tokio::time::advance(Duration::from_millis(100)).await;
    assert_eq!(clock.now().since(started), Millis(100));
    SUSPENDED.store(5_700, Ordering::SeqCst);
    assert_eq!(clock.now().since(started), Millis(5_100));
    tokio::time::advance(Duration::from_millis(50)).await;
    assert_eq!(clock.now().since(started), Millis(5_150));
}

#[tokio::test]
async fn the_system_clock_never_goes_back() {
    let clock = NodeClock::start();
    let mut last = clock.now();
    for _ in 0..20_000 {
        let now = clock.now();
        assert!(now >= last, "{last:?} {now:?}");
        last = now;
    }
}

/// The worker may have closed idle connections while the machine was suspended.
#[tokio::test]
async fn an_idle_connection_is_not_reused_after_a_suspension() {
    static SUSPENDED: AtomicU64 = AtomicU64::new(0);
    let clock = NodeClock::with_suspensions(|| Duration::from_millis(SUSPENDED.load(Ordering::SeqCst)));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let endpoint = WorkerEndpoint::of(&choice(listener.local_addr().expect("the listener has an address")));
    let pool = Arc::new(ConnectionPool::new(clock));
    let mut accepted = Vec::new();
    for _ in 0..2 {
        let opened = async { tokio::join!(pool.take(endpoint, MAX_CONNECTIONS), listener.accept()) };
        let (connection, stream) = tokio::time::timeout(OPEN_TIMEOUT, opened).await.expect("a new connection");
        accepted.push(stream.expect("a connection"));
        connection.expect("the worker accepts connections").keep(None);
        wait_until_idle(&pool, endpoint).await;
        pool.take(endpoint, MAX_CONNECTIONS).await.expect("the idle connection").keep(None);
        wait_until_idle(&pool, endpoint).await;
        SUSPENDED.fetch_add(SUSPENSION.as_millis() as u64, Ordering::SeqCst);
    }
}

async fn wait_until_idle(pool: &ConnectionPool, endpoint: WorkerEndpoint) {
    while !pool.has_idle(endpoint) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
