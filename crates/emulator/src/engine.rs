//! The emulated engine: iterations over the running sequences.
//!
//! Each iteration admits queued requests while slots are free, prefills tokens up to a budget, and decodes
//! one token of each running sequence. Its duration grows with both, so that batch work increases the tail
//! latency of online requests. Running sequences are not preempted; priorities order the queue and the
//! prefills.

use std::collections::{BTreeMap, BTreeSet};

use crate::answer::{answer_length, answer_token};
use crate::cache::{PrefixCache, prompt_blocks};

const BYTES_PER_TOKEN: u32 = 4;
const TOKENS_PER_BLOCK: u32 = 16;

/// Capacity and timing of an emulated engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSettings {
    /// Maximum number of running sequences.
    pub slots: usize,
    /// Maximum number of queued sequences.
    pub queue: usize,
    /// Base duration of an iteration.
    pub iteration_us: u64,
    /// Time that each decoding sequence adds to an iteration.
    pub sequence_us: u64,
    /// Time that each prefilled token adds to an iteration.
    pub prefill_token_us: u64,
    /// Maximum number of tokens prefilled in one iteration.
    pub prefill_budget: u32,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            queue: 64,
            iteration_us: 8_000,
            sequence_us: 150,
            prefill_token_us: 20,
            prefill_budget: 512,
            cache_blocks: 4_096,
        }
    }
}

/// Class of a request, reported separately in the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceClass {
    /// An interactive request.
    Online,
    /// An item of a batch job.
    Batch,
}

/// A request to generate tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SequenceRequest {
    /// ID of the attempt, assigned by the caller.
    pub attempt: u128,
    /// Class of the request.
    pub class: SequenceClass,
    /// Lower values run first.
    pub priority: u32,
    /// Name of the model.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum length of the complete answer, in tokens.
    pub max_tokens: u32,
    /// Index of the first token to generate.
    pub from_token: u32,
}

/// Reason why a request was refused without running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRefusal {
    /// The engine accepts no new requests.
    Leaving,
    /// All slots are used and the queue is full.
    Full,
}

/// Output of an iteration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOutput {
    /// A generated token.
    Token {
        /// ID of the attempt.
        attempt: u128,
        /// Index of the token in the answer.
        place: u32,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete.
    End {
        /// ID of the attempt.
        attempt: u128,
        /// Number of tokens in the complete answer.
        length: u32,
    },
}

/// Current load of the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Number of running online sequences.
    pub running_online: usize,
    /// Number of running batch sequences.
    pub running_batch: usize,
    /// Number of queued online sequences.
    pub queued_online: usize,
    /// Number of queued batch sequences.
    pub queued_batch: usize,
}

#[derive(Clone, Debug)]
struct Sequence {
    request: SequenceRequest,
    prefill_remaining: u32,
    next_token: u32,
    length: u32,
    blocks: Vec<u64>,
}

/// A state machine that emulates an engine; the caller supplies the time.
#[derive(Clone, Debug)]
pub struct EngineEmulator {
    settings: EngineSettings,
    queue: BTreeMap<(u32, u64), SequenceRequest>,
    arrivals: u64,
    running: Vec<Sequence>,
    iteration_ends_us: Option<u64>,
    leaving: bool,
    /// Prefix cache of the engine.
    pub cache: PrefixCache,
    /// Number of online sequences that were still queued after admission while a batch sequence used a slot.
    pub online_behind_batch: u64,
    /// Attempts counted in `online_behind_batch` that are still queued.
    waiting_behind_batch: BTreeSet<u128>,
}

impl EngineEmulator {
    /// Creates an idle engine.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            queue: BTreeMap::new(),
            arrivals: 0,
            running: Vec::new(),
            iteration_ends_us: None,
            leaving: false,
            cache: PrefixCache::new(settings.cache_blocks),
            online_behind_batch: 0,
            waiting_behind_batch: BTreeSet::new(),
        }
    }

    /// Sets whether the engine refuses new requests.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Returns whether the engine refuses new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request was refused.
    pub fn submit(&mut self, request: SequenceRequest, now_us: u64) -> Result<(), EngineRefusal> {
        if self.leaving {
            return Err(EngineRefusal::Leaving);
        }
        if self.queue.len() >= self.settings.queue && self.running.len() >= self.settings.slots {
            return Err(EngineRefusal::Full);
        }
        self.arrivals += 1;
        self.queue.insert((request.priority, self.arrivals), request);
        if self.iteration_ends_us.is_none() {
            self.begin_iteration(now_us);
        }
        Ok(())
    }

    /// Counts each online sequence that is queued while a batch sequence uses a slot, once per sequence.
    fn count_behind_batch(&mut self) {
        let is_batch = |sequence: &Sequence| sequence.request.class == SequenceClass::Batch;
        if !self.running.iter().any(is_batch) {
            return;
        }
        for request in self.queue.values().filter(|request| request.class == SequenceClass::Online) {
            if self.waiting_behind_batch.insert(request.attempt) {
                self.online_behind_batch += 1;
            }
        }
    }

    /// Cancels a queued or running request. Its slot is reused from the next iteration. Returns whether it was found.
    pub fn cancel(&mut self, attempt: u128) -> bool {
        let before = self.queue.len() + self.running.len();
        self.queue.retain(|_, request| request.attempt != attempt);
        self.running.retain(|sequence| sequence.request.attempt != attempt);
        before != self.queue.len() + self.running.len()
    }

    /// Returns the end of the current iteration, or `None` if the engine is idle.
    pub fn next_event_us(&self) -> Option<u64> {
        self.iteration_ends_us
    }

    /// Completes the iterations that end by `now_us` and starts the next one.
    pub fn advance(&mut self, now_us: u64) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        while let Some(ends) = self.iteration_ends_us.filter(|ends| *ends <= now_us) {
            self.end_iteration(&mut outputs);
            self.iteration_ends_us = None;
            if !self.running.is_empty() || !self.queue.is_empty() {
                self.begin_iteration(ends);
            }
        }
        outputs
    }

    /// Current load of the engine.
    pub fn load(&self) -> EngineLoad {
        let is_online = |class: SequenceClass| class == SequenceClass::Online;
        let running_online = self.running.iter().filter(|sequence| is_online(sequence.request.class)).count();
        let queued_online = self.queue.values().filter(|request| is_online(request.class)).count();
        EngineLoad {
            running_online,
            running_batch: self.running.len() - running_online,
            queued_online,
            queued_batch: self.queue.len() - queued_online,
        }
    }

    fn begin_iteration(&mut self, now_us: u64) {
        while self.running.len() < self.settings.slots {
            let Some((_, request)) = self.queue.pop_first() else { break };
            self.waiting_behind_batch.remove(&request.attempt);
            let sequence = self.admit(request);
            self.running.push(sequence);
        }
        self.count_behind_batch();
        let mut budget = self.settings.prefill_budget;
        let mut prefilled = 0;
        // Prefill in order of priority, online requests first.
        self.running.sort_by_key(|sequence| sequence.request.priority);
        for sequence in &mut self.running {
            let part = sequence.prefill_remaining.min(budget);
            sequence.prefill_remaining -= part;
            budget -= part;
            prefilled += part;
        }
        let decoding = self.running.iter().filter(|sequence| sequence.prefill_remaining == 0).count() as u64;
        let length = self.settings.iteration_us
            + decoding * self.settings.sequence_us
            + u64::from(prefilled) * self.settings.prefill_token_us;
        self.iteration_ends_us = Some(now_us + length);
    }

    fn admit(&mut self, request: SequenceRequest) -> Sequence {
        let blocks = prompt_blocks(&request.model, &request.prompt);
        let cached = self.cache.overlap(&blocks) as u32 * TOKENS_PER_BLOCK;
        // Tokens generated by an earlier attempt are prefilled like the prompt.
        let tokens = request.prompt.len() as u32 / BYTES_PER_TOKEN + 1 + request.from_token;
        let length = answer_length(&request.model, &request.prompt, request.max_tokens);
        Sequence {
            prefill_remaining: tokens.saturating_sub(cached).max(1),
            next_token: request.from_token,
            length,
            blocks,
            request,
        }
    }

    fn end_iteration(&mut self, outputs: &mut Vec<EngineOutput>) {
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|sequence| {
            if sequence.prefill_remaining > 0 {
                return true;
            }
            self.cache.store(&sequence.blocks);
            self.emit(sequence, outputs)
        });
        self.running = running;
    }

    /// Emits the next token of a sequence. Returns false if the sequence is complete.
    fn emit(&mut self, sequence: &mut Sequence, outputs: &mut Vec<EngineOutput>) -> bool {
        let attempt = sequence.request.attempt;
        if sequence.next_token < sequence.length {
            let place = sequence.next_token;
            let text = answer_token(&sequence.request.model, &sequence.request.prompt, place);
            outputs.push(EngineOutput::Token { attempt, place, text });
            sequence.next_token += 1;
        }
        if sequence.next_token >= sequence.length {
            outputs.push(EngineOutput::End { attempt, length: sequence.length });
            return false;
        }
        true
    }
}
