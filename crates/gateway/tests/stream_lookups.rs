//! A lookup of a stream's origin must ask as many storage nodes as its decision needs, also after some did not answer in
//! time.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::peer_message::{GroupAnswer, GroupAnswerBody, GroupRequestBody, PeerMessage};
use stallmoor_core::serving::jobs::directory::StorageRecord;
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::serving::relay::item::Revision;
use stallmoor_core::serving::relay::mirror::MissingKeys;
use stallmoor_core::serving::stream_origins::message::{OriginRecord, OriginsAnswer, OriginsRequest};
use stallmoor_core::serving::stream_origins::sharing::Sharing;
use stallmoor_core::serving::stream_origins::{NodeKnowledge, Resumption, StreamKey, StreamOrigin, UnknownOrigin};
use stallmoor_core::serving::workers::versions::KnownVersions;
use stallmoor_core::serving::workers::{SoftwareVersion, WorkerId, WorkerRecord};
use stallmoor_core::time::Millis;
use stallmoor_gateway::adapter::metadata::FleetUpdate;
use stallmoor_gateway::clock::NodeClock;
use stallmoor_gateway::fleet::fleet_view::FleetView;
use stallmoor_gateway::fleet::metadata_view::MetadataView;
use stallmoor_gateway::peers::frames::{read_message, write_frame};
use stallmoor_gateway::storage::peer_listener::{PeerAnswerers, accept_peers};
use stallmoor_gateway::streams::StreamOrigins;
use stallmoor_wire::MAX_FRAME_BYTES;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

const SERVICE: &str = "lm";
const BOUNDS: WatchBounds = WatchBounds { change: Millis(1_000), contact: Millis(1_500), heartbeat: Millis(1_200) };
/// The views of the nodes are complete for longer than this when a stream is looked up, and are never confirmed again.
const LIFETIME: Millis = Millis(20);

/// A node that knows one worker, and can't reach the store.
struct Node {
    fleet: Arc<FleetView>,
    metadata: Arc<MetadataView>,
    origins: Arc<StreamOrigins>,
}

impl Node {
    async fn start(id: NodeId) -> Self {
        let clock = NodeClock::start();
        let fleet = Arc::new(FleetView::new(clock, Arc::from("a"), id.0));
        let metadata = Arc::new(MetadataView::new(clock, BOUNDS));
        let worker = WorkerRecord {
            id: WorkerId(Arc::from("i-1")),
            service: Arc::from(SERVICE),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
            zone: Arc::from("a"),
            version: SoftwareVersion::new("v1"),
            slots: 8,
            draining: false,
            started_at: None,
            cold_remaining: Millis(0),
        };
        fleet.apply(&FleetUpdate::Worker(worker));
        metadata.replace(Vec::new(), Revision(1), MissingKeys::Removed, clock.now());
        tokio::time::sleep(Duration::from_millis(2 * LIFETIME.0)).await;
        metadata.advance(Vec::new(), Revision(1), clock.now());
        metadata.set_unreachable_for(Millis(1));
        let origins = Arc::new(StreamOrigins::new(fleet.clone(), metadata.clone(), id));
        Self { fleet, metadata, origins }
    }

    /// Answers other nodes from now on.
    fn serve(&self, listener: TcpListener) {
        let (events, mut ignored) = mpsc::channel(16);
        let answerers = PeerAnswerers { events, metadata: self.metadata.clone(), origins: self.origins.clone() };
        tokio::spawn(accept_peers(listener, answerers));
        tokio::spawn(async move { while ignored.recv().await.is_some() {} });
    }
}

/// Guards against streams of a fleet of one version that are refused for two seconds because two of three storage nodes were
/// silent for a moment: the lookup asked the third alone, and one answer is less than its quorum.
#[tokio::test]
async fn storage_nodes_that_were_silent_are_asked_if_the_others_are_too_few() {
    let gateway = Node::start(NodeId(9)).await;
    let mut storage = Vec::new();
    for id in 1..=3 {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let (name, address) = (Arc::from(format!("storage-{id}")), listener.local_addr().expect("an address"));
        gateway.fleet.storage().upsert(StorageRecord { name, node: NodeId(id), address, zone: Arc::from("a") });
        storage.push((Node::start(NodeId(id)).await, listener));
    }
    let (first, listener) = storage.remove(0);
    first.serve(listener);
    let (key, service, remaining) = (Some(StreamKey(7)), Arc::from(SERVICE), Millis(5_000));
    let resolved = gateway.origins.resolve(key, &service, LIFETIME, remaining).await;
    assert_eq!(resolved.resumption, Resumption::Refused(UnknownOrigin::UncertainPast), "two of three are silent");
    for (node, listener) in storage {
        node.serve(listener);
    }
    let resolved = gateway.origins.resolve(key, &service, LIFETIME, remaining).await;
    let origin = StreamOrigin { service, version: SoftwareVersion::new("v1") };
    assert_eq!((resolved.resumption, resolved.basis), (Resumption::At(origin), "quorum"));
}

/// Guards against a decision that comes after the caller's deadline: a node that waits for a read of the store that does not
/// end waits no longer than its caller.
#[tokio::test]
async fn a_confirmation_is_not_waited_for_beyond_the_callers_deadline() {
    let gateway = Node::start(NodeId(9)).await;
    // The store is thought to be in reach, but no read ends.
    gateway.metadata.set_unreachable_for(Millis(0));
    let remaining = Millis(100);
    let began = Instant::now();
    let resolved = gateway.origins.resolve(Some(StreamKey(7)), &Arc::from(SERVICE), LIFETIME, remaining).await;
    let elapsed = began.elapsed();
    assert_eq!(resolved.resumption, Resumption::Refused(UnknownOrigin::UncertainPast));
    assert!(elapsed < Duration::from_millis(remaining.0), "decided after {elapsed:?}");
}

/// Returns the address of a link to a node, which delivers the node's answers late.
async fn slow_link(to: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let (mut requests, mut answers) = caller.into_split();
            let (mut node_answers, mut node) = TcpStream::connect(to).await.expect("the node listens").into_split();
            tokio::spawn(async move { tokio::io::copy(&mut requests, &mut node).await });
            let (late, mut due) = mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
            tokio::spawn(async move {
                let mut bytes = vec![0; 4_096];
                while let Ok(count @ 1..) = node_answers.read(&mut bytes).await {
                    let _ = late.send((Instant::now() + delay, bytes[..count].to_vec()));
                }
            });
            tokio::spawn(async move {
                while let Some((at, bytes)) = due.recv().await {
                    tokio::time::sleep_until(at).await;
                    let _ = answers.write_all(&bytes).await;
                }
            });
        }
    });
    address
}

/// Guards against a first event that is held for two seconds although the storage nodes confirm its origin: each confirmation
/// came later than one attempt waits.
#[tokio::test]
async fn late_confirmations_of_an_origin_end_the_hold_of_the_first_event() {
    let gateway = Node::start(NodeId(9)).await;
    for id in 1..=3 {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let address = slow_link(listener.local_addr().expect("an address"), Duration::from_millis(200)).await;
        let name = Arc::from(format!("storage-{id}"));
        gateway.fleet.storage().upsert(StorageRecord { name, node: NodeId(id), address, zone: Arc::from("a") });
        Node::start(NodeId(id)).await.serve(listener);
    }
    let origin = StreamOrigin { service: Arc::from(SERVICE), version: SoftwareVersion::new("v1") };
    let began = Instant::now();
    let sharing = gateway.origins.record(StreamKey(7), &origin, Millis(5_000), &WorkerId(Arc::from("i-1"))).await;
    let elapsed = began.elapsed();
    assert_eq!(sharing, Sharing::BeforeFirstEvent);
    assert!(elapsed < Duration::from_millis(1_000), "held for {elapsed:?}");
}

/// Guards against a stream that goes on at another service than the one that began it, on a split or moved route: a storage
/// node without its record deduced the version of the route's present service, and the nodes that hold the record were not
/// heard.
#[tokio::test]
async fn a_version_is_not_deduced_before_a_holder_of_a_record_must_have_answered() {
    let gateway = Node::start(NodeId(9)).await;
    let origin = StreamOrigin { service: Arc::from("other"), version: SoftwareVersion::new("v9") };
    for id in 1..=3 {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let (mut address, node) = (listener.local_addr().expect("an address"), Node::start(NodeId(id)).await);
        if id == 1 {
            // Its view is confirmed whenever that is requested.
            node.metadata.set_unreachable_for(Millis(0));
            let (fleet, metadata) = (node.fleet.clone(), node.metadata.clone());
            tokio::spawn(async move {
                loop {
                    metadata.wait_for_confirmation_request().await;
                    let reads = metadata.end_confirmation(metadata.begin_confirmation(), true);
                    fleet.apply(&FleetUpdate::ReadAfterRequest(reads));
                }
            });
        } else {
            let record = OriginRecord { key: StreamKey(7), origin: origin.clone() };
            node.origins.answer(OriginsRequest::Store(vec![record])).await;
            address = slow_link(address, Duration::from_millis(50)).await;
        }
        let name = Arc::from(format!("storage-{id}"));
        gateway.fleet.storage().upsert(StorageRecord { name, node: NodeId(id), address, zone: Arc::from("a") });
        node.serve(listener);
    }
    let resolved = gateway.origins.resolve(Some(StreamKey(7)), &Arc::from(SERVICE), LIFETIME, Millis(5_000)).await;
    assert_eq!((resolved.resumption, resolved.basis), (Resumption::At(origin), "storage_record"));
}

/// Guards against a stream that goes on by the first record that arrives, although the other storage nodes know that it is
/// contradicted.
#[tokio::test]
async fn a_record_does_not_decide_before_a_contradiction_must_have_been_heard() {
    let gateway = Node::start(NodeId(9)).await;
    let record = |version: &str| {
        let origin = StreamOrigin { service: Arc::from(SERVICE), version: SoftwareVersion::new(version) };
        OriginRecord { key: StreamKey(7), origin }
    };
    for id in 1..=3 {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let (mut address, node) = (listener.local_addr().expect("an address"), Node::start(NodeId(id)).await);
        node.origins.answer(OriginsRequest::Store(vec![record("v1")])).await;
        if id != 1 {
            node.origins.answer(OriginsRequest::Store(vec![record("v1.1")])).await;
            address = slow_link(address, Duration::from_millis(50)).await;
        }
        let name = Arc::from(format!("storage-{id}"));
        gateway.fleet.storage().upsert(StorageRecord { name, node: NodeId(id), address, zone: Arc::from("a") });
        node.serve(listener);
    }
    let resolved = gateway.origins.resolve(Some(StreamKey(7)), &Arc::from(SERVICE), LIFETIME, Millis(5_000)).await;
    assert_eq!(resolved.resumption, Resumption::Refused(UnknownOrigin::Conflicting), "{}", resolved.basis);
}

/// Guards against a first event of a new version that is forwarded although one storage node alone holds its origin: two that
/// do not may outvote it.
#[tokio::test]
async fn a_first_event_is_held_while_one_storage_node_alone_has_its_origin() {
    let gateway = Node::start(NodeId(9)).await;
    let mut silent = Vec::new();
    for id in 1..=3 {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let (name, address) = (Arc::from(format!("storage-{id}")), listener.local_addr().expect("an address"));
        gateway.fleet.storage().upsert(StorageRecord { name, node: NodeId(id), address, zone: Arc::from("a") });
        if id == 1 {
            Node::start(NodeId(id)).await.serve(listener);
        } else {
            silent.push(listener);
        }
    }
    let origin = StreamOrigin { service: Arc::from(SERVICE), version: SoftwareVersion::new("v1") };
    let began = Instant::now();
    gateway.origins.record(StreamKey(7), &origin, Millis(5_000), &WorkerId(Arc::from("i-1"))).await;
    let known_for = gateway.fleet.workers().version_known_for(SERVICE, &origin.version, gateway.fleet.clock.now());
    assert!(!Sharing::is_new(known_for), "forwarded after {:?}", began.elapsed());
}

/// Starts a storage node of an earlier version, which closes the connection on a request that it does not know. Returns its
/// address and the number of connections that it has accepted.
async fn start_legacy_node() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let accepted = connections.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                let (reader, mut writer) = stream.split();
                let mut reader = BufReader::new(reader);
                while let Ok(PeerMessage::GroupRequest(request)) = read_message(&mut reader, MAX_FRAME_BYTES).await {
                    let GroupRequestBody::Origins(OriginsRequest::Find { .. }) = request.body else { return };
                    let versions = KnownVersions::Sole { version: SoftwareVersion::new("v1"), lasted: Millis(60_000) };
                    let known = NodeKnowledge { versions, ..NodeKnowledge::default() };
                    let result = Ok(GroupAnswerBody::Origins(OriginsAnswer::Found(known)));
                    let answer = GroupAnswer { id: request.id, group: request.group, result };
                    let frame = stallmoor_wire::encode(&PeerMessage::GroupAnswer(answer));
                    if write_frame(&mut writer, &frame).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, connections)
}

/// Guards against lookups that storage nodes of the previous version can't answer, and against a broken connection for each
/// of them.
#[tokio::test]
async fn storage_nodes_of_the_previous_version_are_asked_as_before() {
    let gateway = Node::start(NodeId(9)).await;
    let mut counts = Vec::new();
    for id in 1..=3 {
        let (address, connections) = start_legacy_node().await;
        let name = Arc::from(format!("storage-{id}"));
        gateway.fleet.storage().upsert(StorageRecord { name, node: NodeId(id), address, zone: Arc::from("a") });
        counts.push(connections);
    }
    let service = Arc::from(SERVICE);
    for stream in 0..10 {
        let resolved = gateway.origins.resolve(Some(StreamKey(stream)), &service, LIFETIME, Millis(5_000)).await;
        assert_eq!(resolved.basis, "quorum", "stream {stream}");
    }
    let connections: Vec<usize> = counts.iter().map(|count| count.load(Ordering::SeqCst)).collect();
    assert!(connections.iter().all(|count| *count <= 3), "{connections:?}");
}
