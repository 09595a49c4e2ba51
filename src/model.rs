//! Model of an engine: continuous batching with block memory, priorities and a prefix cache.
//!
//! The model is pure and deterministic. `cedargauge-standin engine` runs it in real time and
//! `cedargauge-replay` in virtual time. One step decodes one token for each running sequence
//! whose prompt is computed and computes a bounded chunk of the others' prompts. Memory grows with
//! every token; where it runs out, the running sequence of the lowest priority, youngest first, is
//! preempted: it returns to the queue and its tokens are computed again later.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_builder::Builder;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::blocks::BlockMemory;
use crate::clock::Time;
use crate::id::AttemptId;
use crate::sequence::Rank;
use crate::sequence::Sequence;
use crate::wire::CacheEvent;
use crate::wire::EngineRefusalReason;
use crate::wire::LoadReport;

/// Size and speed of a modelled engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Builder)]
#[serde(default, deny_unknown_fields)]
#[builder(default)]
pub struct ModelOptions {
    /// Memory for sequences, in tokens; 65,536 by default.
    pub memory_tokens: u64,
    /// Tokens in a block of memory; 16 by default.
    pub block_tokens: u32,
    /// Sequences that run at once at most; 256 by default.
    pub sequences_max: usize,
    /// Requests that wait in the engine's own queue at most; 1,024 by default.
    pub queue_max: usize,
    /// Prompt tokens computed in one step at most; 512 by default.
    pub prefill_chunk_tokens: u32,
    /// Fixed part of a step, in microseconds; 12,000 by default.
    pub step_base_us: u64,
    /// Part of a step for each running sequence, in microseconds; 120 by default.
    pub step_sequence_us: u64,
    /// Part of a step for each prompt token computed, in microseconds; 40 by default.
    pub step_prefill_token_us: u64,
    /// A step's time varies by up to this much either way, in percent; 5 by default.
    pub step_jitter_percent: u32,
    /// Loaded model as `name@version`.
    pub model: String,
}

impl Default for ModelOptions {
    fn default() -> Self {
        ModelOptions {
            memory_tokens: 65_536,
            block_tokens: 16,
            sequences_max: 256,
            queue_max: 1_024,
            prefill_chunk_tokens: 512,
            step_base_us: 12_000,
            step_sequence_us: 120,
            step_prefill_token_us: 40,
            step_jitter_percent: 5,
            model: "inspection@1".to_owned(),
        }
    }
}

/// A request to the engine, with the output length that only the engine knows.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelRequest {
    /// Names the attempt.
    pub attempt: AttemptId,
    /// Prompt length.
    pub prompt_tokens: u32,
    /// Output length. At least one token is generated; what exceeds the memory is cut off.
    pub output_tokens: u32,
    /// Higher runs first.
    pub engine_priority: u8,
    /// One hash for each leading block of the prompt that may be shared.
    pub prefix_hashes: Vec<u64>,
}

/// What a step brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ModelEvent {
    /// A token was generated.
    Token {
        /// The attempt.
        attempt: AttemptId,
        /// Its position in the output.
        index: u32,
    },
    /// The generation is complete.
    Done {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens generated in all.
        output_tokens: u32,
        /// Prompt tokens that the prefix cache held.
        cached_prompt_tokens: u32,
    },
    /// Memory was full: the attempt went back to the queue.
    Preempted {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// An engine's state.
#[derive(Debug, Clone)]
pub struct EngineModel {
    options: ModelOptions,
    rng: ChaCha8Rng,
    memory: BlockMemory,
    running: Vec<Sequence>,
    waiting: BTreeMap<Rank, Sequence>,
    next_arrival: u64,
    step_ends_at: Option<Time>,
    step_us: u64,
    preemptions_total: u64,
    leaving: bool,
}

impl EngineModel {
    /// An idle engine. `seed` decides the variation of its steps.
    pub fn new(options: ModelOptions, seed: u64) -> Self {
        let blocks = options.memory_tokens / u64::from(options.block_tokens);
        EngineModel {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            memory: BlockMemory::new(blocks),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            next_arrival: 0,
            step_ends_at: None,
            step_us: 0,
            preemptions_total: 0,
            leaving: false,
        }
    }

    /// Takes a request into the engine's queue.
    ///
    /// # Errors
    ///
    /// The reason why it was refused; it then does not run.
    pub fn submit(
        &mut self,
        now: Time,
        mut request: ModelRequest,
    ) -> Result<(), EngineRefusalReason> {
        if self.leaving {
            return Err(EngineRefusalReason::Leaving);
        }
        let room = self.memory_tokens().saturating_sub(request.prompt_tokens);
        if room == 0 || self.waiting.len() >= self.options.queue_max {
            return Err(EngineRefusalReason::QueueFull);
        }
        request.output_tokens = request.output_tokens.clamp(1, room);
        let whole_blocks = request.prompt_tokens / self.options.block_tokens;
        request.prefix_hashes.truncate(whole_blocks as usize);
        let rank = Rank {
            inverse_priority: u8::MAX - request.engine_priority,
            arrival: self.next_arrival,
        };
        self.next_arrival += 1;
        self.waiting.insert(rank, Sequence::new(rank, request));
        if self.step_ends_at.is_none() {
            self.plan(now, &mut Vec::new());
        }
        Ok(())
    }

    /// Ends an attempt and frees its memory. Does nothing if the attempt is not here.
    pub fn cancel(&mut self, _now: Time, attempt: AttemptId) {
        self.waiting
            .retain(|_, sequence| sequence.request.attempt != attempt);
        let index = self
            .running
            .iter()
            .position(|sequence| sequence.request.attempt == attempt);
        if let Some(index) = index {
            let mut sequence = self.running.remove(index);
            self.free(&mut sequence);
        }
    }

    /// When the current step ends, if one is under way.
    pub fn next_step_at(&self) -> Option<Time> {
        self.step_ends_at
    }

    /// Ends the current step if its time has come, and starts the next one.
    pub fn step(&mut self, now: Time) -> Vec<ModelEvent> {
        let mut events = Vec::new();
        if self.step_ends_at.is_some_and(|ends_at| ends_at <= now) {
            self.finish_step(&mut events);
            self.plan(now, &mut events);
        }
        events
    }

    /// The engine's load now, exactly. Evictable cache blocks don't count as used.
    pub fn report(&self, _now: Time) -> LoadReport {
        LoadReport {
            age_ms: 0,
            memory_tokens: self.memory.total() * u64::from(self.options.block_tokens),
            used_tokens: self.memory.in_use() * u64::from(self.options.block_tokens),
            running: self.running.iter().map(Sequence::report).collect(),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            preemptions_total: self.preemptions_total,
            step_us: self.step_us,
            leaving: self.leaving,
            model: self.options.model.clone(),
            incarnation: 0,
        }
    }

    /// Changes of the prefix cache since the last call.
    pub fn take_cache_events(&mut self) -> Vec<CacheEvent> {
        self.memory.take_events()
    }

    /// Refuses new work from now on; what is here goes on.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    fn memory_tokens(&self) -> u32 {
        u32::try_from(self.memory.total() * u64::from(self.options.block_tokens))
            .unwrap_or(u32::MAX)
    }

    fn finish_step(&mut self, events: &mut Vec<ModelEvent>) {
        let running = std::mem::take(&mut self.running);
        for mut sequence in running {
            self.compute(&mut sequence);
            if sequence.prefill_tokens > 0 {
                self.running.push(sequence);
                continue;
            }
            let attempt = sequence.request.attempt;
            events.push(ModelEvent::Token {
                attempt,
                index: sequence.generated,
            });
            sequence.generated += 1;
            if sequence.generated < sequence.request.output_tokens {
                self.running.push(sequence);
                continue;
            }
            self.free(&mut sequence);
            events.push(ModelEvent::Done {
                attempt,
                output_tokens: sequence.generated,
                cached_prompt_tokens: sequence.cached_prompt_tokens,
            });
        }
    }

    /// Accounts the step's chunk of the prompt; a whole prompt's head enters the prefix cache.
    fn compute(&mut self, sequence: &mut Sequence) {
        if sequence.prefill_tokens == 0 {
            return;
        }
        sequence.prefill_tokens -= sequence.chunk_tokens;
        sequence.chunk_tokens = 0;
        if sequence.prefill_tokens > 0 {
            return;
        }
        while let Some(hash) = sequence.request.prefix_hashes.get(sequence.cached_blocks) {
            if !self.memory.publish(*hash) {
                break;
            }
            sequence.cached_blocks += 1;
            sequence.private_blocks -= 1;
        }
    }

    /// Chooses the next step's batch and sets when it ends.
    fn plan(&mut self, now: Time, events: &mut Vec<ModelEvent>) {
        let preempted = self.grow(events);
        if !preempted {
            self.admit();
        }
        if self.running.is_empty() {
            self.step_ends_at = None;
            return;
        }
        let prefill_tokens = self.assign_prefill();
        self.step_us = self.step_duration_us(prefill_tokens);
        self.step_ends_at = Some(now + Duration::from_micros(self.step_us));
    }

    /// Gives each running sequence memory for its context, preempting where there is none.
    /// Answers whether it preempted.
    fn grow(&mut self, events: &mut Vec<ModelEvent>) -> bool {
        let mut preempted = false;
        let mut index = 0;
        while index < self.running.len() {
            let sequence = &self.running[index];
            let wanted = self.blocks(sequence.context_tokens());
            let missing = wanted.saturating_sub(sequence.held_blocks());
            if self.memory.allocate(missing) {
                self.running[index].private_blocks += missing;
                index += 1;
            } else {
                self.preempt_last(events);
                preempted = true;
            }
        }
        preempted
    }

    fn preempt_last(&mut self, events: &mut Vec<ModelEvent>) {
        let Some(mut sequence) = self.running.pop() else {
            return;
        };
        self.free(&mut sequence);
        self.preemptions_total += 1;
        events.push(ModelEvent::Preempted {
            attempt: sequence.request.attempt,
        });
        self.waiting.insert(sequence.rank, sequence);
    }

    /// Moves waiting requests into the batch in their order while they fit.
    fn admit(&mut self) {
        while self.running.len() < self.options.sequences_max {
            let Some((rank, mut sequence)) = self.waiting.pop_first() else {
                return;
            };
            if !self.take_memory(&mut sequence) {
                self.waiting.insert(rank, sequence);
                return;
            }
            let index = self.running.partition_point(|other| other.rank < rank);
            self.running.insert(index, sequence);
        }
    }

    fn take_memory(&mut self, sequence: &mut Sequence) -> bool {
        let wanted = self.blocks(sequence.context_tokens());
        let shareable = sequence.request.prefix_hashes.len() as u64;
        if wanted - shareable > self.memory.available() {
            return false;
        }
        let cached = self.memory.reuse(&sequence.request.prefix_hashes);
        let missing = wanted - cached as u64;
        if !self.memory.allocate(missing) {
            let hashes = &sequence.request.prefix_hashes[..cached];
            self.memory.release_cached(hashes);
            return false;
        }
        let context_tokens = sequence.context_tokens();
        let cached_tokens = (cached as u32 * self.options.block_tokens).min(context_tokens - 1);
        sequence.cached_blocks = cached;
        sequence.private_blocks = missing;
        sequence.prefill_tokens = context_tokens - cached_tokens;
        if sequence.generated == 0 {
            sequence.cached_prompt_tokens = cached_tokens;
        }
        true
    }

    fn assign_prefill(&mut self) -> u32 {
        let mut left = self.options.prefill_chunk_tokens;
        for sequence in &mut self.running {
            sequence.chunk_tokens = sequence.prefill_tokens.min(left);
            left -= sequence.chunk_tokens;
        }
        self.options.prefill_chunk_tokens - left
    }

    fn step_duration_us(&mut self, prefill_tokens: u32) -> u64 {
        let mean_us = self.options.step_base_us
            + self.options.step_sequence_us * self.running.len() as u64
            + self.options.step_prefill_token_us * u64::from(prefill_tokens);
        let jitter = i64::from(self.options.step_jitter_percent.min(99));
        let percent = 100 + self.rng.random_range(-jitter..=jitter);
        (mean_us * percent.unsigned_abs() / 100).max(1)
    }

    fn free(&mut self, sequence: &mut Sequence) {
        self.memory.release(sequence.private_blocks);
        self.memory.release_cached(sequence.cached_hashes());
        sequence.forget_memory();
    }

    fn blocks(&self, tokens: u32) -> u64 {
        u64::from(tokens.div_ceil(self.options.block_tokens))
    }
}

#[cfg(test)]
mod tests;
