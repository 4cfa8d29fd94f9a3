//! The shared-fleet experiment: batch throughput against harm to the online tail.
//!
//! The nodes' real decision code runs against the engine emulator on a virtual clock. Each policy sees
//! the same online arrivals and the same jobs. Online requests take the same way under every policy;
//! only what happens to batch differs.
//!
//! | module | owns |
//! |---|---|
//! | `profile` | the two adopters' fleets and loads |
//! | `workload` | arrivals, drawn once and used by every policy |
//! | `policy` | the policies, and the feeder of those that don't use stallmoor's batch |
//! | `world` | the virtual clock, nodes, engines and the network between them |
//! | `measure` | what is counted, and the report |
//! | `plot` | the report as a picture |

mod measure;
mod plot;
mod policy;
mod profile;
mod workload;
mod world;

pub use measure::{ExperimentReport, Percentiles, PolicyReport, new_histogram};
pub use plot::{PlotError, plot_report};
pub use policy::Policy;
pub use profile::Profile;

use std::collections::BTreeMap;

/// What to run.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// Whose fleet.
    pub profile: Profile,
    /// Decides the arrivals.
    pub seed: u64,
    /// Seconds of load.
    pub seconds: u64,
    /// The policies to compare. `online-only` always runs, as the floor.
    pub policies: Vec<Policy>,
    /// The share of slots that batch leaves free, where not the profile's.
    pub headroom: Option<f64>,
}

/// Runs every policy on the same arrivals, each on a thread of its own.
pub fn run(options: &ExperimentOptions) -> ExperimentReport {
    let workload = workload::Workload::draw(options.profile, options.seed, options.seconds);
    let mut wanted = options.policies.clone();
    if !wanted.contains(&Policy::OnlineOnly) {
        wanted.push(Policy::OnlineOnly);
    }
    let measured: Vec<(Policy, measure::Measured)> = std::thread::scope(|scope| {
        let runs: Vec<_> = wanted
            .iter()
            .map(|policy| {
                let workload = &workload;
                (*policy, scope.spawn(move || world::World::new(options, *policy, workload).run()))
            })
            .collect();
        runs.into_iter().filter_map(|(policy, run)| Some((policy, run.join().ok()?))).collect()
    });
    let floor = measured.iter().find(|(policy, _)| *policy == Policy::OnlineOnly).map(|(_, measured)| measured.clone());
    let floor = floor.unwrap_or_default();
    let policies: BTreeMap<String, PolicyReport> =
        measured.iter().map(|(policy, measured)| (policy.name().to_owned(), measured.report(&floor))).collect();
    ExperimentReport { profile: options.profile.name().to_owned(), seed: options.seed, policies }
}
