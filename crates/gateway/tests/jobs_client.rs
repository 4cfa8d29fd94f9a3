//! Results of a submission that the leader client sent more than once: a refusal must not be reported as final if an
//! earlier attempt may have been accepted.

#[path = "support/peer_answerers.rs"]
mod peer_answerers;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use peer_answerers::answerers;
use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::jobs::command::{JobKey, Submission};
use stallmoor_core::serving::jobs::directory::StorageRecord;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::leader::search::NoLeader;
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::time::{Millis, UnixMillis};
use stallmoor_gateway::clock::NodeClock;
use stallmoor_gateway::fleet::fleet_view::FleetView;
use stallmoor_gateway::fleet::metadata_view::MetadataView;
use stallmoor_gateway::leader::client::LeaderClient;
use stallmoor_gateway::storage::peer_listener::{PeerEvent, Reply, accept_peers};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// The storage node that receives the submissions.
const STORAGE: NodeId = NodeId(7);

/// Starts a storage node that answers each attempt with the next entry of the script; `None` leaves it unanswered.
async fn scripted_storage(script: Vec<Option<JobsAnswer>>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("binding a local port succeeds");
    let address = listener.local_addr().expect("listener has an address");
    let (events, mut received) = mpsc::channel(16);
    let bounds = WatchBounds { change: Millis(2_000), contact: Millis(3_000), heartbeat: Millis(1_200) };
    let view = Arc::new(MetadataView::new(NodeClock::start(), bounds));
    tokio::spawn(accept_peers(listener, answerers(events, view)));
    tokio::spawn(async move {
        let mut script = script.into_iter();
        let mut unanswered: Vec<Reply> = Vec::new();
        while let Some(event) = received.recv().await {
            let PeerEvent::Request { reply, .. } = event else { continue };
            match script.next().flatten() {
                Some(answer) => drop(reply.send(Ok(answer))),
                None => unanswered.push(reply),
            }
        }
    });
    address
}

/// Submits a job to a scripted storage node.
async fn submit(script: Vec<Option<JobsAnswer>>) -> Result<JobsAnswer, NoLeader> {
    let address = scripted_storage(script).await;
    let view = Arc::new(FleetView::new(NodeClock::start(), Arc::from("zone-a"), 1));
    let (name, zone) = (Arc::from("storage-1"), Arc::from("zone-a"));
    view.storage().upsert(StorageRecord { name, node: STORAGE, address, zone });
    let until = view.clock.now() + Millis(3_000);
    LeaderClient::new(view, NodeId(1)).send_request(JobsRequest::Submit(job()), until).await
}

fn job() -> Submission {
    Submission {
        key: JobKey(Arc::from("job-1")),
        route: Arc::from("batch"),
        host: Arc::from("front.example"),
        tenant: None,
        items: Vec::new(),
        configuration_version: 1,
        received_at: UnixMillis(0),
        due: Millis(20_000),
        queued_token_limit: Some(100),
    }
}

#[tokio::test]
async fn refusal_after_an_unanswered_attempt_is_indeterminate() {
    for refusal in [JobsAnswer::OverQuota { waiting: 100 }, JobsAnswer::NoRoom] {
        let answer = submit(vec![None, Some(refusal)]).await;
        assert_eq!(answer, Ok(JobsAnswer::Indeterminate), "the first attempt may still be accepted");
    }
}

#[tokio::test]
async fn refusal_after_an_indeterminate_attempt_is_indeterminate() {
    let answer = submit(vec![Some(JobsAnswer::Indeterminate), Some(JobsAnswer::OverQuota { waiting: 100 })]).await;
    assert_eq!(answer, Ok(JobsAnswer::Indeterminate));
}

#[tokio::test]
async fn refusal_of_the_first_attempt_is_returned() {
    let refusal = JobsAnswer::OverQuota { waiting: 100 };
    assert_eq!(submit(vec![Some(refusal.clone())]).await, Ok(refusal));
}

/// Guards against a submission that is late because its first attempt waits for a dead leader.
#[tokio::test]
async fn job_is_accepted_by_another_node_soon_after_the_leader_falls_silent() {
    let view = Arc::new(FleetView::new(NodeClock::start(), Arc::from("zone-a"), 1));
    let scripts = [vec![None; 16], vec![Some(JobsAnswer::Accepted)]];
    for (number, script) in (STORAGE.0..).zip(scripts) {
        let address = scripted_storage(script).await;
        let (name, zone) = (Arc::from(format!("storage-{number}")), Arc::from("zone-a"));
        view.storage().upsert(StorageRecord { name, node: NodeId(number), address, zone });
    }
    let started_at = view.clock.now();
    let client = LeaderClient::new(view.clone(), NodeId(1));
    let answer = client.send_request(JobsRequest::Submit(job()), started_at + Millis(2_500)).await;
    assert_eq!(answer, Ok(JobsAnswer::Accepted));
    let elapsed = view.clock.now().since(started_at);
    assert!(elapsed < Millis(700), "the job was accepted after {elapsed:?}");
}

#[tokio::test]
async fn accepted_job_is_reported_after_an_unanswered_attempt() {
    let answer = submit(vec![None, Some(JobsAnswer::Accepted)]).await;
    assert_eq!(answer, Ok(JobsAnswer::Accepted));
}
