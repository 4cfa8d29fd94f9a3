//! The shared-fleet experiment: batch throughput against online tail latency.
//!
//! The nodes' production decision code runs against the engine emulator on a virtual clock, once with batch
//! jobs and once without. Both runs use the same online arrivals.
//!
//! | module | contents |
//! |---|---|
//! | `profile` | fleet and load parameters of each profile |
//! | `workload` | arrivals, generated once and used by both runs |
//! | `world` | the virtual clock, the event queue, the nodes and the network between them |
//! | `callers` | callers of the nodes and the answers they receive |
//! | `engines` | engines and their streams |
//! | `accounting` | accounting of engine work |
//! | `measure` | metrics and the report |

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

/// Options of an experiment.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// Profile of the fleet and its load.
    pub profile: Profile,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Fraction of slots that batch leaves free, if it differs from the profile's.
    pub headroom: Option<f64>,
}

/// Runs the same online arrivals with and without batch.
pub fn run(options: &ExperimentOptions) -> ExperimentReport {
    let workload = Workload::generate(options.profile, options.seed, options.seconds);
    let baseline = World::new(options, &workload.without_jobs()).run();
    let metrics = World::new(options, &workload).run();
    ExperimentReport {
        profile: options.profile.name().to_owned(),
        seed: options.seed,
        online_only: baseline.report(&baseline),
        with_batch: metrics.report(&baseline),
    }
}
