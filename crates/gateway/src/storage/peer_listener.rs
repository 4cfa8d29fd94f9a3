//! Accepts connections of other nodes, on a storage node.

use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::peer_message::{
    GroupAnswer, GroupAnswerBody, GroupRefusal, GroupRequest, GroupRequestBody, PeerMessage,
};
use stallmoor_core::replication::ReplicationMessage;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use tokio::io::{AsyncWriteExt, BufReader, BufWriter};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

use crate::fleet::metadata_view::MetadataView;
use crate::observe::journal::{Field, record};
use crate::peers::frames::{FrameError, read_message, write_frame};
use crate::peers::peer_link::encode;
use crate::sockets::accept_next;
use crate::streams::StreamOrigins;

/// Maximum number of queued answers per connection. When the queue is full, the tasks that produce answers wait.
const ANSWER_QUEUE_CAPACITY: usize = 4_096;
/// Maximum duration of one write before the connection is closed; frees the answers queued for a stalled peer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Channel for the answer to a request, or for the reason of its refusal.
pub type Reply = oneshot::Sender<Result<JobsAnswer, GroupRefusal>>;

/// Message received from another node.
pub enum PeerEvent {
    /// A replication protocol message.
    Replication(ReplicationMessage),
    /// A request to the leader or to a zone's aggregator.
    Request {
        /// Node that sent the request.
        from: NodeId,
        /// Content of the request.
        request: JobsRequest,
        /// Receives the answer.
        reply: Reply,
    },
}

/// The parts of a storage node that answer other nodes.
#[derive(Clone)]
pub struct PeerAnswerers {
    /// Receives replication messages and the requests to the leader or to a zone's aggregator.
    pub events: mpsc::Sender<PeerEvent>,
    /// Answers requests for changes of the metadata store.
    pub metadata: Arc<MetadataView>,
    /// Answers requests about the origins of streams.
    pub origins: Arc<StreamOrigins>,
}

/// Accepts connections of other nodes and passes their messages to `answerers`.
pub async fn accept_peers(listener: TcpListener, answerers: PeerAnswerers) {
    loop {
        let stream = accept_next(&listener).await;
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_peer(stream, answerers.clone()));
    }
}

async fn serve_peer(stream: TcpStream, answerers: PeerAnswerers) {
    let peer = stream.peer_addr().map_or_else(|_| String::new(), |address| address.to_string());
    let (reader, writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    let (answers, queue) = mpsc::channel(ANSWER_QUEUE_CAPACITY);
    tokio::spawn(write_answers(BufWriter::new(writer), queue));
    loop {
        match read_message(&mut reader, stallmoor_wire::MAX_FRAME_BYTES).await {
            Ok(PeerMessage::Replication(message)) => {
                if answerers.events.send(PeerEvent::Replication(message)).await.is_err() {
                    return;
                }
            }
            Ok(PeerMessage::GroupRequest(request)) => {
                if !handle_request(request, &answerers, &answers).await {
                    return;
                }
            }
            Ok(_) => {}
            Err(FrameError::Disconnected { .. }) => return,
            Err(error) => {
                let fields = [Field::text("peer", peer), Field::text("detail", error)];
                record(LogEvent::MessageRefused, &fields);
                return;
            }
        }
    }
}

/// Dispatches a request. Returns false if the service has stopped.
async fn handle_request(request: GroupRequest, answerers: &PeerAnswerers, answers: &mpsc::Sender<PeerMessage>) -> bool {
    match request.body {
        GroupRequestBody::Jobs(body) => {
            let (reply, answer) = oneshot::channel();
            let event = PeerEvent::Request { from: request.from, request: body, reply };
            if answerers.events.send(event).await.is_err() {
                return false;
            }
            let answer = async move { Some(answer.await.ok()?.map(GroupAnswerBody::Jobs)) };
            send_answer(request.id, answers.clone(), answer);
        }
        GroupRequestBody::Changes(body) => {
            let view = answerers.metadata.clone();
            let answer = async move { Some(view.answer(body).await.map(GroupAnswerBody::Changes)) };
            send_answer(request.id, answers.clone(), answer);
        }
        GroupRequestBody::Follow(body) => {
            let view = answerers.metadata.clone();
            let answer = async move { Some(view.answer_follower(body).await) };
            send_answer(request.id, answers.clone(), answer);
        }
        GroupRequestBody::Origins(body) => {
            let origins = answerers.origins.clone();
            let answer = async move { Some(Ok(GroupAnswerBody::Origins(origins.answer(body).await))) };
            send_answer(request.id, answers.clone(), answer);
        }
        // These requests are addressed to groups that storage nodes do not host.
        GroupRequestBody::Command(_) | GroupRequestBody::Query(_) => {}
    }
    true
}

/// Sends an answer to the peer when `answer` resolves. Sends nothing if it resolves to `None`.
fn send_answer(
    id: u64,
    answers: mpsc::Sender<PeerMessage>,
    answer: impl Future<Output = Option<Result<GroupAnswerBody, GroupRefusal>>> + Send + 'static,
) {
    tokio::spawn(async move {
        let Some(result) = answer.await else { return };
        let message = PeerMessage::GroupAnswer(GroupAnswer { id, group: GroupId(0), result });
        // A peer that disconnected retries at another node.
        let _ = answers.send(message).await;
    });
}

async fn write_answers(mut writer: BufWriter<tokio::net::tcp::OwnedWriteHalf>, mut queue: mpsc::Receiver<PeerMessage>) {
    while let Some(message) = queue.recv().await {
        let frame = encode(&message);
        let write = async {
            write_frame(&mut writer, &frame).await?;
            writer.flush().await
        };
        if !matches!(tokio::time::timeout(WRITE_TIMEOUT, write).await, Ok(Ok(()))) {
            return;
        }
    }
}
