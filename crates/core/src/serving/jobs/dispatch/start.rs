//! Decides whether an item runs, waits or is abandoned.

use std::sync::Arc;

use crate::serving::configuration::tenant::CallerIdentity;
use crate::serving::configuration::{GatewayConfiguration, Route};
use crate::serving::jobs::command::{JobItem, Submission};
use crate::serving::jobs::table::Job;
use crate::serving::regions::AllowedRegions;
use crate::time::{Millis, UnixMillis};

/// The time by which an item must exceed its route's time limit to be abandoned, as a margin for differences between
/// clocks.
const GIVE_UP_MARGIN: Millis = Millis(10_000);
/// The maximum number of failed runs of an item whose route was removed.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// An item to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemStart {
    /// The item as submitted.
    pub item: JobItem,
    /// The host that the job was addressed to.
    pub host: Arc<str>,
    /// The caller on whose behalf the item runs.
    pub identity: CallerIdentity,
    /// The route of the item.
    pub route: Arc<Route>,
    /// The regions in which the item may run.
    pub regions: AllowedRegions,
    /// When the item's job was received.
    pub received_at: UnixMillis,
}

/// The decision on an item that is next in the queue.
#[derive(Clone, Debug, PartialEq)]
pub enum StartDecision {
    /// The item runs if a worker has capacity.
    Start(ItemStart),
    /// The route was removed, or the time limit has passed.
    GiveUp,
    /// The configuration of this node is older than that of the submission, whose version this is, so the route may still
    /// arrive.
    AwaitConfiguration(u64),
    /// The table has no such item. Does not normally occur, because an item is removed from the dispatcher and the
    /// table together, and a snapshot replaces a table before its replica leads. Without this case, the item would count
    /// as running until leadership changes.
    Unknown,
}

/// Decides whether to start the item at `index` of a job. `wall_time` is comparable to the submission times of jobs.
pub fn decide_start(
    job: Option<&Job>,
    index: u32,
    configuration: &GatewayConfiguration,
    wall_time: UnixMillis,
) -> StartDecision {
    let Some(submission) = job.map(|job| &job.submission) else { return StartDecision::Unknown };
    let Some(item) = submission.items.get(index as usize) else { return StartDecision::Unknown };
    let Some(route) = configuration.route_for(&submission.host, &item.path) else {
        let is_removed = configuration.version >= submission.configuration_version;
        let awaited = StartDecision::AwaitConfiguration(submission.configuration_version);
        return if is_removed { StartDecision::GiveUp } else { awaited };
    };
    let age = Millis(wall_time.0.saturating_sub(submission.received_at.0));
    if route.give_up_after.is_some_and(|limit| age > limit + GIVE_UP_MARGIN) {
        return StartDecision::GiveUp;
    }
    StartDecision::Start(ItemStart {
        item: item.clone(),
        host: submission.host.clone(),
        identity: identity_of(submission, configuration),
        route: route.clone(),
        regions: configuration.regions_for(route, submission.tenant.as_ref()),
        received_at: submission.received_at,
    })
}

/// Returns the number of failed runs after which an item of the job is abandoned.
pub fn max_attempts(job: Option<&Job>, configuration: Option<&GatewayConfiguration>) -> u32 {
    let route = job.and_then(|job| configuration?.route_named(&job.submission.route));
    route.map_or(DEFAULT_MAX_ATTEMPTS, |route| route.max_attempts.max(1))
}

/// Returns the caller on whose behalf the items of a job run, even if the tenant or its keys were removed since.
fn identity_of(submission: &Submission, configuration: &GatewayConfiguration) -> CallerIdentity {
    match &submission.tenant {
        Some(tenant) => CallerIdentity::Tenant(tenant.clone()),
        None if configuration.tenants.is_some() => CallerIdentity::Public,
        None => CallerIdentity::Unchecked,
    }
}
