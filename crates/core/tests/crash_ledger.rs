//! Tests which requests are quarantined because workers crashed while running them, and how nodes share that state.

#[path = "support/crashes.rs"]
mod crashes;

use std::sync::Arc;

use crashes::{at, digest, worker};
use proptest::prelude::*;
use stallmoor_core::serving::configuration::tenant::{CallerIdentity, TenantName};
use stallmoor_core::serving::crashes::report::Crash;
use stallmoor_core::serving::crashes::{
    CRASH_THRESHOLD, CrashLedger, CrashReport, CrashedRun, RequestContent, RequestDigest, RequestKeys,
};
use stallmoor_core::serving::request::{PromptPart, RequestAttributes, hash_prefix};
use stallmoor_core::time::Millis;

const MINUTE: u64 = 60_000;
const HOUR: u64 = 60 * MINUTE;

#[test]
fn third_crash_quarantines_request() {
    let mut ledger = CrashLedger::default();
    let fatal = digest("fatal");
    assert_eq!(ledger.record_local_crash(fatal, worker(1), 0, at(0)), None);
    assert!(!ledger.is_near_quarantine(fatal));
    assert_eq!(ledger.record_local_crash(fatal, worker(2), 0, at(10)), None);
    assert!(ledger.is_near_quarantine(fatal));
    assert_eq!(ledger.quarantined_for(fatal, at(10)), None);
    let quarantine =
        ledger.record_local_crash(fatal, worker(3), 0, at(20)).expect("the third crash quarantines the request");
    assert_eq!((quarantine.crashes, quarantine.until), (3, at(20 + 5 * MINUTE)));
    assert_eq!(ledger.quarantined_for(fatal, at(20)), Some(Millis(5 * MINUTE)));
    assert_eq!(ledger.quarantined_for(fatal, at(20 + 5 * MINUTE)), None, "the quarantine has ended");
    assert_eq!(ledger.quarantined_for(digest("other"), at(20)), None);
}

#[test]
fn each_further_crash_doubles_quarantine_up_to_one_hour() {
    let mut ledger = CrashLedger::default();
    let fatal = digest("fatal");
    let mut now = 0;
    for (crash, span) in [0, 0, 5, 10, 20, 40, 60, 60].into_iter().enumerate() {
        ledger.record_local_crash(fatal, worker(crash as u64), 0, at(now));
        assert_eq!(ledger.quarantined_for(fatal, at(now)).unwrap_or_default(), Millis(span * MINUTE));
        now += span * MINUTE + 1;
    }
    assert_eq!(ledger.quarantined_for(fatal, at(now)), None);
    ledger.record_local_crash(digest("other"), worker(0), 0, at(now + 2 * HOUR));
    assert!(!ledger.is_near_quarantine(fatal), "the history expires after the retention period");
}

#[test]
fn duplicate_observations_count_once_and_restarted_workers_count_again() {
    let mut ledger = CrashLedger::default();
    let fatal = digest("fatal");
    for millis in [0, 250, 999, 3_000, 3_100] {
        ledger.record_local_crash(fatal, worker(1), 0, at(millis));
    }
    assert!(ledger.is_near_quarantine(fatal), "two distinct crashes of one worker");
    assert_eq!(ledger.quarantined_for(fatal, at(3_100)), None);
    ledger.record_local_crash(fatal, worker(1), 0, at(6_000));
    assert!(
        ledger.quarantined_for(fatal, at(6_000)).is_some(),
        "crashes of a single restarting worker lead to a quarantine"
    );
}

#[test]
fn completion_clears_request_on_every_node() {
    let (mut local, mut remote) = (CrashLedger::default(), CrashLedger::default());
    let popular = digest("popular");
    for crash in 0..3 {
        local.record_local_crash(popular, worker(crash), 0, at(crash));
    }
    let quarantines = remote.merge(&local.report(), false, at(10));
    assert_eq!(quarantines.len(), 1, "the quarantine is reported once");
    assert!(remote.merge(&local.report(), false, at(11)).is_empty());
    // An attempt that was still running elsewhere completes.
    remote.record_local_completion(popular, at(500));
    assert_eq!(remote.quarantined_for(popular, at(500)), None);
    local.merge(&remote.report(), false, at(600));
    assert_eq!(local.quarantined_for(popular, at(600)), None);
    assert!(local.report().crashes.is_empty(), "cleared crashes are not reported");
}

#[test]
fn recent_completion_exempts_request() {
    let (mut local, mut remote) = (CrashLedger::default(), CrashLedger::default());
    let (popular, fatal) = (digest("popular"), digest("fatal"));
    remote.record_local_completion(popular, at(0));
    // Both requests run on every worker, and all workers crash at the same time.
    for crash in 0..4 {
        local.record_local_crash(popular, worker(crash), 0, at(9_000 + crash));
        local.record_local_crash(fatal, worker(crash), 0, at(9_000 + crash));
    }
    assert!(local.quarantined_for(popular, at(9_010)).is_some(), "this node cannot distinguish them");
    remote.merge(&local.report(), false, at(9_020));
    assert_eq!(remote.quarantined_for(popular, at(9_020)), None);
    assert!(remote.quarantined_for(fatal, at(9_020)).is_some());
    local.merge(&remote.report(), false, at(9_030));
    assert_eq!(local.quarantined_for(popular, at(9_030)), None, "the completion is reported to the other node");
    // Crashes after the grace period count again.
    for crash in 4..7 {
        remote.record_local_crash(popular, worker(crash), 0, at(20_000));
    }
    assert!(remote.quarantined_for(popular, at(20_000)).is_some());
}

#[test]
fn recent_completions_of_many_requests_are_retained() {
    let mut ledger = CrashLedger::default();
    let popular = digest("popular");
    ledger.record_local_completion(popular, at(0));
    for other in 0..200_u64 {
        ledger.record_local_completion(digest(&other.to_string()), at(other * 49));
    }
    for crash in 0..3 {
        ledger.record_local_crash(popular, worker(crash), 0, at(9_900));
    }
    assert_eq!(ledger.quarantined_for(popular, at(9_900)), None);
}

#[test]
fn completion_without_crashes_is_not_stored() {
    let mut ledger = CrashLedger::default();
    ledger.record_local_completion(digest("sound"), at(0));
    assert!(ledger.is_empty());
    ledger.record_local_crash(digest("victim"), worker(1), 0, at(0));
    ledger.record_local_completion(digest("victim"), at(5));
    assert_eq!(ledger.report(), CrashReport::default(), "a single cleared crash is not reported");
}

#[test]
fn three_crashes_quarantine_only_at_the_same_point() {
    let mut ledger = CrashLedger::default();
    let (long, fatal) = (digest("long"), digest("fatal at its fortieth event"));
    for crash in 0..3 {
        ledger.record_local_crash(long, worker(crash), 20 * crash, at(crash * 2_000));
        assert_eq!(
            ledger.quarantined_for(long, at(crash * 2_000)),
            None,
            "each attempt progressed beyond the previous one"
        );
    }
    for (crash, progress) in [40, 39, 41].into_iter().enumerate() {
        ledger.record_local_crash(fatal, worker(100 + crash as u64), progress, at(20_000));
    }
    assert!(ledger.quarantined_for(fatal, at(20_000)).is_some());
}

/// Guards against ignoring crashes that occur at a different event of the response each time.
#[test]
fn fourth_crash_at_varying_points_quarantines_request() {
    let points: [[u64; 4]; 4] = [[4, 9, 13, 18], [20, 3, 14, 7], [30, 20, 10, 0], [0, 0, 40, 9]];
    for points in points {
        let mut ledger = CrashLedger::default();
        let fatal = digest("fatal");
        for (crash, point) in points.into_iter().enumerate() {
            let now = at(crash as u64 * 300);
            assert_eq!(ledger.quarantined_for(fatal, now), None, "{points:?}: {crash}");
            ledger.record_local_crash(fatal, worker(crash as u64), point, now);
        }
        assert!(ledger.quarantined_for(fatal, at(1_200)).is_some(), "{points:?}");
    }
}

#[test]
fn explained_crashes_count_from_the_sixth() {
    let mut ledger = CrashLedger::default();
    let (fatal, long) = (digest("fatal"), digest("long"));
    for crash in 0..5 {
        ledger.record_local_crash(fatal, worker(crash), 0, at(crash * 2_000));
        ledger.record_local_crash(long, worker(crash), 20 * crash, at(crash * 2_000 + 30));
        assert_eq!(ledger.quarantined_for(long, at(crash * 2_000 + 30)), None, "another request explains the crashes");
    }
    assert!(ledger.quarantined_for(fatal, at(8_000)).is_some());
    ledger.record_local_crash(fatal, worker(5), 0, at(10_000));
    ledger.record_local_crash(long, worker(5), 100, at(10_000));
    assert!(ledger.quarantined_for(long, at(10_000)).is_some(), "the total number of crashes is limited");
}

#[test]
fn long_response_does_not_explain_crashes_at_varying_points() {
    let mut ledger = CrashLedger::default();
    let (fatal, long) = (digest("fatal"), digest("long"));
    for crash in 0..4 {
        let now = at(crash * 2_000);
        ledger.record_local_crash(long, worker(crash), 30 * crash, now);
        ledger.record_local_crash(fatal, worker(crash), [4, 9, 13, 18][crash as usize], now);
        ledger.record_local_crash(fatal, worker(10 + crash), 7 * crash, at(crash * 2_000 + 500));
    }
    assert!(ledger.quarantined_for(fatal, at(8_000)).is_some());
}

#[test]
fn crash_is_attributed_to_request_with_more_crashes() {
    let mut ledger = CrashLedger::default();
    let (fatal, victim) = (digest("fatal"), digest("victim"));
    for crash in 0..3 {
        ledger.record_local_crash(victim, worker(crash), 0, at(crash * 3_000));
    }
    assert!(ledger.quarantined_for(victim, at(6_000)).is_some(), "no other request was affected");
    for crash in 0..3 {
        ledger.record_local_crash(fatal, worker(crash), 0, at(crash * 3_000 + 100));
    }
    assert!(ledger.quarantined_for(victim, at(6_100)).is_some(), "the evidence against both requests is equal");
    // Another worker crashes while it runs only the fatal request.
    ledger.record_local_crash(fatal, worker(3), 0, at(9_000));
    assert_eq!(ledger.quarantined_for(victim, at(9_000)), None);
    assert!(ledger.quarantined_for(fatal, at(9_000)).is_some());
    for crash in 4..7 {
        ledger.record_local_crash(victim, worker(crash), 0, at(10_000));
    }
    assert!(ledger.quarantined_for(victim, at(10_000)).is_some(), "no other request explains these crashes");
}

#[test]
fn restarted_node_keeps_reporting_its_earlier_crashes() {
    let mut before = CrashLedger::default();
    before.record_local_crash(digest("fatal"), worker(1), 0, at(0));
    let mut after = CrashLedger::default();
    after.record_local_crash(digest("fatal"), worker(2), 0, at(5_000));
    after.merge(&before.report(), true, at(5_001));
    assert_eq!(after.report().crashes.len(), 2);
}

#[test]
fn ledger_size_is_bounded() {
    let mut ledger = CrashLedger::default();
    for number in 0..3_000_u64 {
        ledger.record_local_crash(digest(&number.to_string()), worker(number), 0, at(number));
        ledger.record_local_crash(digest("one"), worker(number), 0, at(number * 2_000));
    }
    let report = ledger.report();
    assert!(report.crashes.len() <= 2_048 + 32, "{}", report.crashes.len());
}

#[test]
fn digests_depend_on_body_and_prompt() {
    let attributes = |model: &str, prompt_tokens| {
        let parts = [PromptPart { id: Arc::from("aa"), tokens: 60 }];
        RequestAttributes { prefix: hash_prefix(model, &parts), prompt_tokens, ..RequestAttributes::default() }
    };
    let (prompt, other_model, longer) = (attributes("m", 60), attributes("n", 60), attributes("m", 70));
    let without_prompt = RequestAttributes::default();
    let [a, b] = ["a", "b"].map(|name| CallerIdentity::Tenant(TenantName::new(name)));
    let base = RequestContent { identity: &a, method: "POST", target: "/x", attributes: &prompt, body: b"body" };
    let own = RequestKeys::of(&base);
    let other_requests = [
        RequestContent { identity: &b, ..base },
        RequestContent { method: "PUT", ..base },
        RequestContent { target: "/y", ..base },
    ];
    for other in other_requests.map(|other| RequestKeys::of(&other)) {
        assert_ne!(other.content, own.content);
        assert_ne!(other.prompt, own.prompt);
    }
    for other_prompt in [&other_model, &longer, &without_prompt] {
        let other = RequestKeys::of(&RequestContent { attributes: other_prompt, ..base });
        assert_eq!(other.content, own.content, "the body digest does not depend on the prompt");
        assert_ne!(other.prompt, own.prompt);
    }
    let other_body = RequestKeys::of(&RequestContent { body: b"with another id in it", ..base });
    assert_eq!(other_body.prompt, own.prompt);
    assert_ne!(other_body.content, own.content);
    assert_eq!(own.digests().count(), 2);
    assert_eq!(RequestKeys::of(&RequestContent { attributes: &without_prompt, ..base }).digests().count(), 1);
    assert_eq!(own.content.to_string().parse(), Ok(own.content));
    // Digests must be the same in all versions.
    assert_eq!(own.prompt.expect("the head identifies the prompt").to_string(), "3592a0f1d2936224");
    assert_eq!(RequestDigest::of(&RequestContent { body: b"one", ..base }).to_string(), "d5c15521c0af1df2");
}

/// Guards against a harmless request clearing one that crashes workers because both have the same prompt.
#[test]
fn completion_clears_prompt_digest_but_not_other_body() {
    let parts = [PromptPart { id: Arc::from("aa"), tokens: 60 }];
    let attributes =
        RequestAttributes { prefix: hash_prefix("m", &parts), prompt_tokens: 90, ..RequestAttributes::default() };
    let content = |body| RequestContent {
        identity: &CallerIdentity::Unchecked,
        method: "POST",
        target: "/x",
        attributes: &attributes,
        body,
    };
    let (fatal, harmless) = (RequestKeys::of(&content(b"fatal")), RequestKeys::of(&content(b"sound")));
    let mut ledger = CrashLedger::default();
    for crash in 0..CRASH_THRESHOLD as u64 {
        let now = at(crash * 300);
        for digest in fatal.digests() {
            ledger.record_local_crash(digest, worker(crash), 0, now);
        }
        for digest in harmless.digests() {
            ledger.record_local_completion(digest, at(crash * 300 + 100));
        }
    }
    let is_quarantined = |keys: RequestKeys| keys.digests().any(|key| ledger.quarantined_for(key, at(900)).is_some());
    assert!(is_quarantined(fatal));
    assert!(!is_quarantined(harmless));
}

#[test]
fn report_with_out_of_range_numbers_is_accepted() {
    let crash = |worker, at, progress| {
        format!(r#"{{"digest":"{}","worker":"w-{worker}","at":{at},"progress":{progress}}}"#, digest("fatal"))
    };
    let crashes = [crash(1, 1, u64::MAX), crash(2, u64::MAX, u64::MAX - 1), crash(3, u64::MAX, 0)].join(",");
    let report = serde_json::from_str(&format!(r#"{{"crashes":[{crashes}]}}"#)).expect("the report parses");
    let mut ledger = CrashLedger::default();
    ledger.merge(&report, false, at(0));
    ledger.record_local_crash(digest("fatal"), worker(4), 7, at(0));
    assert!(ledger.quarantined_for(digest("fatal"), at(0)).is_some());
}

#[test]
fn stored_report_format_is_unchanged() {
    let mut ledger = CrashLedger::default();
    ledger.record_local_crash(digest("fatal"), worker(1), 0, at(0));
    let stored = serde_json::to_string(&ledger.report()).expect("the report serializes");
    let text = format!(
        r#"{{"crashes":[{{"digest":"{}","worker":"w-1","at":1700000000000,"progress":0}}],"completions":[]}}"#,
        digest("fatal")
    );
    assert_eq!(stored, text);
    assert_eq!(serde_json::from_str::<CrashReport>("{}").ok(), Some(CrashReport::default()));
    for broken in [r#"{"crashes":3}"#, r#"{"crashes":[{"digest":"zz","worker":"w","at":0}]}"#, ""] {
        assert!(serde_json::from_str::<CrashReport>(broken).is_err(), "{broken}");
    }
}

/// Guards against a change of the stored form of a run, which nodes of other versions read.
#[test]
fn stored_form_of_a_run_is_unchanged() {
    let text = format!(
        r#"{{"digest":"{}","worker":"w-1","at":1700000000000,"progress":7,"run":{{"service":"s","workers":12,"lasted":300,"events":5}}}}"#,
        digest("fatal")
    );
    let run = CrashedRun { service: Arc::from("s"), workers: 12, lasted: Millis(300), events: 5 };
    let crash = Crash { digest: digest("fatal"), worker: worker(1), at: at(0), progress: 7, run: Some(run) };
    assert_eq!(serde_json::to_string(&crash).expect("the crash serializes"), text);
    assert_eq!(serde_json::from_str::<Crash>(&text).ok(), Some(crash));
}

/// An event at one of three nodes.
#[derive(Clone, Debug)]
enum Step {
    Crash { node: usize, request: u8, worker: u64 },
    Completion { node: usize, request: u8 },
    Exchange { from: usize, to: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3_usize, 0..2_u8, 0..6_u64).prop_map(|(node, request, worker)| Step::Crash { node, request, worker }),
        1 => (0..3_usize, 0..2_u8).prop_map(|(node, request)| Step::Completion { node, request }),
        3 => (0..3_usize, 0..3_usize).prop_map(|(from, to)| Step::Exchange { from, to }),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    /// After a full exchange of reports, in any order of events, all nodes make the same decision, and a request with
    /// three crashes since its last completion is quarantined on every node.
    #[test]
    fn nodes_agree_after_full_exchange(steps in steps()) {
        let mut nodes = [CrashLedger::default(), CrashLedger::default(), CrashLedger::default()];
        let requests = [digest("a"), digest("b")];
        // Reference model: the crashes of each request since its last completion.
        let mut crashes_since_completion = [Vec::new(), Vec::new()];
        let mut now = 0;
        for step in steps {
            now += 11_000;
            match step {
                Step::Crash { node, request, worker: number } => {
                    nodes[node].record_local_crash(requests[usize::from(request)], worker(number), 0, at(now));
                    crashes_since_completion[usize::from(request)].push(number);
                }
                Step::Completion { node, request } => {
                    // A node without crashes of the request does not store completions.
                    let report = nodes[node].report();
                    if report.crashes.iter().any(|crash| crash.digest == requests[usize::from(request)]) {
                        nodes[node].record_local_completion(requests[usize::from(request)], at(now));
                        crashes_since_completion[usize::from(request)].clear();
                    }
                }
                Step::Exchange { from, to } => {
                    let report = nodes[from].report();
                    nodes[to].merge(&report, false, at(now));
                }
            }
        }
        for _ in 0..2 {
            for from in 0..3 {
                for to in 0..3 {
                    let report = nodes[from].report();
                    nodes[to].merge(&report, false, at(now));
                }
            }
        }
        for (request, digest) in requests.into_iter().enumerate() {
            let decisions: Vec<bool> =
                nodes.iter().map(|node| node.quarantined_for(digest, at(now)).is_some()).collect();
            prop_assert!(decisions.iter().all(|decision| *decision == decisions[0]), "{:?}", decisions);
            if crashes_since_completion[request].len() >= CRASH_THRESHOLD {
                prop_assert!(decisions[0], "{:?}", crashes_since_completion[request]);
            }
        }
    }
}
