//! Online callers and the answers they received.

use std::sync::Arc;

use rand::Rng;
use stallmoor_core::error::{ErrorKind, Ran};
use stallmoor_core::identity::CallerId;
use stallmoor_core::node::online::OnlineCall;
use stallmoor_core::node::{CallerAnswer, CallerCall};
use stallmoor_core::time::Millis;
use stallmoor_emulator::answer_text;

use super::calls::CallPurpose;
use super::events::SimEvent;
use super::oracle;
use super::world::World;

/// Model that all requests name.
pub const MODEL: &str = "model";
/// Tenant of all callers.
pub const TENANT: &str = "tenant";
/// Maximum number of tokens in an answer.
const MAX_TOKENS: u32 = 64;
/// Mean interval between two requests.
const MEAN_INTERVAL_MS: u64 = 450;
/// Number of requests in a storm.
const STORM_REQUESTS: usize = 120;
/// Deadline of a request.
const DEADLINE_MS: u64 = 12_000;
/// Maximum number of times that a caller sends one request.
const MAX_SENDS: u32 = 6;

/// One online request as observed by its caller.
pub struct OnlineProbe {
    prompt: String,
    key: Option<String>,
    session: Option<String>,
    repeatable: bool,
    text: String,
    sends: u32,
    done: bool,
    runs_before: u64,
}

/// State of the online callers.
#[derive(Default)]
pub struct CallerModel {
    probes: Vec<OnlineProbe>,
}

impl World {
    /// Sends a new request and schedules the next one.
    pub fn step_callers(&mut self) {
        let gap = self.random.random_range(1..=2 * MEAN_INTERVAL_MS);
        if self.now_ms + DEADLINE_MS * 2 < self.end_ms() {
            self.new_request();
            self.schedule(gap, SimEvent::CallerStep);
        }
    }

    /// Sends many requests at once; callers retry the ones that are refused.
    pub fn storm(&mut self) {
        for _ in 0..STORM_REQUESTS {
            self.new_request();
        }
    }

    fn new_request(&mut self) {
        let number = self.callers.probes.len();
        let repeatable = self.random.random_bool(0.6);
        let session = self.random.random_bool(0.5).then(|| format!("session-{}", self.random.random_range(0..20)));
        let key = (!repeatable).then(|| format!("key-{number}"));
        self.callers.probes.push(OnlineProbe {
            prompt: format!("question {number} of seed {}", self.options.seed),
            key,
            session,
            repeatable,
            text: String::new(),
            sends: 0,
            done: false,
            runs_before: 0,
        });
        self.send_online(number);
    }

    /// Sends a request, either for the first time or as a retry.
    pub fn send_online(&mut self, request: usize) {
        self.count("online_sent");
        let runs_before = self.runs_of(&self.callers.probes[request].prompt);
        let slot = self.random_node();
        let number = self.sequence_number();
        let probe = &mut self.callers.probes[request];
        probe.sends += 1;
        probe.text.clear();
        probe.runs_before = runs_before;
        let call = OnlineCall {
            id: Arc::from(format!("request-{number}")),
            tenant: Arc::from(TENANT),
            model: Arc::from(MODEL),
            adapter: None,
            session: probe.session.as_deref().map(Arc::from),
            key: probe.key.as_deref().map(Arc::from),
            repeatable: probe.repeatable,
            deadline: Some(Millis(DEADLINE_MS)),
            prompt: Arc::from(probe.prompt.as_str()),
            max_tokens: Some(MAX_TOKENS),
            from_token: 0,
        };
        let caller = self.call(slot, CallPurpose::Online(request), CallerCall::Online(call));
        // Occasionally a caller disconnects early.
        if self.random.random_bool(0.02) {
            self.disconnect_caller(caller);
            self.callers.probes[request].done = true;
        }
    }

    fn sequence_number(&mut self) -> u64 {
        self.random.random()
    }

    /// Handles an answer, or the loss of the connection if there is none.
    pub fn on_online_answer(&mut self, request: usize, _caller: CallerId, answer: Option<CallerAnswer>) {
        match answer {
            Some(CallerAnswer::Chunk { text, .. }) => self.callers.probes[request].text.push_str(&text),
            Some(CallerAnswer::End { .. }) => self.on_complete_answer(request),
            Some(CallerAnswer::Refused(refusal)) => {
                self.check_refusal(request, refusal.kind, refusal.ran);
                let after = refusal.retry_after_ms;
                self.maybe_retry(request, refusal.kind, after);
            }
            Some(_) => {}
            None => {
                self.count("online_cut");
                self.maybe_retry(request, ErrorKind::EngineLost, Some(500));
            }
        }
    }

    fn on_complete_answer(&mut self, request: usize) {
        self.count("online_answered");
        let now_ms = self.now_ms;
        let probe = &mut self.callers.probes[request];
        probe.done = true;
        let expected = answer_text(MODEL, &probe.prompt, MAX_TOKENS);
        let is_complete = probe.text == expected;
        let prompt = probe.prompt.clone();
        self.oracle.check(oracle::COMPLETE_ANSWERS, is_complete, now_ms, || {
            format!("{prompt}: the answer is incomplete or wrong")
        });
    }

    /// Checks a refusal's claim about execution against the engines' execution counts.
    fn check_refusal(&mut self, request: usize, kind: ErrorKind, ran: Ran) {
        self.count("online_refused");
        let now_ms = self.now_ms;
        let probe = &self.callers.probes[request];
        let runs = self.runs_of(&probe.prompt);
        // A repeatable request may have run on an earlier send; the refusal covers only the latest one.
        let counted = if probe.repeatable { runs - probe.runs_before } else { runs };
        let prompt = probe.prompt.clone();
        if ran == Ran::NotRun {
            self.oracle.check(oracle::NOT_RUN_IS_ACCURATE, counted == 0, now_ms, || {
                format!("{prompt}: {} reported not run, but it ran {counted} times", kind.code())
            });
        }
    }

    fn maybe_retry(&mut self, request: usize, kind: ErrorKind, after_ms: Option<u64>) {
        let probe = &self.callers.probes[request];
        let final_kinds = [ErrorKind::AlreadyRan, ErrorKind::OutcomeUnknown, ErrorKind::MalformedRequest];
        let is_final = probe.done || probe.sends >= MAX_SENDS || final_kinds.contains(&kind);
        if is_final || self.now_ms + DEADLINE_MS * 2 > self.end_ms() {
            return;
        }
        let wait = after_ms.unwrap_or(1_000) + self.random.random_range(0..=300);
        self.schedule(wait, SimEvent::CallerRetry { request });
    }

    /// Checks at the end of the run that non-repeatable requests ran at most once.
    pub fn check_callers_at_end(&mut self) {
        let now_ms = self.now_ms;
        let counts: Vec<(String, u64)> = self
            .callers
            .probes
            .iter()
            .filter(|probe| !probe.repeatable)
            .map(|probe| (probe.prompt.clone(), self.runs_of(&probe.prompt)))
            .collect();
        for (prompt, runs) in counts {
            self.oracle.check(oracle::AT_MOST_ONCE, runs <= 1, now_ms, || format!("{prompt} ran {runs} times"));
        }
    }
}
