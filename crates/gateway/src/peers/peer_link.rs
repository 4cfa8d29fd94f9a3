//! Connections to other nodes, for one-way messages that may be lost and for requests with answers.
//!
//! Owns one connection per node and use, with its pending requests. The caller determines the peer and the timeout. A
//! broken link is not reconnected; the next message opens a new one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::peer_message::{
    GroupAnswer, GroupAnswerBody, GroupRefusal, GroupRequest, GroupRequestBody, PeerMessage,
};
use stallmoor_core::replication::MessageKind;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::relay::contents::ContentsAnswer;
use stallmoor_core::serving::relay::message::{ChangesAnswer, ChangesRequest};
use tokio::io::{AsyncWriteExt, BufReader, BufWriter};
use tokio::sync::{mpsc, oneshot};

use crate::observe::journal::{Field, record};
use crate::observe::large_answers::record_large_answer;
use crate::observe::measures;
use crate::peers::frames::{FrameError, MAX_ANSWER_FRAME_BYTES, read_message, write_frame};
use crate::sockets::connect_tuned;

/// The group of the job table, to which all requests between gateways and storage nodes are addressed.
pub const JOBS_GROUP: GroupId = GroupId(0);
/// Maximum number of messages queued for one peer. Messages beyond it are dropped; senders retry those they need.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum time to connect to a peer before the queued messages are dropped.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time for a write before the connection is closed, in case the peer is stalled.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Like [`WRITE_TIMEOUT`], for snapshots, which may be large and sent over a slow link.
const SNAPSHOT_WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a request to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerCallError {
    /// The node refused the request.
    Refused(GroupRefusal),
    /// The request was not sent.
    NotSent,
    /// The request was sent, but no valid answer was received in time.
    NoAnswer,
}

/// A request to another node that has an answer.
pub trait PeerRequest {
    /// The answer to this kind of request.
    type Answer;

    /// Converts the request into a message body.
    fn into_body(self) -> GroupRequestBody;

    /// Extracts the answer from a message body. Returns `None` if the body is of another kind.
    fn answer_from_body(body: GroupAnswerBody) -> Option<Self::Answer>;
}

impl PeerRequest for JobsRequest {
    type Answer = JobsAnswer;

    fn into_body(self) -> GroupRequestBody {
        GroupRequestBody::Jobs(self)
    }

    fn answer_from_body(body: GroupAnswerBody) -> Option<JobsAnswer> {
        if let GroupAnswerBody::Jobs(answer) = body { Some(answer) } else { None }
    }
}

/// Requests the changes of the metadata store since a revision, or its full contents if the relay no longer has these
/// changes.
#[derive(Clone, Copy, Debug)]
pub struct FollowRequest(pub ChangesRequest);

/// The answer to a [`FollowRequest`].
#[derive(Clone, Debug)]
pub enum FollowAnswer {
    /// The changes since the requested revision.
    Changes(ChangesAnswer),
    /// The full contents of the store, packed.
    Contents(ContentsAnswer),
}

impl PeerRequest for FollowRequest {
    type Answer = FollowAnswer;

    fn into_body(self) -> GroupRequestBody {
        GroupRequestBody::Follow(self.0)
    }

    fn answer_from_body(body: GroupAnswerBody) -> Option<FollowAnswer> {
        match body {
            GroupAnswerBody::Changes(answer) => Some(FollowAnswer::Changes(answer)),
            GroupAnswerBody::Contents(answer) => Some(FollowAnswer::Contents(answer)),
            _ => None,
        }
    }
}

impl PeerRequest for ChangesRequest {
    type Answer = ChangesAnswer;

    fn into_body(self) -> GroupRequestBody {
        GroupRequestBody::Changes(self)
    }

    fn answer_from_body(body: GroupAnswerBody) -> Option<ChangesAnswer> {
        if let GroupAnswerBody::Changes(answer) = body { Some(answer) } else { None }
    }
}

type Pending = Arc<Mutex<HashMap<u64, oneshot::Sender<GroupAnswer>>>>;

struct Outgoing {
    frame: Vec<u8>,
    /// Notified right before the frame is written.
    sent: Option<oneshot::Sender<()>>,
}

/// The use of a connection. Snapshots have a separate connection so that they don't delay heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LinkUse {
    Messages,
    Snapshots,
}

impl LinkUse {
    fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Replication(message) if matches!(message.kind, MessageKind::InstallSnapshot(_)) => {
                Self::Snapshots
            }
            _ => Self::Messages,
        }
    }

    fn write_timeout(self) -> Duration {
        match self {
            Self::Messages => WRITE_TIMEOUT,
            Self::Snapshots => SNAPSHOT_WRITE_TIMEOUT,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LinkKey {
    to: SocketAddr,
    link_use: LinkUse,
}

struct Link {
    queue: mpsc::Sender<Outgoing>,
    pending: Pending,
}

/// The connections of this node to other nodes.
pub struct PeerLinks {
    id: NodeId,
    links: Mutex<HashMap<LinkKey, Arc<Link>>>,
    next: Mutex<u64>,
    /// Receives the addresses of peers whose process has ended.
    ended: Option<EndedPeers>,
}

/// Channel for the addresses of peers whose process has ended. Unbounded: at most one message per broken connection.
pub type EndedPeers = mpsc::UnboundedSender<SocketAddr>;

impl PeerLinks {
    /// Creates a client without connections for the node `id`.
    pub fn new(id: NodeId) -> Self {
        Self { id, links: Mutex::default(), next: Mutex::new(1), ended: None }
    }

    /// Reports each peer whose connection breaks and that then refuses a new one, so that its process has ended.
    pub fn reporting_ended_peers(self, ended: EndedPeers) -> Self {
        Self { ended: Some(ended), ..self }
    }

    /// Sends a message without confirmation. It is lost if the queue is full or the connection breaks.
    pub fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let frame = encode(message);
        // If the queue is full, the message is dropped; senders tolerate that.
        let key = LinkKey { to, link_use: LinkUse::of(message) };
        let _ = self.link(key).queue.try_send(Outgoing { frame, sent: None });
    }

    /// Sends a request without waiting for its answer.
    pub fn notify(&self, to: SocketAddr, request: JobsRequest) {
        let id = self.next_id();
        let body = GroupRequestBody::Jobs(request);
        self.send(to, &PeerMessage::GroupRequest(GroupRequest { id, from: self.id, group: JOBS_GROUP, body }));
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// [`PeerCallError`]: the node refused the request, or there was no valid answer.
    pub async fn send_request<R: PeerRequest>(
        &self,
        to: SocketAddr,
        request: R,
        timeout: Duration,
    ) -> Result<R::Answer, PeerCallError> {
        let body = self.exchange(to, request.into_body(), timeout).await?;
        R::answer_from_body(body).ok_or_else(|| {
            // Handled as a missing answer; the log line distinguishes a faulty peer from an unresponsive one.
            let detail = "an answer that does not belong to its request";
            record(LogEvent::MessageRefused, &[Field::text("peer", to), Field::text("detail", detail)]);
            PeerCallError::NoAnswer
        })
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        body: GroupRequestBody,
        timeout: Duration,
    ) -> Result<GroupAnswerBody, PeerCallError> {
        let id = self.next_id();
        let message = PeerMessage::GroupRequest(GroupRequest { id, from: self.id, group: JOBS_GROUP, body });
        let frame = encode(&message);
        let link = self.link(LinkKey { to, link_use: LinkUse::Messages });
        let (answer_sender, answer) = oneshot::channel();
        let (sent_sender, mut sent) = oneshot::channel();
        lock(&link.pending).insert(id, answer_sender);
        let _pending_guard = PendingGuard { pending: link.pending.clone(), id };
        if link.queue.try_send(Outgoing { frame, sent: Some(sent_sender) }).is_err() {
            return Err(PeerCallError::NotSent);
        }
        match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(GroupAnswer { result, .. })) => result.map_err(PeerCallError::Refused),
            _ => {
                // Prevents a later send, unless the request has been sent already.
                sent.close();
                let was_sent = sent.try_recv().is_ok();
                Err(if was_sent { PeerCallError::NoAnswer } else { PeerCallError::NotSent })
            }
        }
    }

    fn next_id(&self) -> u64 {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        *next += 1;
        *next
    }

    fn link(&self, key: LinkKey) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|_, link| !link.queue.is_closed());
        links.entry(key).or_insert_with(|| open_link(key, self.ended.clone())).clone()
    }
}

/// Encodes a message for sending and updates the metrics of sent messages.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let frame = stallmoor_wire::encode(message);
    measures::count_peer_message(message.name(), frame.len());
    frame
}

/// Removes a pending request when its caller stops waiting.
struct PendingGuard {
    pending: Pending,
    id: u64,
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        lock(&self.pending).remove(&self.id);
    }
}

fn lock(pending: &Pending) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<GroupAnswer>>> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}

fn open_link(key: LinkKey, ended: Option<EndedPeers>) -> Arc<Link> {
    let (queue, receiver) = mpsc::channel(QUEUE_CAPACITY);
    let pending = Pending::default();
    tokio::spawn(run_link(key, receiver, pending.clone(), ended));
    Arc::new(Link { queue, pending })
}

/// Runs one connection until it breaks, then closes the link, so that the next message opens a new one.
async fn run_link(key: LinkKey, mut queue: mpsc::Receiver<Outgoing>, pending: Pending, ended: Option<EndedPeers>) {
    let mut was_connected = false;
    if let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connect_tuned(key.to)).await {
        was_connected = true;
        let (reader, writer) = stream.into_split();
        let reading = read_answers(key.to, BufReader::new(reader), pending.clone());
        let writing = write_queue(BufWriter::new(writer), &mut queue, key.link_use.write_timeout());
        tokio::select! {
            () = reading => {}
            () = writing => {}
        }
    }
    queue.close();
    // Dropping the senders makes all pending requests fail.
    lock(&pending).clear();
    if let Some(ended) = ended.filter(|_| was_connected)
        && refuses_connections(key.to).await
    {
        // The receiver is dropped only when the process ends.
        let _ = ended.send(key.to);
    }
}

/// Returns whether a peer refuses a connection, which only a machine without the peer's process does.
async fn refuses_connections(to: SocketAddr) -> bool {
    let connection = tokio::time::timeout(CONNECT_TIMEOUT, connect_tuned(to)).await;
    matches!(connection, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Passes answers on to their requests until the connection breaks or carries something else.
async fn read_answers(from: SocketAddr, mut reader: BufReader<tokio::net::tcp::OwnedReadHalf>, pending: Pending) {
    loop {
        match read_message(&mut reader, MAX_ANSWER_FRAME_BYTES).await {
            Ok(PeerMessage::GroupAnswer(answer)) => {
                if let Some(sender) = lock(&pending).remove(&answer.id) {
                    // The caller may have stopped waiting.
                    let _ = sender.send(answer);
                }
            }
            Ok(_) => {}
            Err(FrameError::Disconnected { .. }) => return,
            Err(FrameError::TooLarge { limit, .. }) => return record_large_answer(from, "", "peer", limit),
            Err(error @ FrameError::Malformed { .. }) => {
                let fields = [Field::text("peer", from), Field::text("detail", error)];
                return record(LogEvent::MessageRefused, &fields);
            }
        }
    }
}

async fn write_queue(
    mut writer: BufWriter<tokio::net::tcp::OwnedWriteHalf>,
    queue: &mut mpsc::Receiver<Outgoing>,
    write_timeout: Duration,
) {
    while let Some(first) = queue.recv().await {
        let write = async {
            let mut next = Some(first);
            while let Some(outgoing) = next {
                // A request that timed out must not be sent, since its caller got `NotSent`.
                let is_pending = outgoing.sent.is_none_or(|sent| sent.send(()).is_ok());
                if is_pending {
                    write_frame(&mut writer, &outgoing.frame).await?;
                }
                next = queue.try_recv().ok();
            }
            writer.flush().await
        };
        if !matches!(tokio::time::timeout(write_timeout, write).await, Ok(Ok(()))) {
            return;
        }
    }
}
