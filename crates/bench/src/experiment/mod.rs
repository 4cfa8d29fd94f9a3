//! The shared-fleet experiment: batch throughput against harm to the online tail.
//!
//! The nodes' real decision code runs against the engine emulator on a virtual clock, once with batch
//! jobs and once without. Both runs see the same online arrivals.
//!
//! | module | owns |
//! |---|---|
//! | `profile` | the two adopters' fleets and loads |
//! | `workload` | arrivals, drawn once and used by both runs |
//! | `world` | the virtual clock, the queue of events, the nodes and the network between them |
//! | `callers` | who calls the nodes, and what they see of the answers |
//! | `engines` | engines and the streams at them |
//! | `accounting` | what is counted as engines work |
//! | `measure` | what is counted, and the report |

mod accounting;
mod callers;
mod engines;
mod measure;
mod profile;
mod workload;
mod world;

pub use measure::{ExperimentReport, RunReport};
pub use profile::Profile;

use workload::Workload;
use world::World;

/// What to run.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// Whose fleet.
    pub profile: Profile,
    /// Decides the arrivals.
    pub seed: u64,
    /// Seconds of load.
    pub seconds: u64,
    /// The share of slots that batch leaves free, where not the profile's.
    pub headroom: Option<f64>,
}

/// Runs the same online arrivals with and without batch.
pub fn run(options: &ExperimentOptions) -> ExperimentReport {
    let workload = Workload::draw(options.profile, options.seed, options.seconds);
    let floor = World::new(options, &workload.without_jobs()).run();
    let measured = World::new(options, &workload).run();
    ExperimentReport {
        profile: options.profile.name().to_owned(),
        seed: options.seed,
        online_only: floor.report(&floor),
        with_batch: measured.report(&floor),
    }
}
