//! The numbered log events. A test checks that `docs/EVENTS.md` matches this list.

/// The severity of a log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Normal operation.
    Information,
    /// A failure that was handled.
    Warning,
    /// A failure that requires an operator.
    Error,
}

macro_rules! log_events {
    ($($name:ident = $number:literal, $severity:ident, $meaning:literal;)*) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum LogEvent {
            $(#[doc = $meaning] $name,)*
        }

        impl LogEvent {
            /// All events, in ascending order of their numbers.
            pub const ALL: &'static [LogEvent] = &[$(LogEvent::$name,)*];

            /// Returns the event's number. Numbers are never reused.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the event's severity.
            pub fn severity(self) -> Severity {
                match self { $(Self::$name => Severity::$severity,)* }
            }

            /// Returns a one-sentence description of the event.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }
        }
    };
}

log_events! {
    NodeStarted = 100, Information, "The node has started and accepts connections.";
    NodeReady = 101, Information, "The node has a configuration and accepts requests.";
    NodeStopping = 102, Information, "A graceful shutdown has started.";
    NodeStopped = 103, Information, "The graceful shutdown is complete.";
    SettingsReloaded = 104, Information, "The settings file was reloaded.";
    GraceEnding = 105, Information, "The grace period of a graceful shutdown is about to end while connections of callers are open.";
    StopOutcomes = 106, Information, "What became of callers' requests because of a graceful shutdown.";
    StoreFormatted = 110, Information, "An empty data folder was formatted with a new identity.";
    StoreCorrupted = 111, Error, "The data folder failed its checksum; it was set aside and a new identity was created.";
    StoreWriteFailed = 112, Error, "A write to the data folder failed; the node stops instead of acknowledging it.";
    StartWaits = 113, Warning, "The start waits for a data folder or an address that another process still has in use; the node goes on once it is free.";
    NodeFailed = 114, Error, "The node can't start or go on, and its process ends.";
    MemberJoined = 200, Information, "A node joined or rejoined the fleet.";
    MemberSuspected = 201, Warning, "A node did not answer probes and is suspected to have failed.";
    MemberDead = 202, Warning, "A node was declared dead.";
    MemberLeft = 203, Information, "A node left after a graceful shutdown.";
    GroupFounded = 300, Information, "A replica group was bootstrapped.";
    LeaderElected = 301, Information, "This replica became the leader of its group.";
    LeaderStoodDown = 302, Information, "This replica is no longer the leader of its group.";
    ReplicaAdded = 303, Information, "A replica was added to a group.";
    ReplicaRemoved = 304, Information, "A replica was removed from a group.";
    SnapshotInstalled = 305, Information, "A replica was restored from a snapshot.";
    MembershipChanging = 306, Information, "The leader proposed a membership change of its group.";
    PairRecorded = 307, Information, "The record of a group with two voters is being written.";
    WentOnAlone = 308, Warning, "This replica became the only voter of a group that had two.";
    FoundingWritten = 309, Information, "The founding record of a replica group was submitted to the metadata store.";
    MessageRefused = 310, Warning, "A message from a peer was rejected.";
    LeaderLost = 311, Warning, "This replica no longer has contact with the leader of its group and campaigns.";
    StepsMeasured = 312, Information, "Processor time of the steps of this node's storage service since the last such line, at the leader.";
    MembershipWithdrawn = 313, Warning, "This replica withdrew a membership change of its own that could not be committed, since voters that it leaves are lost.";
    ReplicaOpened = 314, Information, "A storage node opened its replica of the job table: what it has on its disk, and how many storage nodes it knows.";
    ConfigurationInForce = 400, Information, "A configuration revision took effect on this node.";
    ConfigurationAccepted = 401, Information, "A configuration change by an operator was accepted.";
    ConfigurationRefused = 402, Warning, "A configuration change by an operator was rejected.";
    PlatformUnavailable = 410, Warning, "The key-value service did not answer.";
    PlatformRecovered = 411, Information, "The key-value service answers again.";
    RelayFollowed = 412, Information, "This node receives changes of the metadata store from a relay.";
    RelayLeft = 413, Warning, "The relay that this node used is unresponsive or behind; another relay or the metadata store is queried instead.";
    RelayServing = 414, Information, "This node relays changes of the metadata store to other nodes.";
    RecordUnreadable = 415, Warning, "A record in the metadata store cannot be read and is skipped.";
    KeptViewUsed = 417, Information, "The node starts with what its disk holds of the metadata store, until it obtains a complete view.";
    ViewNotKept = 418, Warning, "What this node knows of the metadata store could not be written to its disk; the node tries again.";
    ControlTaken = 420, Information, "This node acquired the control lease.";
    ControlLost = 421, Information, "This node lost the control lease.";
    OrderGiven = 422, Information, "A command was sent to an engine.";
    OrderFenced = 423, Warning, "An engine rejected a command because it has seen a later epoch.";
    EngineLeaving = 500, Information, "An engine is shutting down and receives no new work.";
    EngineEjected = 501, Warning, "An engine failed repeatedly and is temporarily excluded.";
    EngineReturned = 502, Information, "An engine receives work again.";
    PieceDropped = 503, Warning, "A response chunk that was late or belonged to another attempt was dropped.";
    RequestMoved = 504, Information, "A request moved to another engine.";
    RequestRefused = 505, Information, "A request was refused.";
    RetryBudgetSpent = 506, Warning, "A retry was abandoned because the retry budget is exhausted.";
    WorkerSeen = 510, Information, "A worker was discovered and receives requests.";
    WorkerDraining = 511, Information, "A worker reported that it is draining and receives no new requests.";
    WorkerGone = 512, Information, "A worker's record was removed; it receives no new requests.";
    WorkerMissing = 513, Warning, "A worker's record is missing and may have expired while the metadata store was unreachable; the worker remains in use for a grace period in which the record may reappear.";
    WorkerCrashed = 514, Warning, "A worker was unreachable right after a request on it failed or was moved away; the request may have crashed it.";
    RequestQuarantined = 515, Warning, "Several workers crashed in a row while running a request; it is quarantined for a limited time.";
    ZoneEvacuated = 516, Information, "The operator is evacuating a zone; its workers receive no new requests.";
    ZoneReturned = 517, Information, "The operator ended the evacuation of a zone; its workers receive requests again and are initially treated as newly started.";
    CrashesCleared = 518, Information, "A request ran to completion; the worker crashes previously attributed to it were cleared.";
    WorkerSuspected = 519, Warning, "A worker fails more requests than its routes explain; it receives only trial requests.";
    AttemptEnded = 520, Warning, "An attempt at a worker ended without a complete response.";
    RequestEnded = 521, Information, "A request that passes through has ended.";
    WorkerTrusted = 522, Information, "A worker is no longer suspected of failing requests and receives requests again.";
    PermitsAnswered = 523, Information, "A request to the job table's leader for permits to use workers in a cold start was answered, or no leader answered it in time.";
    StreamResumed = 524, Information, "A caller resumed a stream; the request goes only to workers of the service and software version that began the stream, or is refused if they are not known.";
    PartQuarantined = 525, Warning, "Several workers crashed while they ran different requests with one part in their prompts, and none survived such a request; requests with this part are refused for a limited time.";
    PartCleared = 526, Information, "A worker went on with a request after its first event; the worker crashes attributed to the parts of its prompt were cleared.";
    QuarantineTrial = 527, Information, "A batch item that is quarantined runs as a trial.";
    AnswerTooLarge = 528, Warning, "An answer exceeded a limit on its size; its connection was closed.";
    StreamBegan = 529, Information, "A worker sent the first event of a stream that its caller may resume; only workers of its service and software version may go on with it.";
    StorageNodeSeen = 530, Information, "The record of a storage node was read.";
    UnreadAnswerEnded = 531, Warning, "A caller did not read its complete answer, which was ended because other answers needed the memory.";
    StreamContinued = 535, Information, "A stream of which the caller has received events is sent on to another worker; `record` tells what shows that the process there has the version of its record.";
    ItemRunEnded = 540, Information, "A run of a batch item ended.";
    ItemListed = 541, Information, "The result of a batch item was committed.";
    ItemRunStarted = 542, Information, "A run of a batch item started.";
    ItemRestarted = 543, Warning, "No worker can continue the output of a batch item, because its software version has left or is not known; the item runs again from the start.";
    ItemWaits = 544, Information, "A batch item waits for its next trial, because several workers crashed while running it or requests that share a part of its prompt.";
    ItemsBlocked = 545, Warning, "Batch items are ready, and none of those with the same needs has started for some time.";
    ItemsUnblocked = 546, Information, "Batch items that E545 reported start again, or none of them is ready any more.";
    ItemsStalled = 547, Warning, "Accepted batch items make no progress, as far as this node knows.";
    ItemsGoOn = 548, Information, "Accepted batch items that E547 reported make progress again, or none of them is left.";
    EmptyingReported = 550, Information, "The drain state of a machine was reported.";
    JobAccepted = 600, Information, "A batch job was accepted.";
    JobCompleted = 601, Information, "All items of a batch job have results.";
    JobCancelled = 602, Information, "A batch job was cancelled.";
    BatchYielded = 610, Information, "Batch work was preempted by online requests.";
    ResultDropped = 611, Information, "A duplicate result of a batch item was dropped.";
}
