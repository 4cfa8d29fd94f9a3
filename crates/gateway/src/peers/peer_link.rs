//! Connections to other nodes: messages that may be lost, and requests that are answered.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::peer_message::{
    GroupAnswer, GroupAnswerBody, GroupRefusal, GroupRequest, GroupRequestBody, PeerMessage,
};
use stallmoor_core::replication::MessageKind;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::relay::message::{ChangesAnswer, ChangesRequest};
use tokio::io::{AsyncWriteExt, BufReader, BufWriter};
use tokio::sync::{mpsc, oneshot};

use crate::peers::frames::{read_message, write_frame};
use crate::sockets::connect_tuned;

/// Most messages that wait for one peer; what doesn't fit is dropped.
const QUEUE: usize = 1_024;
/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a write may take before the connection is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The same for a snapshot, which may be large.
const SNAPSHOT_WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a request brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFailure {
    /// It was not sent.
    NotSent,
    /// It may have arrived.
    NoAnswer,
}

type Pending = Arc<Mutex<HashMap<u64, oneshot::Sender<GroupAnswer>>>>;

struct Outgoing {
    frame: Vec<u8>,
    /// Told once the frame is about to be written.
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
        let frame = stallmoor_wire::encode(message);
        // A full queue loses the message, which its sender must bear.
        let key = LinkKey { to, link_use: LinkUse::of(message) };
        let _ = self.link(key).queue.try_send(Outgoing { frame, sent: None });
    }

    /// Sends a request whose answer nobody waits for.
    pub fn notify(&self, to: SocketAddr, request: JobsRequest) {
        let id = self.next_id();
        let body = GroupRequestBody::Jobs(request);
        self.send(to, &PeerMessage::GroupRequest(GroupRequest { id, from: self.id, group: GroupId(0), body }));
    }

    /// Asks the table of pass-through jobs and waits for the answer.
    ///
    /// # Errors
    ///
    /// [`LinkFailure`]: there is none.
    pub async fn ask(
        &self,
        to: SocketAddr,
        request: JobsRequest,
        within: Duration,
    ) -> Result<Result<JobsAnswer, GroupRefusal>, LinkFailure> {
        match self.ask_body(to, GroupRequestBody::Jobs(request), within).await? {
            Ok(GroupAnswerBody::Jobs(answer)) => Ok(Ok(answer)),
            Ok(_) => Err(LinkFailure::NoAnswer),
            Err(refusal) => Ok(Err(refusal)),
        }
    }

    /// Asks a relay for changes of the metadata store and waits for the answer.
    ///
    /// # Errors
    ///
    /// [`LinkFailure`]: there is none.
    pub async fn ask_changes(
        &self,
        to: SocketAddr,
        request: ChangesRequest,
        within: Duration,
    ) -> Result<Result<ChangesAnswer, GroupRefusal>, LinkFailure> {
        match self.ask_body(to, GroupRequestBody::Changes(request), within).await? {
            Ok(GroupAnswerBody::Changes(answer)) => Ok(Ok(answer)),
            Ok(_) => Err(LinkFailure::NoAnswer),
            Err(refusal) => Ok(Err(refusal)),
        }
    }

    async fn ask_body(
        &self,
        to: SocketAddr,
        body: GroupRequestBody,
        within: Duration,
    ) -> Result<Result<GroupAnswerBody, GroupRefusal>, LinkFailure> {
        let id = self.next_id();
        let message = PeerMessage::GroupRequest(GroupRequest { id, from: self.id, group: GroupId(0), body });
        let frame = stallmoor_wire::encode(&message);
        let link = self.link(LinkKey { to, link_use: LinkUse::Messages });
        let (answer_sender, answer) = oneshot::channel();
        let (sent_sender, mut sent) = oneshot::channel();
        lock(&link.pending).insert(id, answer_sender);
        let _forget = ForgetPending { pending: link.pending.clone(), id };
        if link.queue.try_send(Outgoing { frame, sent: Some(sent_sender) }).is_err() {
            return Err(LinkFailure::NotSent);
        }
        match tokio::time::timeout(within, answer).await {
            Ok(Ok(GroupAnswer { result, .. })) => Ok(result),
            _ => {
                // Refuse to send it any more, unless it has gone already.
                sent.close();
                let was_sent = sent.try_recv().is_ok();
                Err(if was_sent { LinkFailure::NoAnswer } else { LinkFailure::NotSent })
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

/// Forgets a request whose asker does not wait any more.
struct ForgetPending {
    pending: Pending,
    id: u64,
}

impl Drop for ForgetPending {
    fn drop(&mut self) {
        lock(&self.pending).remove(&self.id);
    }
}

fn lock(pending: &Pending) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<GroupAnswer>>> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}

fn open_link(key: LinkKey) -> Arc<Link> {
    let (queue, receiver) = mpsc::channel(QUEUE);
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
    // Dropping the senders tells those who wait that no answer comes.
    lock(&pending).clear();
}

async fn read_answers(mut reader: BufReader<tokio::net::tcp::OwnedReadHalf>, pending: Pending) {
    while let Ok(message) = read_message(&mut reader).await {
        if let PeerMessage::GroupAnswer(answer) = message
            && let Some(waiting) = lock(&pending).remove(&answer.id)
        {
            // Whoever waited may have left.
            let _ = waiting.send(answer);
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
                let wanted = outgoing.sent.is_none_or(|sent| sent.send(()).is_ok());
                if wanted {
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
