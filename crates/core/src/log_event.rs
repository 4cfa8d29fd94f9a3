//! The numbered log events. `docs/EVENTS.md` is tested against this list.

/// How loud an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// An ordinary step that an operator may want to see.
    Information,
    /// Something failed and was handled.
    Warning,
    /// Something failed and needs an operator.
    Error,
}

macro_rules! log_events {
    ($($name:ident = $number:literal, $severity:ident, $meaning:literal;)*) => {
        /// The closed list of log events.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum LogEvent {
            $(#[doc = $meaning] $name,)*
        }

        impl LogEvent {
            /// Every event, in the order of the catalogue.
            pub const ALL: &'static [LogEvent] = &[$(LogEvent::$name,)*];

            /// The event's number, never reused.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// How loud the event is.
            pub fn severity(self) -> Severity {
                match self { $(Self::$name => Severity::$severity,)* }
            }

            /// What happened, in one sentence.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }
        }
    };
}

log_events! {
    NodeStarted = 100, Information, "The node is up and listens.";
    NodeReady = 101, Information, "The node has a configuration and takes requests.";
    NodeStopping = 102, Information, "A planned stop began.";
    NodeStopped = 103, Information, "The planned stop is complete.";
    SettingsReloaded = 104, Information, "The settings file was read again.";
    StoreFormatted = 110, Information, "A blank data folder was formatted with a new identity.";
    StoreCorrupted = 111, Error, "The data folder failed its checksum; it was set aside and a new identity made.";
    StoreWriteFailed = 112, Error, "A write to the data folder failed; the node stops rather than acknowledge it.";
    MemberJoined = 200, Information, "A node joined or came back.";
    MemberSuspected = 201, Warning, "A node missed its probes.";
    MemberDead = 202, Warning, "A node is held to be dead.";
    MemberLeft = 203, Information, "A node left by a planned stop.";
    GroupFounded = 300, Information, "A replica group was founded.";
    LeaderElected = 301, Information, "This replica leads its group.";
    LeaderStoodDown = 302, Information, "This replica leads its group no longer.";
    ReplicaAdded = 303, Information, "A replica was added to a group.";
    ReplicaRemoved = 304, Information, "A replica was removed from a group.";
    SnapshotInstalled = 305, Information, "A replica was rebuilt from a snapshot.";
    MembershipChanging = 306, Information, "The leader proposes a change of its group's members.";
    PairRecorded = 307, Information, "The record of a group of two is written.";
    WentOnAlone = 308, Warning, "This replica goes on as the only voter of a group of two.";
    FoundingWritten = 309, Information, "The founding record of a replica group was proposed to the store.";
    MessageRefused = 310, Warning, "A message from a peer was refused.";
    ConfigurationInForce = 400, Information, "A configuration revision came into force on this node.";
    ConfigurationAccepted = 401, Information, "An operator's change was accepted.";
    ConfigurationRefused = 402, Warning, "An operator's change was refused.";
    PlatformUnavailable = 410, Warning, "The key-value service did not answer.";
    PlatformRecovered = 411, Information, "The key-value service answers again.";
    RelayFollowed = 412, Information, "This node takes the store's changes from another node.";
    RelayLeft = 413, Warning, "A node that passed the store's changes on is silent or behind; another one or the store is asked.";
    RelayServing = 414, Information, "Other nodes take the store's changes from this one.";
    RecordUnreadable = 415, Warning, "A record of the store can't be read; it is passed over.";
    ControlTaken = 420, Information, "This node holds the control lease.";
    ControlLost = 421, Information, "This node holds the control lease no longer.";
    OrderGiven = 422, Information, "An order was given to an engine.";
    OrderFenced = 423, Warning, "An engine refused an order because it has seen a later epoch.";
    EngineLeaving = 500, Information, "An engine is leaving and gets no new work.";
    EngineEjected = 501, Warning, "An engine failed repeatedly and is passed over for a while.";
    EngineReturned = 502, Information, "An engine takes work again.";
    PieceDropped = 503, Warning, "A late or crossed piece of an answer was dropped.";
    RequestMoved = 504, Information, "A request moved to another engine.";
    RequestRefused = 505, Information, "A request was refused.";
    RetryBudgetSpent = 506, Warning, "A retry was given up because the retry budget is spent.";
    WorkerSeen = 510, Information, "A worker was seen and takes requests.";
    WorkerDraining = 511, Information, "A worker states that it leaves and gets no new requests.";
    WorkerGone = 512, Information, "A worker's record was removed; it gets no new requests.";
    WorkerMissing = 513, Warning, "A worker's record may have lapsed while the store was out of reach; it serves on for a moment, in which the record may come back.";
    WorkerCrashed = 514, Warning, "A worker could not be reached right after a request that ran there broke off or was taken away: it may have died of that request.";
    RequestQuarantined = 515, Warning, "Workers died one after the other while they ran a request; it is kept from all workers for a while.";
    ZoneEvacuated = 516, Information, "The operator evacuates a zone: its workers get no new requests.";
    ZoneReturned = 517, Information, "The operator took the evacuation of a zone back: its workers get requests again, at first as if they had just started.";
    CrashesCleared = 518, Information, "A request ran to its end; the crashes of workers that were held against it before are so no longer.";
    AttemptEnded = 520, Warning, "An attempt at a worker ended without a whole answer.";
    RequestEnded = 521, Information, "A request that passes through has ended.";
    StorageNodeSeen = 530, Information, "A storing node's record was read.";
    ItemRunEnded = 540, Information, "A run of a batch item ended.";
    ItemListed = 541, Information, "A batch item's result is listed.";
    ItemRunStarted = 542, Information, "A run of a batch item began.";
    EmptyingReported = 550, Information, "The emptying of a machine was reported.";
    JobAccepted = 600, Information, "A batch job was accepted.";
    JobCompleted = 601, Information, "Every item of a batch job has its result.";
    JobCancelled = 602, Information, "A batch job was cancelled.";
    BatchYielded = 610, Information, "Batch work stepped aside for online requests.";
    ResultDropped = 611, Information, "A second result of an item was dropped.";
}
