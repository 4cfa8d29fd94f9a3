//! Arrivals, drawn once and used by both runs.

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::profile::Profile;

/// Mean time between two bursts of online requests, in microseconds.
const BURST_GAP_US: f64 = 4_000_000.0;
/// Shortest and longest burst, in microseconds.
const BURST_US: std::ops::Range<u64> = 500_000..2_500_000;
/// Jobs in a heap.
const HEAP_JOBS: std::ops::RangeInclusive<usize> = 2..=5;
/// Sessions that online requests belong to.
const SESSIONS: u64 = 400;

/// An online request.
#[derive(Clone, Debug)]
pub struct OnlineArrival {
    /// When the caller sends it, in microseconds.
    pub at_us: u64,
    /// Its session.
    pub session: u64,
    /// Its prompt.
    pub prompt: String,
}

/// A batch job.
#[derive(Clone, Debug)]
pub struct JobArrival {
    /// When it is submitted, in microseconds.
    pub at_us: u64,
    /// Its items' prompts.
    pub prompts: Vec<String>,
    /// How long it may take, in milliseconds.
    pub within_ms: u64,
}

/// All arrivals of a run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Online requests, in order.
    pub online: Vec<OnlineArrival>,
    /// Jobs, in order.
    pub jobs: Vec<JobArrival>,
    /// The end of the arrivals, in microseconds.
    pub end_us: u64,
}

impl Workload {
    /// Draws the arrivals of a seed.
    pub fn draw(profile: Profile, seed: u64, seconds: u64) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let end_us = seconds * 1_000_000;
        let online = draw_online(profile, end_us, &mut random);
        let jobs = draw_jobs(profile, end_us, &mut random);
        Self { online, jobs, end_us }
    }

    /// The same online requests, and no job.
    pub fn without_jobs(&self) -> Self {
        Self { jobs: Vec::new(), ..self.clone() }
    }
}

fn draw_online(profile: Profile, end_us: u64, random: &mut Xoshiro256PlusPlus) -> Vec<OnlineArrival> {
    let mut arrivals = Vec::new();
    let mut now = WARM_UP_US;
    let mut burst_until = 0;
    let mut next_burst = now + exponential(BURST_GAP_US, random);
    let mut turns = vec![0_u32; SESSIONS as usize];
    while now < end_us {
        if now >= next_burst {
            burst_until = now + random.random_range(BURST_US);
            next_burst = burst_until + exponential(BURST_GAP_US, random);
        }
        let rate = if now < burst_until { profile.burst_rate() } else { profile.base_rate() };
        now += exponential(1_000_000.0 / rate, random).max(1);
        let session = random.random_range(0..SESSIONS);
        let turn = turns[session as usize];
        turns[session as usize] += 1;
        arrivals.push(OnlineArrival { at_us: now, session, prompt: session_prompt(session, turn) });
    }
    arrivals
}

/// The fleet starts before this, in microseconds.
pub const WARM_UP_US: u64 = 6_000_000;
/// Turns after which a session starts anew.
const LONGEST_SESSION: u32 = 6;

/// Turns of a session share their prefix, as a chat does.
fn session_prompt(session: u64, turn: u32) -> String {
    let first = turn - turn % LONGEST_SESSION;
    let mut prompt = format!("session {session} since {first}: instructions that every turn of this session repeats. ");
    for place in first..=turn {
        prompt.push_str(&format!("turn {place} asks about the latest readings and their cause in some detail. "));
    }
    prompt
}

fn draw_jobs(profile: Profile, end_us: u64, random: &mut Xoshiro256PlusPlus) -> Vec<JobArrival> {
    let mut jobs = Vec::new();
    let mut now = WARM_UP_US;
    while now < end_us {
        for _ in 0..random.random_range(HEAP_JOBS) {
            let number = jobs.len();
            let items = random.random_range(100..=60 * profile.workers());
            let prompts = (0..items).map(|item| batch_prompt(number, item)).collect();
            jobs.push(JobArrival { at_us: now, prompts, within_ms: random.random_range(120_000..1_200_000) });
        }
        let gap = profile.heap_gap_us();
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
