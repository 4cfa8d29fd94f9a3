//! The events that the service handles, one at a time.

use std::net::SocketAddr;
use std::time::Duration;

use stallmoor_core::replication::{GroupMembership, Snapshot};
use stallmoor_core::serving::jobs::pair::StoredPair;
use stallmoor_core::serving::jobs::request::JobsRequest;
use stallmoor_core::serving::workers::LoadReport;
use stallmoor_core::serving::workers::outcome_report::OutcomeReport;
use tokio::time::{Interval, MissedTickBehavior, interval};

use super::item_runner::RunReport;
use super::startup::{StorageInputs, TaskResults};
use super::step_times::Step;
use crate::adapter::metadata::FleetUpdate;
use crate::storage::disk_writer::WriteResult;
use crate::storage::peer_listener::PeerEvent;

/// Interval of the periodic work; bounds how late a timeout is noticed.
const TICK_INTERVAL: Duration = Duration::from_millis(40);

/// Interval of the replica's ticks, shorter than [`TICK_INTERVAL`] so that heartbeats and elections are on time.
const REPLICA_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// An event for the service.
pub(super) enum ServiceEvent {
    Peer(PeerEvent),
    Written(WriteResult),
    RunEnded(RunReport),
    Update(FleetUpdate),
    InitialMembership(GroupMembership),
    PairRead(Option<StoredPair>),
    /// The leader's answer to this zone's load report.
    LeaderLoads(Option<LoadReport>),
    /// The leader's answer to this zone's report on outcomes.
    LeaderOutcomes(Option<OutcomeReport>),
    /// No process listens at this address of a storage node any more.
    PeerEnded(SocketAddr),
    SnapshotEncoded(Snapshot),
    Tick,
    ReplicaTick,
    /// A graceful shutdown was requested.
    Stop,
}

impl ServiceEvent {
    /// Returns the kind under which the time of the event's step is measured.
    pub(super) fn step(&self) -> Step {
        match self {
            Self::Peer(PeerEvent::Replication(_)) => Step::Replication,
            Self::Peer(PeerEvent::Request { request, .. }) => match request {
                JobsRequest::ReportLoad(_) | JobsRequest::AggregateLoad(_) => Step::Loads,
                JobsRequest::ReportOutcomes(_) => Step::Outcomes,
                JobsRequest::ReportQuota(_) => Step::Quota,
                _ => Step::Requests,
            },
            Self::Written(_) => Step::Written,
            Self::RunEnded(_) => Step::RunEnded,
            Self::LeaderLoads(_) => Step::Loads,
            Self::LeaderOutcomes(_) => Step::Outcomes,
            Self::Update(_)
            | Self::InitialMembership(_)
            | Self::PairRead(_)
            | Self::PeerEnded(_)
            | Self::SnapshotEncoded(_)
            | Self::Stop => Step::Updates,
            Self::Tick => Step::Tick,
            Self::ReplicaTick => Step::ReplicaTick,
        }
    }
}

/// The sources of the service's events.
pub(super) struct EventSources {
    inputs: StorageInputs,
    results: TaskResults,
    ticks: Interval,
    replica_ticks: Interval,
}

impl EventSources {
    pub(super) fn new(inputs: StorageInputs, results: TaskResults) -> Self {
        Self { inputs, results, ticks: ticks(TICK_INTERVAL), replica_ticks: ticks(REPLICA_TICK_INTERVAL) }
    }

    /// Returns whether a graceful shutdown was requested.
    pub(super) fn is_stopping(&self) -> bool {
        *self.inputs.stop.borrow()
    }

    /// Waits for the next event.
    pub(super) async fn next(&mut self) -> ServiceEvent {
        let Self { inputs, results, ticks, replica_ticks } = self;
        tokio::select! {
            Some(event) = inputs.peers.recv() => ServiceEvent::Peer(event),
            Some(result) = inputs.writes.recv() => ServiceEvent::Written(result),
            Some(report) = results.runs.recv() => ServiceEvent::RunEnded(report),
            Some(update) = inputs.updates.recv() => ServiceEvent::Update(update),
            Some(membership) = inputs.initial_membership.recv() => ServiceEvent::InitialMembership(membership),
            Some(read) = results.pairs.recv() => ServiceEvent::PairRead(read),
            Some(loads) = results.loads.recv() => ServiceEvent::LeaderLoads(loads),
            Some(answer) = results.outcomes.recv() => ServiceEvent::LeaderOutcomes(answer),
            Some(address) = results.ended_peers.recv() => ServiceEvent::PeerEnded(address),
            Some(snapshot) = results.snapshots.recv() => ServiceEvent::SnapshotEncoded(snapshot),
            _ = ticks.tick() => ServiceEvent::Tick,
            _ = replica_ticks.tick() => ServiceEvent::ReplicaTick,
            Ok(()) = inputs.stop.changed() => ServiceEvent::Stop,
        }
    }
}

fn ticks(period: Duration) -> Interval {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
