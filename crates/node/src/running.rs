//! Startup and shutdown of a node.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use ractor::{ActorRef, SpawnErr};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use snafu::{ResultExt, Snafu};
use stallmoor_clients::{HttpCaller, HttpEngines, HttpKeyValue, HttpMachineList};
use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::node::{Event, Node, NodeSettings, PersistedNode};
use stallmoor_storage::{FolderOwner, StorageError, Store};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};

use crate::actor;
use crate::callers::CallerRegistry;
use crate::clock::SystemClock;
use crate::driver::{DriverState, EventBatch, log_event};
use crate::events::EventSender;
use crate::http::{HttpService, serve};
use crate::settings::NodeFileSettings;
use crate::streams::StreamsState;
use crate::transport::{TransportState, accept_peers, receive_datagrams};

const TICK_INTERVAL: Duration = Duration::from_millis(25);
const MAX_EVENTS_PER_BATCH: usize = 512;

/// An error that prevents a node from starting.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// Binding an address failed.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// The error returned by the operating system.
        source: std::io::Error,
    },
    /// Opening the data folder failed.
    #[snafu(display("{source}"))]
    Storage {
        /// The underlying error.
        source: StorageError,
    },
    /// Starting an actor failed.
    #[snafu(display("failed to start actor: {source}"))]
    Spawn {
        /// The underlying error.
        source: SpawnErr,
    },
}

/// A handle to a running node.
pub struct RunningNode {
    events: EventSender,
    stopped: watch::Receiver<bool>,
    /// Address that serves callers and operators.
    pub caller_address: SocketAddr,
    /// Address that receives messages from other nodes.
    pub peer_address: SocketAddr,
}

impl RunningNode {
    /// Starts a graceful shutdown.
    pub async fn stop(&self) {
        self.events.send(Event::Stop).await;
    }

    /// Waits until the node has stopped.
    pub async fn stopped(&mut self) {
        // A closed channel also means that the node has stopped.
        let _ = self.stopped.wait_for(|stopped| *stopped).await;
    }
}

/// Identity and state loaded from the data folder.
struct OpenedDisk {
    id: NodeId,
    store: Option<Store>,
    persisted: PersistedNode,
}

/// The node's listening sockets.
struct Sockets {
    peers: TcpListener,
    datagrams: Arc<UdpSocket>,
    callers: TcpListener,
    /// Bound address of `peers` and `datagrams`; the system assigns the port if the settings specify port 0.
    peer_address: SocketAddr,
    caller_address: SocketAddr,
}

impl Sockets {
    async fn open(settings: &NodeFileSettings) -> Result<Self, NodeError> {
        let peers = listen(settings.peer_address).await?;
        let peer_address = peers.local_addr().context(ListenSnafu { address: settings.peer_address })?;
        let datagrams = UdpSocket::bind(peer_address).await.context(ListenSnafu { address: peer_address })?;
        let callers = listen(settings.caller_address).await?;
        let caller_address = callers.local_addr().context(ListenSnafu { address: settings.caller_address })?;
        Ok(Self { peers, datagrams: Arc::new(datagrams), callers, peer_address, caller_address })
    }
}

/// Starts a node. Returns once its sockets are bound.
///
/// # Errors
///
/// Returns an error if an address can't be bound, the data folder can't be opened or an actor fails to start.
pub async fn start(settings: &NodeFileSettings, adopt_data_folder: bool) -> Result<RunningNode, NodeError> {
    let sockets = Sockets::open(settings).await?;
    let (peer_address, caller_address) = (sockets.peer_address, sockets.caller_address);

    let mut random = Xoshiro256PlusPlus::from_os_rng();
    let new_identity = NodeId(random.random::<u64>().max(1));
    let disk = open_disk(settings.data_folder.as_deref(), peer_address, adopt_data_folder, new_identity)?;

    let clock = SystemClock::new();
    let node_settings = core_settings(settings, disk.id, peer_address, caller_address);
    let node = Node::new(node_settings, disk.persisted, clock.read(), random.random());

    let (events, queue) = EventSender::channel();
    let callers = CallerRegistry::default();
    let caller = HttpCaller::default();
    let engines = Arc::new(HttpEngines::new(caller.clone()));
    let streams_state = StreamsState::new(engines.clone(), events.clone());
    let streams = actor::spawn(streams_state).await.context(SpawnSnafu)?;
    let transport_state = TransportState::new(sockets.datagrams.clone());
    let transport = actor::spawn(transport_state).await.context(SpawnSnafu)?;
    // Logged before any task runs that may log events of its own.
    let detail = format!("{} in zone {}: peers {peer_address}, callers {caller_address}", disk.id, settings.zone);
    log_event(LogEvent::NodeStarted, &detail);
    let driver_state = DriverState {
        node,
        store: disk.store,
        clock,
        events: events.clone(),
        callers: callers.clone(),
        streams,
        transport,
        key_value: Arc::new(HttpKeyValue::new(settings.key_value, caller.clone())),
        machines: Arc::new(HttpMachineList::new(settings.machine_list, caller)),
        engines,
    };
    let driver = actor::spawn(driver_state).await.context(SpawnSnafu)?;

    let (stopped_sender, stopped) = watch::channel(false);
    tokio::spawn(feed_driver(driver, queue, stopped_sender));
    tokio::spawn(tick(events.clone()));
    tokio::spawn(accept_peers(sockets.peers, events.clone()));
    tokio::spawn(receive_datagrams(sockets.datagrams, events.clone()));
    let service = HttpService::new(events.clone(), callers, settings.limits);
    tokio::spawn(serve(sockets.callers, service));
    Ok(RunningNode { events, stopped, caller_address, peer_address })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

fn open_disk(
    folder: Option<&Path>,
    peer_address: SocketAddr,
    adopt: bool,
    new_identity: NodeId,
) -> Result<OpenedDisk, NodeError> {
    let Some(folder) = folder else {
        return Ok(OpenedDisk { id: new_identity, store: None, persisted: PersistedNode::default() });
    };
    let owner = FolderOwner { peer_address: peer_address.to_string(), adopt, new_identity };
    let opened = Store::open(folder, &owner).context(StorageSnafu)?;
    if let Some(quarantined_path) = &opened.damaged_path {
        log_event(LogEvent::StoreCorrupted, &format!("set aside as {}", quarantined_path.display()));
    }
    if opened.formatted {
        log_event(LogEvent::StoreFormatted, &format!("{} in {}", opened.identity, folder.display()));
    }
    Ok(OpenedDisk { id: opened.identity, store: Some(opened.store), persisted: opened.persisted })
}

fn core_settings(
    settings: &NodeFileSettings,
    id: NodeId,
    peer_address: SocketAddr,
    caller_address: SocketAddr,
) -> NodeSettings {
    NodeSettings {
        seeds: settings.seeds.clone(),
        stores: settings.data_folder.is_some(),
        founding_stores: settings.founding_stores,
        stop_timeout: settings.stop_timeout,
        online_requests: settings.limits.online_requests,
        key_value_rate: settings.key_value_rate,
        configuration_poll: settings.configuration_poll,
        ..NodeSettings::new(id, &settings.zone, peer_address, caller_address)
    }
}

/// Sends events to the driver in batches, each after the effects of the previous one have been applied.
async fn feed_driver(driver: ActorRef<EventBatch>, mut queue: mpsc::Receiver<Event>, stopped: watch::Sender<bool>) {
    loop {
        let mut events = Vec::new();
        if queue.recv_many(&mut events, MAX_EVENTS_PER_BATCH).await == 0 {
            break;
        }
        let keep_running = driver.call(|done| EventBatch { events, done }, None).await;
        if !matches!(keep_running, Ok(ractor::rpc::CallResult::Success(true))) {
            break;
        }
    }
    // Fails only if all receivers have been dropped.
    let _ = stopped.send(true);
}

async fn tick(events: EventSender) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        events.try_send(Event::Tick);
    }
}
