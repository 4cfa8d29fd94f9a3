//! Plays items whose leaders change at any time, while versions of their workers come and go. A leader that is deposed, or
//! stood still, goes on for a while; of what it proposes, a prefix is committed. Guards against results that join events of
//! two versions, lack events or hold them twice, and against positions whose result changes.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::serving::jobs::command::{ItemKey, JobCommand, JobItem, JobKey, PartialOutput, Submission};
use stallmoor_core::serving::jobs::dispatch::{Dispatcher, ItemResumption, RunEnd, item_resumption};
use stallmoor_core::serving::jobs::table::{CommittedResult, JobTable};
use stallmoor_core::serving::stream_origins::StreamOrigin;
use stallmoor_core::serving::workers::versions::KnownVersions;
use stallmoor_core::serving::workers::{SoftwareVersion, WorkerId};
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

const ITEMS: u32 = 6;
/// Number of events of a complete output; several times the least progress that is logged.
const EVENTS: u64 = 90;
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
const MAX_ATTEMPTS: u32 = 3;
const MAX_STEPS: usize = 20_000;

fn job() -> JobKey {
    JobKey(Arc::from("job"))
}

fn submission() -> Submission {
    let item = |index: u32| JobItem {
        id: Arc::from(format!("item-{index}")),
        path: Arc::from("/r/1"),
        headers: Vec::new(),
        body: Arc::from([1, 2]),
        token_count: 5,
    };
    Submission {
        key: job(),
        route: Arc::from("r"),
        host: Arc::from("h"),
        tenant: None,
        items: (0..ITEMS).map(item).collect(),
        configuration_version: 1,
        received_at: UnixMillis(1_000),
        due: Millis(10_000),
        queued_token_limit: None,
    }
}

fn push_events(output: &mut PartialOutput, version: &str, count: u64) {
    let done = output.last_event.unwrap_or(0);
    (done + 1..=(done + count).min(EVENTS)).for_each(|event| output.push(&format!("{version}:{event}"), Some(event)));
}

/// A run of an item at a worker of a version.
struct Run {
    version: &'static str,
    output: PartialOutput,
}

struct World {
    random: Xoshiro256PlusPlus,
    now: u64,
    table: JobTable,
    /// The versions that serve.
    versions: Vec<&'static str>,
    leader: Dispatcher,
    runs: BTreeMap<ItemKey, Run>,
    /// Commands of the leader that are not committed.
    proposed: Vec<JobCommand>,
    results: Vec<CommittedResult>,
    changes_of_leader: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut table = JobTable::default();
        table.apply(JobCommand::Accept(submission()));
        let mut leader = Dispatcher::default();
        leader.restart(&table);
        Self {
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: 0,
            table,
            versions: vec![VERSIONS[0]],
            leader,
            runs: BTreeMap::new(),
            proposed: Vec::new(),
            results: Vec::new(),
            changes_of_leader: 0,
        }
    }

    fn at(&self) -> Timestamp {
        Timestamp::from_millis(1_000_000 + self.now)
    }

    fn is_done(&self) -> bool {
        self.results.len() == ITEMS as usize
    }

    fn step(&mut self) {
        self.now += 20;
        match self.random.random_range(0..40) {
            0 => self.change_leader(),
            1 => self.versions = (0..2).filter_map(|_| VERSIONS.choose(&mut self.random).copied()).collect(),
            2..12 => self.start(),
            12..22 => self.advance(),
            22..26 => self.end_run(),
            26..32 => self.propose(),
            _ => {
                let count = self.random.random_range(0..=self.proposed.len());
                self.commit(count);
            }
        }
    }

    /// Commits a part of what the leader proposed, and lets another one, or the same one again, take over.
    fn change_leader(&mut self) {
        let count = self.random.random_range(0..=self.proposed.len());
        self.commit(count);
        self.proposed.clear();
        self.runs.clear();
        if self.random.random_bool(0.5) {
            self.leader = Dispatcher::default();
        }
        self.leader.restart(&self.table);
        self.changes_of_leader += 1;
    }

    fn start(&mut self) {
        let Some((key, mut output)) = self.leader.take_next(self.at(), UnixMillis(2_000 + self.now)) else { return };
        let service: Arc<str> = Arc::from("lm");
        let versions = KnownVersions::Several;
        let resumption = item_resumption(&output, self.leader.origin(&key), &service, &versions, Millis(self.now));
        let required = match resumption {
            ItemResumption::At(origin) => {
                VERSIONS.iter().find(|version| origin.version == SoftwareVersion::new(version))
            }
            ItemResumption::Start | ItemResumption::Restart => None,
        };
        let serving = required.filter(|version| self.versions.contains(version)).copied();
        if serving.is_none() && output.last_event.is_some() {
            self.leader.restart_item(&key);
            output = PartialOutput::default();
        }
        let version = serving.unwrap_or_else(|| self.versions.choose(&mut self.random).expect("a version serves"));
        let origin = StreamOrigin { service, version: SoftwareVersion::new(version) };
        self.leader.record_run(&key, WorkerId(Arc::from(version)), origin, self.at());
        self.runs.insert(key, Run { version, output });
    }

    fn advance(&mut self) {
        for run in self.runs.values_mut() {
            push_events(&mut run.output, run.version, self.random.random_range(0..=40));
        }
    }

    fn end_run(&mut self) {
        let keys: Vec<ItemKey> = self.runs.keys().cloned().collect();
        let Some(key) = keys.choose(&mut self.random) else { return };
        let Some(Run { output, .. }) = self.runs.remove(key) else { return };
        let end = match output.last_event {
            Some(EVENTS) => RunEnd::Completed,
            _ => [RunEnd::Paused, RunEnd::BrokenOff, RunEnd::NotRun][self.random.random_range(0..3)].clone(),
        };
        self.leader.finish_run(key, &end, output, MAX_ATTEMPTS, self.at());
    }

    /// Proposes what is due, in the order in which the storage service does.
    fn propose(&mut self) {
        self.propose_results();
        if let Some(restarts) = self.leader.restarts_due() {
            self.leader.record_proposed_restarts();
            self.proposed.push(restarts);
        }
        let progress: Vec<_> =
            self.runs.iter().filter_map(|(key, run)| self.leader.progress_of(key, &run.output)).collect();
        if let Some(origins) = self.leader.origins_of(&progress) {
            self.leader.record_proposed_origins(&origins);
            self.proposed.push(origins);
        }
        progress.iter().for_each(|item| self.leader.record_proposed_progress(item));
        self.proposed.push(JobCommand::Progress(progress));
        self.propose_results();
    }

    fn propose_results(&mut self) {
        for result in self.leader.unproposed_results() {
            self.leader.record_proposed_result(&result);
            self.proposed.push(result);
        }
    }

    fn commit(&mut self, count: usize) {
        for command in self.proposed.drain(..count) {
            let finished = if let JobCommand::Finish { key, .. } = &command { Some(key.clone()) } else { None };
            self.table.apply(command);
            let Some(key) = finished else { continue };
            let job = self.table.job(&job()).expect("the job exists");
            if job.has_result(key.item) {
                self.leader.remove(&key);
                self.runs.remove(&key);
            } else {
                self.leader.withdraw(&key);
                self.leader.add_job(job);
            }
        }
        self.check_results();
    }

    fn check_results(&mut self) {
        let results = &self.table.job(&job()).expect("the job exists").results;
        assert!(results.starts_with(&self.results), "a position holds another result than before");
        for result in &results[self.results.len()..] {
            let is_whole = |version: &&str| {
                let mut output = PartialOutput::default();
                push_events(&mut output, version, EVENTS);
                *result.text == *output.text
            };
            assert!(VERSIONS.iter().any(is_whole), "{}", result.text);
        }
        self.results = results.clone();
    }
}

#[test]
fn results_hold_the_whole_output_of_one_version_whoever_leads() {
    let mut changes_of_leader = 0;
    for seed in 0..400 {
        let mut world = World::new(seed);
        let steps = (0..MAX_STEPS).take_while(|_| {
            world.step();
            !world.is_done()
        });
        assert!(steps.count() < MAX_STEPS, "seed {seed}: {} results", world.results.len());
        changes_of_leader += world.changes_of_leader;
    }
    assert!(changes_of_leader > 400, "only {changes_of_leader} changes of the leader were played");
}
