//! Tests the estimate of the prompts in workers' caches.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::serving::request::PrefixBlock;
use stallmoor_core::serving::workers::{SoftwareVersion, WorkerId, WorkerQuery, WorkerRecord, WorkerTable};
use stallmoor_core::time::{Millis, Timestamp};

const SERVICE: &str = "service";
const MEMORY_TOKENS: u64 = 50_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn record() -> WorkerRecord {
    WorkerRecord {
        id: WorkerId(Arc::from("worker")),
        service: Arc::from(SERVICE),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: Arc::from("a"),
        version: SoftwareVersion::new("v1"),
        slots: 8,
        draining: false,
        started_at: None,
        cold_remaining: Millis(0),
    }
}

fn prompt(chain: u64, tokens: u32) -> [PrefixBlock; 1] {
    [PrefixBlock { chain, tokens }]
}

/// Guards against a prompt part whose stated length changes and after which the cache of its worker counts as empty.
#[test]
fn part_of_changed_length_leaves_cache_estimate_sound() {
    let mut table = WorkerTable::default();
    table.apply_record(record(), at(0));
    for (number, (chain, tokens)) in [(1, 8), (1, 60_000), (3, 50_000)].into_iter().enumerate() {
        table.record_start(&record().incarnation(), &prompt(chain, tokens), MEMORY_TOKENS, at(number as u64));
    }
    let cached = prompt(2, 100);
    table.record_start(&record().incarnation(), &cached, MEMORY_TOKENS, at(10));
    let query = WorkerQuery {
        service: SERVICE,
        zone: "a",
        prefix: &cached,
        prompt_tokens: 100,
        body_bytes: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        may_run_again: true,
        version: None,
    };
    let choice = table.choose(&query, at(11), &mut Xoshiro256PlusPlus::seed_from_u64(7)).expect("a worker");
    assert_eq!(choice.cached_tokens, 100);
}
