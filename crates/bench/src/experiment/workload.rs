//! Arrivals, generated once and used by both runs.

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::profile::Profile;

/// Mean interval between two bursts of online requests.
const MEAN_BURST_INTERVAL_US: f64 = 4_000_000.0;
/// Range of burst durations.
const BURST_DURATION_US: std::ops::Range<u64> = 500_000..2_500_000;
/// Range of the number of jobs in a burst.
const JOBS_PER_BURST: std::ops::RangeInclusive<usize> = 2..=5;
/// Number of sessions that online requests are spread over.
const SESSION_COUNT: u64 = 400;

/// An online request and its arrival time.
#[derive(Clone, Debug)]
pub struct OnlineArrival {
    /// Arrival time, in microseconds.
    pub at_us: u64,
    /// Session that the request belongs to.
    pub session: u64,
    /// Prompt text.
    pub prompt: String,
}

/// A batch job and its arrival time.
#[derive(Clone, Debug)]
pub struct JobArrival {
    /// Arrival time, in microseconds.
    pub at_us: u64,
    /// Prompts of the job's items.
    pub prompts: Vec<String>,
    /// Time limit for completion, in milliseconds.
    pub time_limit_ms: u64,
}

/// All arrivals of a run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Online requests, ordered by arrival time.
    pub online: Vec<OnlineArrival>,
    /// Batch jobs, ordered by arrival time.
    pub jobs: Vec<JobArrival>,
    /// Time at which arrivals end, in microseconds.
    pub end_us: u64,
}

impl Workload {
    /// Generates the arrivals for a seed.
    pub fn generate(profile: Profile, seed: u64, seconds: u64) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let end_us = seconds * 1_000_000;
        let online = draw_online(profile, end_us, &mut random);
        let jobs = draw_jobs(profile, end_us, &mut random);
        Self { online, jobs, end_us }
    }

    /// Returns a copy with the same online requests and no jobs.
    pub fn without_jobs(&self) -> Self {
        Self { jobs: Vec::new(), ..self.clone() }
    }
}

fn draw_online(profile: Profile, end_us: u64, random: &mut Xoshiro256PlusPlus) -> Vec<OnlineArrival> {
    let mut arrivals = Vec::new();
    let mut now = WARM_UP_US;
    let mut burst_until = 0;
    let mut next_burst = now + exponential(MEAN_BURST_INTERVAL_US, random);
    let mut turns = vec![0_u32; SESSION_COUNT as usize];
    while now < end_us {
        if now >= next_burst {
            burst_until = now + random.random_range(BURST_DURATION_US);
            next_burst = burst_until + exponential(MEAN_BURST_INTERVAL_US, random);
        }
        let rate = if now < burst_until { profile.burst_rate() } else { profile.base_rate() };
        now += exponential(1_000_000.0 / rate, random).max(1);
        let session = random.random_range(0..SESSION_COUNT);
        let turn = turns[session as usize];
        turns[session as usize] += 1;
        arrivals.push(OnlineArrival { at_us: now, session, prompt: session_prompt(session, turn) });
    }
    arrivals
}

/// Time allowed for the fleet to start before the first arrival.
pub const WARM_UP_US: u64 = 6_000_000;
/// Number of turns after which a session starts over.
const MAX_SESSION_TURNS: u32 = 6;

/// Builds a prompt that shares its prefix with the session's earlier turns, as in a chat.
fn session_prompt(session: u64, turn: u32) -> String {
    let first = turn - turn % MAX_SESSION_TURNS;
    let mut prompt = format!("session {session} since {first}: instructions that every turn of this session repeats. ");
    for turn_index in first..=turn {
        prompt.push_str(&format!("turn {turn_index} asks about the latest readings and their cause in some detail. "));
    }
    prompt
}

fn draw_jobs(profile: Profile, end_us: u64, random: &mut Xoshiro256PlusPlus) -> Vec<JobArrival> {
    let mut jobs = Vec::new();
    let mut now = WARM_UP_US;
    while now < end_us {
        for _ in 0..random.random_range(JOBS_PER_BURST) {
            let number = jobs.len();
            let items = random.random_range(100..=60 * profile.workers());
            let prompts = (0..items).map(|item| batch_prompt(number, item)).collect();
            jobs.push(JobArrival { at_us: now, prompts, time_limit_ms: random.random_range(120_000..1_200_000) });
        }
        let gap = profile.job_burst_interval_us();
        now += gap / 2 + random.random_range(0..gap);
    }
    jobs
}

fn batch_prompt(job: usize, item: usize) -> String {
    let filler = "a long record of readings to be summed up. ".repeat(4 + item % 6);
    format!("job {job} item {item}: {filler}")
}

fn exponential(mean_us: f64, random: &mut Xoshiro256PlusPlus) -> u64 {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    (-uniform.ln() * mean_us) as u64
}
