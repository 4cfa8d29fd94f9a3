//! Connections to other nodes: messages that may be lost, and requests that are answered.
//!
//! Owns one connection for each node and use, and the requests that wait on it. Relies on [`super::frames`]; who is
//! asked and for how long is the caller's. A link is never repaired: the next message opens another.

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
use crate::observe::measures;
use crate::peers::frames::{read_message, write_frame};
use crate::sockets::connect_tuned;

/// The group that holds the job table, and to which every request between gateways and storing nodes is addressed.
pub const JOBS_GROUP: GroupId = GroupId(0);
/// Most messages that wait for one peer: bounds memory. What doesn't fit is dropped, and sent again by whoever needs
/// it.
const QUEUE_CAPACITY: usize = 1_024;
/// How long a connection attempt may take, in milliseconds: messages to a machine that is gone are given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a write may take before the connection is given up, in seconds: messages to a machine that stands still.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The same for a snapshot, in seconds: a large one on a thin link.
const SNAPSHOT_WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a request brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerCallError {
    /// The node answered that it won't serve the request.
    Refused(GroupRefusal),
    /// The request was not sent.
    NotSent,
    /// The request may have arrived.
    NoAnswer,
}

/// A kind of request that nodes answer.
pub trait PeerRequest {
    /// Its answer.
    type Answer;

    /// The request as a message's body.
    fn into_body(self) -> GroupRequestBody;

    /// The answer in a message's body; `None` if it is of another kind.
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

/// What changed in the metadata store, or all that it holds where that is shorter to tell.
#[derive(Clone, Copy, Debug)]
pub struct FollowRequest(pub ChangesRequest);

/// The answer to a [`FollowRequest`].
#[derive(Clone, Debug)]
pub enum FollowAnswer {
    /// What changed.
    Changes(ChangesAnswer),
    /// All that the store holds, packed.
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
    /// Resolved once the frame is about to be written.
    sent: Option<oneshot::Sender<()>>,
}

/// What a connection carries. A snapshot must not hold up heartbeats, so it has one of its own.
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
}

impl PeerLinks {
    /// No connections yet.
    pub fn new(id: NodeId) -> Self {
        Self { id, links: Mutex::default(), next: Mutex::new(1) }
    }

    /// Sends a message that may be lost.
    pub fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let frame = encode(message);
        // A full queue loses the message, which its sender must bear.
        let key = LinkKey { to, link_use: LinkUse::of(message) };
        let _ = self.link(key).queue.try_send(Outgoing { frame, sent: None });
    }

    /// Sends a request whose answer nobody waits for.
    pub fn notify(&self, to: SocketAddr, request: JobsRequest) {
        let id = self.next_id();
        let body = GroupRequestBody::Jobs(request);
        self.send(to, &PeerMessage::GroupRequest(GroupRequest { id, from: self.id, group: JOBS_GROUP, body }));
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// [`PeerCallError`]: the node refused, or there is no answer.
    pub async fn send_request<R: PeerRequest>(
        &self,
        to: SocketAddr,
        request: R,
        timeout: Duration,
    ) -> Result<R::Answer, PeerCallError> {
        let body = self.exchange(to, request.into_body(), timeout).await?;
        R::answer_from_body(body).ok_or_else(|| {
            // It counts as none; the line tells a faulty peer from a silent one.
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
                // Refuse to send it any more, unless it has gone already.
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
        links.entry(key).or_insert_with(|| open_link(key)).clone()
    }
}

/// Encodes a message that is about to be sent, and counts it.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let frame = stallmoor_wire::encode(message);
    measures::peer_sent(message.name(), frame.len());
    frame
}

/// Forgets a request whose asker does not wait any more.
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

fn open_link(key: LinkKey) -> Arc<Link> {
    let (queue, receiver) = mpsc::channel(QUEUE_CAPACITY);
    let pending = Pending::default();
    tokio::spawn(run_link(key, receiver, pending.clone()));
    Arc::new(Link { queue, pending })
}

/// Keeps one connection until it breaks; then the link is over, and the next message opens another.
async fn run_link(key: LinkKey, mut queue: mpsc::Receiver<Outgoing>, pending: Pending) {
    if let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connect_tuned(key.to)).await {
        let (reader, writer) = stream.into_split();
        let reading = read_answers(BufReader::new(reader), pending.clone());
        let writing = write_queue(BufWriter::new(writer), &mut queue, key.link_use.write_timeout());
        tokio::select! {
            () = reading => {}
            () = writing => {}
        }
    }
    queue.close();
    // Dropping the senders ends the wait of those who asked: no answer comes.
    lock(&pending).clear();
}

async fn read_answers(mut reader: BufReader<tokio::net::tcp::OwnedReadHalf>, pending: Pending) {
    while let Ok(message) = read_message(&mut reader).await {
        if let PeerMessage::GroupAnswer(answer) = message
            && let Some(sender) = lock(&pending).remove(&answer.id)
        {
            // Whoever waited may have left.
            let _ = sender.send(answer);
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
                // One that is not awaited any more must not be sent: its asker counts it as not sent.
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
