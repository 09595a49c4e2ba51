//! What the memory of an engine carries, worked out from the true lengths of requests.
//!
//! A generation with a private prompt of P tokens and an output of N tokens holds P + i tokens
//! while it decodes token i, so it needs W = P·N + N·(N+1)/2 token-steps of memory. With M tokens
//! of memory always full, M·E\[N\]/W sequences run at once and M·E\[P\]/W prompt tokens are computed
//! a step; both give the step's duration s, and the engine carries M/(W·s) requests a second.
//! Shared parts of prompts are held once: they are taken off M, not added to W.

use std::collections::HashSet;

use crate::model::ModelOptions;
use crate::trace::TraceRequest;

/// Sums over requests that tell what an engine carries of them.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    requests: u64,
    output_tokens: f64,
    private_prompt_tokens: f64,
    token_steps: f64,
    shared_blocks: HashSet<u64>,
}

impl Demand {
    /// Adds a request.
    pub fn add(&mut self, request: &TraceRequest, block_tokens: u32) {
        let hashes = request.prefix_hashes();
        let shared_tokens = hashes.len() as f64 * f64::from(block_tokens);
        let private = (f64::from(request.prompt_tokens) - shared_tokens).max(0.0);
        let output = f64::from(request.output_tokens);
        self.requests += 1;
        self.output_tokens += output;
        self.private_prompt_tokens += private;
        self.token_steps += private * output + output * (output + 1.0) / 2.0;
        self.shared_blocks.extend(hashes);
    }

    /// Requests a second of this mix that one engine carries with its memory always full.
    pub fn requests_per_s(&self, options: &ModelOptions) -> f64 {
        let shared = self.shared_blocks.len() as f64 * f64::from(options.block_tokens);
        let memory = options.memory_tokens as f64 - shared;
        let turnover = memory / self.token_steps;
        let sequences = turnover * self.output_tokens;
        let prefill = turnover * self.private_prompt_tokens;
        let step_us = options.step_base_us as f64
            + options.step_sequence_us as f64 * sequences
            + options.step_prefill_token_us as f64 * prefill;
        turnover * self.requests as f64 / step_us * 1e6
    }

    /// Share of the memory-time of `engines` engines over `duration_ms` that the requests need.
    pub fn load(&self, options: &ModelOptions, engines: u32, duration_ms: u64) -> f64 {
        if self.requests == 0 {
            return 0.0;
        }
        let carried = self.requests_per_s(options) * f64::from(engines);
        self.requests as f64 / (carried * duration_ms as f64 / 1e3)
    }
}

#[cfg(test)]
mod tests;
