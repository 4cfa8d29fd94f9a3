//! A follower must receive the metadata store's changes through its relay over TCP, and fall back to the store when the
//! relay has lost it.

#[path = "support/peer_answerers.rs"]
mod peer_answerers;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use peer_answerers::answerers;
use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::jobs::directory::StorageRecord;
use stallmoor_core::serving::jobs::members::DrainState;
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::serving::relay::item::{KeyState, MetadataItem, Revision};
use stallmoor_core::serving::relay::outage::RecordGrace;
use stallmoor_core::time::Millis;
use stallmoor_gateway::adapter::metadata::{
    BoxFuture, FleetUpdate, ItemSnapshot, MetadataStore, PutOutcome, ReadFailure,
};
use stallmoor_gateway::clock::NodeClock;
use stallmoor_gateway::fleet::confirmation;
use stallmoor_gateway::fleet::fleet_view::FleetView;
use stallmoor_gateway::fleet::metadata_view::MetadataView;
use stallmoor_gateway::fleet::metadata_watch::MetadataWatch;
use stallmoor_gateway::storage::peer_listener::accept_peers;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

const BOUNDS: WatchBounds = WatchBounds { change: Millis(1_000), contact: Millis(1_500), heartbeat: Millis(1_200) };
const RELAY: NodeId = NodeId(1);
const FOLLOWER: NodeId = NodeId(2);
const OTHER_RELAY: NodeId = NodeId(3);

/// The store's contents, shared by all nodes of a test: one key whose value is its revision.
struct Contents(watch::Sender<u64>);

impl Contents {
    fn item(&self) -> MetadataItem {
        let revision = *self.0.borrow();
        let state = KeyState::Present(Arc::from(revision.to_le_bytes()));
        MetadataItem { key: Arc::from("key"), state, revision: Revision(revision) }
    }

    fn write(&self) {
        self.0.send_modify(|revision| *revision += 1);
    }
}

/// One node's connection to the store, which can be made to fail.
struct StoreConnection {
    contents: Arc<Contents>,
    is_refused: AtomicBool,
    /// Time in milliseconds for which answers are under way after they were read.
    answer_delay: AtomicU64,
    calls: AtomicU64,
}

impl StoreConnection {
    fn new(contents: Arc<Contents>) -> Arc<Self> {
        let (is_refused, answer_delay) = (AtomicBool::new(false), AtomicU64::new(0));
        Arc::new(Self { contents, is_refused, answer_delay, calls: AtomicU64::new(0) })
    }

    fn call(&self) -> Result<(), ReadFailure> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let is_refused = self.is_refused.load(Ordering::SeqCst);
        if is_refused { Err(ReadFailure::Failed { detail: "refused".to_owned() }) } else { Ok(()) }
    }

    fn read(&self) -> ItemSnapshot {
        let item = self.contents.item();
        ItemSnapshot { at: item.revision, items: vec![item] }
    }
}

impl MetadataStore for StoreConnection {
    fn put(&self, _key: String, _value: Vec<u8>, _expected: Revision) -> BoxFuture<'_, PutOutcome> {
        Box::pin(async { PutOutcome::Unknown })
    }

    fn get(&self, _key: String) -> BoxFuture<'_, Option<MetadataItem>> {
        Box::pin(async { None })
    }

    fn list(&self) -> BoxFuture<'_, Result<ItemSnapshot, ReadFailure>> {
        Box::pin(async { self.call().map(|()| self.read()) })
    }

    fn changes(&self, since: Revision, wait: Millis) -> BoxFuture<'_, Result<ItemSnapshot, ReadFailure>> {
        Box::pin(async move {
            self.call()?;
            let mut changes = self.contents.0.subscribe();
            let is_newer = |revision: &u64| *revision > since.0;
            let answer = match tokio::time::timeout(Duration::from_millis(wait.0), changes.wait_for(is_newer)).await {
                Ok(_) => Ok(self.read()),
                Err(_) => Ok(ItemSnapshot { items: Vec::new(), at: since }),
            };
            let delay = self.answer_delay.load(Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(delay)).await;
            answer
        })
    }

    fn interpret(&self, item: &MetadataItem, _grace: &RecordGrace) -> Option<FleetUpdate> {
        Some(FleetUpdate::InternalItem(item.clone()))
    }

    fn report_drain(&self, _machine: Arc<str>, _state: DrainState) -> BoxFuture<'_, bool> {
        Box::pin(async { true })
    }
}

struct Node {
    store: Arc<StoreConnection>,
    fleet: Arc<FleetView>,
    view: Arc<MetadataView>,
    /// The latest revision that the node has published.
    latest_revision: Arc<Mutex<u64>>,
    address: SocketAddr,
}

impl Node {
    async fn start(id: NodeId, contents: Arc<Contents>) -> Self {
        let clock = NodeClock::start();
        let fleet = Arc::new(FleetView::new(clock, Arc::from("zone-a"), id.0));
        let view = Arc::new(MetadataView::new(clock, BOUNDS));
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (events, mut ignored) = mpsc::channel(16);
        tokio::spawn(accept_peers(listener, answerers(events, view.clone())));
        tokio::spawn(async move { while ignored.recv().await.is_some() {} });
        let (updates, mut received) = mpsc::unbounded_channel();
        let store = StoreConnection::new(contents);
        tokio::spawn(MetadataWatch::new(id, store.clone(), fleet.clone(), view.clone(), BOUNDS, updates).run());
        let latest_revision = Arc::new(Mutex::new(0));
        let recorded_revision = latest_revision.clone();
        let applied = fleet.clone();
        tokio::spawn(async move {
            while let Some(update) = received.recv().await {
                if let FleetUpdate::InternalItem(item) = &update {
                    *recorded_revision.lock().expect("not poisoned") = item.revision.0;
                }
                applied.apply(&update);
            }
        });
        Self { store, fleet, view, latest_revision, address }
    }

    /// Adds a storage node to this node's view, as a candidate for its relay.
    fn add_storage_node(&self, node: NodeId, address: SocketAddr) {
        let (name, zone) = (Arc::from(format!("storage-{node}")), Arc::from("zone-a"));
        self.fleet.storage().upsert(StorageRecord { name, node, address, zone });
    }

    fn latest_revision(&self) -> u64 {
        *self.latest_revision.lock().expect("not poisoned")
    }

    fn calls(&self) -> u64 {
        self.store.calls.load(Ordering::SeqCst)
    }

    async fn wait_for(&self, revision: u64, within: Duration) {
        let reached = async {
            while self.latest_revision() < revision {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(within, reached).await.expect("the change was not received in time");
    }
}

/// Starts a relay and a follower that receives its changes from it.
async fn relay_and_follower(contents: &Arc<Contents>) -> (Node, Node) {
    let relay = Node::start(RELAY, contents.clone()).await;
    let follower = Node::start(FOLLOWER, contents.clone()).await;
    follower.add_storage_node(RELAY, relay.address);
    relay.wait_for(1, Duration::from_secs(5)).await;
    follower.wait_for(1, Duration::from_secs(5)).await;
    // The change ends the follower's first watch of the store, after which it uses the relay.
    contents.write();
    follower.wait_for(2, Duration::from_secs(5)).await;
    (relay, follower)
}

#[tokio::test]
async fn a_follower_receives_changes_from_its_relay_while_its_own_store_calls_fail() {
    let contents = Arc::new(Contents(watch::Sender::new(1)));
    let (_relay, follower) = relay_and_follower(&contents).await;
    follower.store.is_refused.store(true, Ordering::SeqCst);
    for revision in 3..6 {
        contents.write();
        follower.wait_for(revision, Duration::from_secs(3)).await;
    }
}

#[tokio::test]
async fn a_follower_reads_from_the_store_when_its_relay_has_lost_it() {
    let contents = Arc::new(Contents(watch::Sender::new(1)));
    let (relay, follower) = relay_and_follower(&contents).await;
    relay.store.is_refused.store(true, Ordering::SeqCst);
    for revision in 3..6 {
        contents.write();
        follower.wait_for(revision, Duration::from_secs(3)).await;
    }
    assert!(relay.latest_revision() < 5, "the relay received all changes although its store calls fail");
}

/// Guards against a storage node that stays without changes because other nodes query it while the store refuses it alone.
#[tokio::test]
async fn a_relay_that_the_store_refuses_receives_changes_from_another_relay() {
    let contents = Arc::new(Contents(watch::Sender::new(1)));
    let (relay, follower) = relay_and_follower(&contents).await;
    let other = Node::start(OTHER_RELAY, contents.clone()).await;
    other.wait_for(2, Duration::from_secs(5)).await;
    relay.add_storage_node(OTHER_RELAY, other.address);
    relay.store.is_refused.store(true, Ordering::SeqCst);
    for revision in 3..9 {
        contents.write();
        relay.wait_for(revision, Duration::from_secs(2)).await;
        follower.wait_for(revision, Duration::from_secs(2)).await;
    }
}

/// Guards against two relays that confirm each other's views while the store refuses both.
#[tokio::test]
async fn relays_that_the_store_refuses_do_not_make_each_other_appear_current() {
    let contents = Arc::new(Contents(watch::Sender::new(1)));
    let (relay, _follower) = relay_and_follower(&contents).await;
    let other = Node::start(OTHER_RELAY, contents.clone()).await;
    other.wait_for(2, Duration::from_secs(5)).await;
    relay.add_storage_node(OTHER_RELAY, other.address);
    other.add_storage_node(RELAY, relay.address);
    let refused_at = Instant::now();
    for node in [&relay, &other] {
        node.store.is_refused.store(true, Ordering::SeqCst);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    for node in [&relay, &other] {
        let age = Duration::from_millis(node.view.state().age.expect("a view").0);
        // A watch that had begun may still have confirmed the view once.
        let outage = refused_at.elapsed() - Duration::from_millis(BOUNDS.contact.0 + 500);
        assert!(age >= outage, "a view of {age:?} after {outage:?} without the store");
        assert!(!confirmation::confirm(&node.fleet, &node.view).await);
    }
}

#[tokio::test]
async fn a_follower_does_not_call_the_store_while_its_relay_serves_it() {
    let contents = Arc::new(Contents(watch::Sender::new(1)));
    let (relay, follower) = relay_and_follower(&contents).await;
    contents.write();
    follower.wait_for(3, Duration::from_secs(3)).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let (before, served) = (follower.calls(), relay.calls());
    for revision in 4..12 {
        contents.write();
        follower.wait_for(revision, Duration::from_secs(3)).await;
    }
    assert!(relay.calls() > served, "the relay did not watch the store");
    // One call is tolerated: a delayed answer of the relay makes the follower call the store once.
    assert!(follower.calls() <= before + 1, "the follower made {} calls", follower.calls() - before);
}

/// Guards against a confirmed view that lacks a change from before the request, on a relay, which waits after each answer with
/// changes, and on its follower, which waits for its relay; and against a call for each of many requests.
#[tokio::test]
async fn a_confirmed_view_contains_the_changes_before_the_request() {
    let contents = Arc::new(Contents(watch::Sender::new(1)));
    let (relay, follower) = relay_and_follower(&contents).await;
    for node in [&relay, &follower] {
        for _ in 0..10 {
            contents.write();
            let written = *contents.0.borrow();
            assert!(confirmation::confirm(&node.fleet, &node.view).await, "the store answers");
            assert!(node.latest_revision() >= written, "{} of {written}", node.latest_revision());
        }
        let before = node.calls();
        let mut requests = JoinSet::new();
        for _ in 0..100 {
            let (fleet, view) = (node.fleet.clone(), node.view.clone());
            requests.spawn(async move { confirmation::confirm(&fleet, &view).await });
        }
        assert!(requests.join_all().await.into_iter().all(|is_confirmed| is_confirmed));
        assert!(node.calls() - before < 10, "{} calls for 100 requests", node.calls() - before);
    }
}

/// Guards against a read that confirms the view for a request that came after it began: the change before the request is not
/// in it.
#[tokio::test]
async fn a_read_under_way_does_not_confirm_a_later_request() {
    let contents = Arc::new(Contents(watch::Sender::new(1)));
    let (relay, _follower) = relay_and_follower(&contents).await;
    relay.store.answer_delay.store(80, Ordering::SeqCst);
    for _ in 0..5 {
        let (fleet, view) = (relay.fleet.clone(), relay.view.clone());
        let first = tokio::spawn(async move { confirmation::confirm(&fleet, &view).await });
        tokio::time::sleep(Duration::from_millis(40)).await;
        contents.write();
        let written = *contents.0.borrow();
        if confirmation::confirm(&relay.fleet, &relay.view).await {
            assert!(relay.latest_revision() >= written, "{} of {written}", relay.latest_revision());
        }
        first.await.expect("the first request ends");
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
}

/// Guards against waiting for a store that is known to be out of reach, and against a confirmation without an answer.
#[tokio::test]
async fn a_view_is_not_confirmed_without_the_store() {
    let contents = Arc::new(Contents(watch::Sender::new(1)));
    let (relay, _follower) = relay_and_follower(&contents).await;
    relay.store.is_refused.store(true, Ordering::SeqCst);
    assert!(!confirmation::confirm(&relay.fleet, &relay.view).await);
    // The relay's next call fails, too.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let started = tokio::time::Instant::now();
    assert!(!confirmation::confirm(&relay.fleet, &relay.view).await);
    assert!(started.elapsed() < Duration::from_millis(50), "{:?}", started.elapsed());
}
