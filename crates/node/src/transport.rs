//! Messages between nodes: small membership messages over UDP, all others over TCP.
//!
//! A connection carries messages in one direction. Slow or failed peers block no sender: each peer has a
//! bounded queue, and messages that don't fit are dropped; the protocols tolerate message loss.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::log_event::LogEvent;
use stallmoor_core::node::Event;
use stallmoor_core::peer_message::PeerMessage;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader, BufWriter};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;

use crate::actor::MessageHandler;
use crate::driver::log_event;
use crate::events::EventSender;

/// Maximum number of messages queued for one peer.
const PEER_QUEUE_CAPACITY: usize = 4_096;
/// Maximum size of a message sent as a datagram.
const MAX_DATAGRAM_BYTES: usize = 8_192;
/// Maximum size of the unpacked message of a datagram.
const MAX_DATAGRAM_MESSAGE_BYTES: usize = 1 << 20;
/// Larger than any UDP payload, so that no datagram is truncated.
const DATAGRAM_BUFFER_BYTES: usize = 65_536;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time limit for one write; the connection is closed when it expires.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed connection; messages queued in the meantime are dropped.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Connections without messages are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A message to send to a peer.
pub struct Outgoing {
    /// Address of the peer.
    pub to: SocketAddr,
    /// The message to encode and send.
    pub message: PeerMessage,
}

/// The state of the actor that sends messages to peers.
pub struct TransportState {
    socket: Arc<UdpSocket>,
    peers: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
}

impl TransportState {
    /// Creates a state without connections.
    pub fn new(socket: Arc<UdpSocket>) -> Self {
        Self { socket, peers: HashMap::new() }
    }

    fn send(&mut self, outgoing: &Outgoing) {
        let bytes = stallmoor_wire::encode(&outgoing.message);
        let is_membership = matches!(outgoing.message, PeerMessage::Membership(_));
        if is_membership && bytes.len() <= MAX_DATAGRAM_BYTES {
            // The datagram is lost if the socket buffer is full; the membership protocol tolerates this.
            let _ = self.socket.try_send_to(&bytes, outgoing.to);
            return;
        }
        self.peers.retain(|_, sender| !sender.is_closed());
        let sender = self.peers.entry(outgoing.to).or_insert_with(|| connect(outgoing.to));
        let _ = sender.try_send(bytes);
    }
}

impl MessageHandler for TransportState {
    type Message = Outgoing;

    fn handle(&mut self, outgoing: Outgoing) {
        self.send(&outgoing);
    }
}

/// Starts the task that maintains the connection to a peer.
fn connect(peer: SocketAddr) -> mpsc::Sender<Vec<u8>> {
    let (sender, receiver) = mpsc::channel(PEER_QUEUE_CAPACITY);
    tokio::spawn(maintain_connection(peer, receiver));
    sender
}

async fn maintain_connection(peer: SocketAddr, mut frames: mpsc::Receiver<Vec<u8>>) {
    loop {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
        if let Ok(Ok(stream)) = connected {
            let _ = stream.set_nodelay(true);
            if write_frames(stream, &mut frames).await {
                return;
            }
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
        while frames.try_recv().is_ok() {}
    }
}

/// Writes frames to the connection. Returns false if the connection failed, true if it is no longer needed.
async fn write_frames(stream: TcpStream, frames: &mut mpsc::Receiver<Vec<u8>>) -> bool {
    let mut writer = BufWriter::new(stream);
    loop {
        let frame = match tokio::time::timeout(IDLE_TIMEOUT, frames.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return true,
            Err(_) => {
                frames.close();
                return true;
            }
        };
        let write = async {
            write_frame(&mut writer, &frame).await?;
            while let Ok(frame) = frames.try_recv() {
                write_frame(&mut writer, &frame).await?;
            }
            writer.flush().await
        };
        if !matches!(tokio::time::timeout(WRITE_TIMEOUT, write).await, Ok(Ok(()))) {
            return false;
        }
    }
}

async fn write_frame(writer: &mut BufWriter<TcpStream>, frame: &[u8]) -> std::io::Result<()> {
    writer.write_all(&(frame.len() as u32).to_le_bytes()).await?;
    writer.write_all(frame).await
}

/// Accepts connections from peers and forwards their messages to the driver.
pub async fn accept_peers(listener: TcpListener, events: EventSender) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(read_frames(stream, peer, events.clone()));
    }
}

async fn read_frames(stream: TcpStream, peer: SocketAddr, events: EventSender) {
    let mut reader = BufReader::new(stream);
    loop {
        let mut length = [0; 4];
        if reader.read_exact(&mut length).await.is_err() {
            return;
        }
        let length = u32::from_le_bytes(length) as usize;
        if length > stallmoor_wire::MAX_FRAME_BYTES {
            log_event(LogEvent::MessageRefused, &format!("a frame of {length} bytes from {peer}"));
            return;
        }
        // Grows the buffer as data arrives, so that a forged length doesn't allocate memory.
        let mut frame = Vec::new();
        let mut limited = (&mut reader).take(length as u64);
        if limited.read_to_end(&mut frame).await.is_err() || frame.len() < length {
            return;
        }
        match stallmoor_wire::decode(&frame) {
            Ok(message) => {
                events.try_send(Event::Peer(message));
            }
            Err(error) => log_event(LogEvent::MessageRefused, &format!("from {peer}: {error}")),
        }
    }
}

/// Receives datagrams and forwards their messages to the driver.
pub async fn receive_datagrams(socket: Arc<UdpSocket>, events: EventSender) {
    let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
    loop {
        let Ok((length, peer)) = socket.recv_from(&mut buffer).await else { continue };
        match stallmoor_wire::decode_within(&buffer[..length], MAX_DATAGRAM_MESSAGE_BYTES) {
            Ok(message) => {
                events.try_send(Event::Peer(message));
            }
            Err(error) => log_event(LogEvent::MessageRefused, &format!("from {peer}: {error}")),
        }
    }
}
