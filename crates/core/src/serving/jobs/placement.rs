//! Restricts the placement of the job table to the regions that the routes and tenants of its jobs allow.

use std::collections::BTreeSet;

use super::command::QueueKey;
use super::table::JobTable;
use crate::serving::configuration::GatewayConfiguration;
use crate::serving::regions::AllowedRegions;

/// Returns the regions that all jobs in the table allow. A new replica receives every job, so it must be in one of
/// them.
pub fn table_regions(table: &JobTable, configuration: &GatewayConfiguration) -> AllowedRegions {
    let queues: BTreeSet<QueueKey> = table.jobs().map(|(_, job)| job.submission.queue()).collect();
    queues.iter().fold(AllowedRegions::Any, |allowed, queue| {
        let Some(route) = configuration.route_named(&queue.route) else { return allowed };
        allowed.intersection(&configuration.regions_for(route, queue.tenant.as_ref()))
    })
}
