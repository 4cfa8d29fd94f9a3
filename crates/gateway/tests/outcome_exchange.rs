//! The exchange of evidence with nodes of versions that do not know it: they close the connection on its request.

#[path = "support/peer_answerers.rs"]
mod peer_answerers;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use peer_answerers::answerers;
use stallmoor_core::identity::NodeId;
use stallmoor_core::peer_message::GroupRefusal;
use stallmoor_core::serving::jobs::directory::StorageRecord;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::serving::workers::outcome_report::{MilliCount, OutcomeReport, RouteOutcomes};
use stallmoor_core::time::Millis;
use stallmoor_gateway::clock::NodeClock;
use stallmoor_gateway::fleet::fleet_view::FleetView;
use stallmoor_gateway::fleet::metadata_view::MetadataView;
use stallmoor_gateway::leader::outcome_exchange::OutcomeClient;
use stallmoor_gateway::storage::peer_listener::{PeerEvent, accept_peers};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const STORAGE: NodeId = NodeId(7);
const OTHER: NodeId = NodeId(8);

fn report(served: u32) -> OutcomeReport {
    let routes = vec![RouteOutcomes { route: Arc::from("r"), served: MilliCount(served), failed: MilliCount(1) }];
    OutcomeReport { zone: Arc::from("zone-a"), routes, ..OutcomeReport::default() }
}

/// Starts a node of an earlier version. Returns its address and the number of requests that it received.
async fn earlier_version() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("binding a local port succeeds");
    let address = listener.local_addr().expect("listener has an address");
    let requests = Arc::new(AtomicUsize::new(0));
    let received = requests.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut start = [0; 16];
            if stream.read(&mut start).await.is_ok_and(|count| count > 0) {
                received.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    (address, requests)
}

/// Starts a node that answers with `answer`.
async fn node_answering(answer: Result<JobsAnswer, GroupRefusal>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("binding a local port succeeds");
    let address = listener.local_addr().expect("listener has an address");
    let (events, mut received) = mpsc::channel(16);
    let bounds = WatchBounds { change: Millis(2_000), contact: Millis(3_000), heartbeat: Millis(1_200) };
    let metadata = Arc::new(MetadataView::new(NodeClock::start(), bounds));
    tokio::spawn(accept_peers(listener, answerers(events, metadata)));
    tokio::spawn(async move {
        while let Some(event) = received.recv().await {
            let PeerEvent::Request { request: JobsRequest::ReportOutcomes(_), reply, .. } = event else { continue };
            drop(reply.send(answer.clone()));
        }
    });
    address
}

fn client(nodes: &[(NodeId, SocketAddr)]) -> OutcomeClient {
    let view = Arc::new(FleetView::new(NodeClock::start(), Arc::from("zone-a"), 1));
    for (node, address) in nodes {
        let (name, zone) = (Arc::from(format!("storage-{node}")), Arc::from("zone-a"));
        view.storage().upsert(StorageRecord { name, node: *node, address: *address, zone });
    }
    OutcomeClient::new(view, NodeId(1))
}

/// Guards against a new gateway that opens five connections a second to a leader of an earlier version.
#[tokio::test]
async fn node_that_does_not_know_the_request_is_left_alone() {
    let (address, requests) = earlier_version().await;
    let other = node_answering(Ok(JobsAnswer::Outcomes(report(5)))).await;
    let client = client(&[(STORAGE, address), (OTHER, other)]);
    for _ in 0..3 {
        assert_eq!(client.exchange(STORAGE, report(1)).await, None);
    }
    assert_eq!(requests.load(Ordering::SeqCst), 1);
    assert_eq!(client.exchange(OTHER, report(1)).await, Some(report(5)), "other nodes are not affected");
}

/// Guards against counting this node twice, at its former partner and at the next one.
#[tokio::test]
async fn former_partner_is_told_to_forget_this_nodes_counts() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("binding a local port succeeds");
    let address = listener.local_addr().expect("listener has an address");
    let (events, mut received) = mpsc::channel(16);
    let bounds = WatchBounds { change: Millis(2_000), contact: Millis(3_000), heartbeat: Millis(1_200) };
    let metadata = Arc::new(MetadataView::new(NodeClock::start(), bounds));
    tokio::spawn(accept_peers(listener, answerers(events, metadata)));
    let client = client(&[(STORAGE, address)]);
    client.withdraw(STORAGE);
    let event = received.recv().await.expect("a request");
    let PeerEvent::Request { request: JobsRequest::ReportOutcomes(report), .. } = event else {
        panic!("not a report on outcomes")
    };
    assert_eq!(report, OutcomeReport { zone: Arc::from("zone-a"), ..OutcomeReport::default() });
}

/// Guards against a pause after a refusal, which a node gives that knows the request.
#[tokio::test]
async fn refusal_and_unexpected_answers_count_as_missing() {
    let refusing = node_answering(Err(GroupRefusal::Busy)).await;
    let confused = node_answering(Ok(JobsAnswer::Accepted)).await;
    let client = client(&[(STORAGE, refusing), (OTHER, confused)]);
    assert_eq!(client.exchange(STORAGE, report(1)).await, None);
    assert_eq!(client.exchange(OTHER, report(1)).await, None);
    assert_eq!(client.exchange(NodeId(99), report(1)).await, None, "an unknown node");
}
