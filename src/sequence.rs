//! A request inside the engine model, with its place in the batch's order.

use crate::model::ModelRequest;
use crate::wire::RunningReport;

/// Order of sequences: higher priority first, then older.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) inverse_priority: u8,
    pub(crate) arrival: u64,
}

/// A request inside the engine.
#[derive(Debug, Clone)]
pub(crate) struct Sequence {
    pub(crate) rank: Rank,
    pub(crate) request: ModelRequest,
    pub(crate) generated: u32,
    pub(crate) cached_prompt_tokens: u32,
    /// Tokens to compute before the next one can be generated.
    pub(crate) prefill_tokens: u32,
    /// Of those, in the current step.
    pub(crate) chunk_tokens: u32,
    /// Leading blocks that are held in the prefix cache.
    pub(crate) cached_blocks: usize,
    pub(crate) private_blocks: u64,
}

impl Sequence {
    pub(crate) fn new(rank: Rank, request: ModelRequest) -> Self {
        Sequence {
            rank,
            request,
            generated: 0,
            cached_prompt_tokens: 0,
            prefill_tokens: 0,
            chunk_tokens: 0,
            cached_blocks: 0,
            private_blocks: 0,
        }
    }

    pub(crate) fn context_tokens(&self) -> u32 {
        self.request.prompt_tokens + self.generated
    }

    pub(crate) fn held_blocks(&self) -> u64 {
        self.private_blocks + self.cached_blocks as u64
    }

    pub(crate) fn cached_hashes(&self) -> &[u64] {
        &self.request.prefix_hashes[..self.cached_blocks]
    }

    pub(crate) fn forget_memory(&mut self) {
        self.private_blocks = 0;
        self.cached_blocks = 0;
        self.chunk_tokens = 0;
    }

    pub(crate) fn report(&self) -> RunningReport {
        RunningReport {
            attempt: self.request.attempt,
            prompt_tokens: self.request.prompt_tokens,
            output_tokens: self.generated,
        }
    }
}
