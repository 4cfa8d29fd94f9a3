//! Where the job table may lie, by the regions that the routes and tenants of its jobs allow.

use std::collections::BTreeSet;

use super::command::QueueKey;
use super::table::JobTable;
use crate::serving::configuration::GatewayConfiguration;
use crate::serving::regions::AllowedRegions;

/// The regions that all jobs of the table allow. A new replica gets all of them, so it must lie in one of these.
pub fn table_regions(table: &JobTable, configuration: &GatewayConfiguration) -> AllowedRegions {
    let queues: BTreeSet<QueueKey> = table.jobs().map(|(_, job)| job.submission.queue()).collect();
    queues.iter().fold(AllowedRegions::Any, |allowed, queue| {
        let Some(route) = configuration.route_named(&queue.route) else { return allowed };
        allowed.intersection(&configuration.regions_for(route, queue.tenant.as_ref()))
    })
}
