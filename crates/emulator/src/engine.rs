//! The engine itself: iterations over a running batch.
//!
//! Each iteration admits from the queue while slots are free, prefills up to a budget of tokens, and
//! decodes one token of every running sequence. Its length grows with both, which is how batch work
//! shows in the tail of online requests. A sequence that runs is not preempted; priorities order the
//! queue.

use std::collections::{BTreeMap, BTreeSet};

use crate::answer::{answer_length, answer_token};
use crate::cache::{PrefixCache, prompt_blocks};

/// Bytes of prompt text that make a token.
const BYTES_PER_TOKEN: u32 = 4;
/// Tokens of a cached block.
const TOKENS_PER_BLOCK: u32 = 16;

/// What an engine is like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSettings {
    /// Sequences decoded at once.
    pub slots: usize,
    /// Most sequences that wait.
    pub queue: usize,
    /// The shortest iteration.
    pub iteration_us: u64,
    /// What each decoding sequence adds to an iteration.
    pub sequence_us: u64,
    /// What each prefilled token adds to an iteration.
    pub prefill_token_us: u64,
    /// Most tokens prefilled in one iteration.
    pub prefill_budget: u32,
    /// Blocks that the prefix cache holds.
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

/// Whose work it is, for the counts in the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceClass {
    /// A person waits.
    Online,
    /// An item of a job.
    Batch,
}

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SequenceRequest {
    /// The caller's name for this attempt.
    pub attempt: u128,
    /// Whose work it is.
    pub class: SequenceClass,
    /// Lower runs first.
    pub priority: u32,
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// The token to start from.
    pub from_token: u32,
}

/// Why a request was refused. It did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRefusal {
    /// The engine takes no new work.
    Leaving,
    /// The queue is full.
    Full,
}

/// What comes out of an iteration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOutput {
    /// A token.
    Token {
        /// The attempt.
        attempt: u128,
        /// The token's place.
        place: u32,
        /// Its text.
        text: String,
    },
    /// The answer is complete.
    End {
        /// The attempt.
        attempt: u128,
        /// Tokens in the whole answer.
        length: u32,
    },
}

/// The true load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Online sequences that run.
    pub running_online: usize,
    /// Batch sequences that run.
    pub running_batch: usize,
    /// Online sequences that wait.
    pub queued_online: usize,
    /// Batch sequences that wait.
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

/// An emulated engine.
#[derive(Clone, Debug)]
pub struct EngineEmulator {
    settings: EngineSettings,
    queue: BTreeMap<(u32, u64), SequenceRequest>,
    arrivals: u64,
    running: Vec<Sequence>,
    iteration_ends_us: Option<u64>,
    leaving: bool,
    /// The prefix cache.
    pub cache: PrefixCache,
    /// Online sequences that were left waiting at the start of an iteration while batch held a slot.
    pub online_behind_batch: u64,
    /// Those of them that still wait.
    waiting_behind_batch: BTreeSet<u128>,
}

impl EngineEmulator {
    /// An idle engine.
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

    /// Takes no new work from now on, or does so again.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Whether the engine takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Takes a request.
    ///
    /// # Errors
    ///
    /// The refusal, if it did not run.
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

    /// Counts each online sequence once that waits while batch holds a slot.
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

    /// Drops a request wherever it is. Its slot is free from the next iteration on.
    pub fn cancel(&mut self, attempt: u128) -> bool {
        let before = self.queue.len() + self.running.len();
        self.queue.retain(|_, request| request.attempt != attempt);
        self.running.retain(|sequence| sequence.request.attempt != attempt);
        before != self.queue.len() + self.running.len()
    }

    /// When the iteration under way ends; `None` if the engine is idle.
    pub fn next_event_us(&self) -> Option<u64> {
        self.iteration_ends_us
    }

    /// Ends the iteration under way if its time has come, and begins the next.
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

    /// The true load.
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
        // Online prefills go first, as the priorities say.
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
        // Tokens already generated elsewhere are prefilled like the prompt.
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

    /// Emits the next token of a sequence. Returns whether the sequence goes on.
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
