//! Whether an item whose turn it is runs, waits or is given up.

use std::sync::Arc;

use crate::serving::configuration::tenant::CallerIdentity;
use crate::serving::configuration::{GatewayConfiguration, Route};
use crate::serving::jobs::command::{JobItem, Submission};
use crate::serving::jobs::table::Job;
use crate::serving::regions::AllowedRegions;
use crate::time::{Millis, UnixMillis};

/// An item is given up this long after its route allows it, in milliseconds: its age goes by the clocks of two nodes.
const GIVE_UP_MARGIN: Millis = Millis(10_000);
/// Most failed runs of an item whose route is gone: the route's own limit isn't known any more.
const DEFAULT_ATTEMPTS: u32 = 3;

/// An item that is to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemStart {
    /// The item.
    pub item: JobItem,
    /// The host that its job came to.
    pub host: Arc<str>,
    /// On whose behalf it runs.
    pub identity: CallerIdentity,
    /// Its route.
    pub route: Arc<Route>,
    /// Where it may run.
    pub regions: AllowedRegions,
}

/// What becomes of an item whose turn it is.
#[derive(Clone, Debug, PartialEq)]
pub enum StartDecision {
    /// It runs if a worker has room.
    Start(ItemStart),
    /// Its route is gone, or its time is up.
    GiveUp,
    /// This node's configuration is older than the one that the job was taken under: its route may be yet to come.
    AwaitConfiguration,
    /// The table has no such item, and it is to be dropped. No order of events is known to lead here: what takes an item
    /// from the table takes it from the dispatcher too, and a table is replaced by a snapshot before its replica leads.
    /// An item that was kept would count as running until leadership changes.
    Unknown,
}

/// Decides on the item at a place of a job. `civil` is the time of day, which submissions are stamped with.
pub fn decide_start(
    job: Option<&Job>,
    place: u32,
    configuration: &GatewayConfiguration,
    civil: UnixMillis,
) -> StartDecision {
    let Some(submission) = job.map(|job| &job.submission) else { return StartDecision::Unknown };
    let Some(item) = submission.items.get(place as usize) else { return StartDecision::Unknown };
    let Some(route) = configuration.route_for(&submission.host, &item.path) else {
        let is_known_gone = configuration.version >= submission.configuration_version;
        return if is_known_gone { StartDecision::GiveUp } else { StartDecision::AwaitConfiguration };
    };
    let age = Millis(civil.0.saturating_sub(submission.received_at.0));
    if route.give_up_after.is_some_and(|limit| age > limit + GIVE_UP_MARGIN) {
        return StartDecision::GiveUp;
    }
    StartDecision::Start(ItemStart {
        item: item.clone(),
        host: submission.host.clone(),
        identity: identity_of(submission, configuration),
        route: route.clone(),
        regions: configuration.regions_for(route, submission.tenant.as_ref()),
    })
}

/// How many runs of a job's items may fail before an item is given up.
pub fn max_attempts(job: Option<&Job>, configuration: Option<&GatewayConfiguration>) -> u32 {
    let route = job.and_then(|job| configuration?.route_named(&job.submission.route));
    route.map_or(DEFAULT_ATTEMPTS, |route| route.max_attempts.max(1))
}

/// On whose behalf the items of a job run. That outlives the tenant's keys, and the tenant itself.
fn identity_of(submission: &Submission, configuration: &GatewayConfiguration) -> CallerIdentity {
    match &submission.tenant {
        Some(tenant) => CallerIdentity::Tenant(tenant.clone()),
        None if configuration.tenants.is_some() => CallerIdentity::Public,
        None => CallerIdentity::Unchecked,
    }
}
