//! Statistics of how fast engines read prompts and free memory, as observed by this host.
//!
//! Both change with the load and differ between deployments, so the limits on waiting come from recent
//! observations instead of fixed values. Each statistic starts from a prior with the weight of some
//! requests.

use std::time::Duration;

use crate::clock::bounded_seconds;

/// Factor by which older observations decay at each new one: about the last fifty count.
const DECAY: f64 = 0.98;
/// Quantile of the errors used for the bound while hardly any first event is late. A generation that isn't
/// tried is certainly lost, so a few late ones are accepted.
const QUANTILE_MIN: f64 = 0.85;
/// Quantile of the errors used for the bound while many first events are late. Each late one takes engine
/// time from one that would have been in time.
const QUANTILE_MAX: f64 = 0.97;
/// Rise of the caution at a late first event: one sets it to its maximum.
const CAUTION_STEP_LATE: f64 = 1.0;
/// Fall of the caution at a first event in time: twenty take it from its maximum to 0.
const CAUTION_STEP_IN_TIME: f64 = 0.05;
/// Caution of a host without observations.
const CAUTION_INITIAL: f64 = 0.5;
/// Width of a bucket in the histogram of errors, which are actual minus expected times to the first event.
const ERROR_BUCKET_S: f64 = 0.05;
/// Lower end of the first bucket; smaller errors count in it.
const ERROR_MIN_S: f64 = -1.0;
/// Number of buckets; larger errors count in the last one.
const ERROR_BUCKETS: usize = 80;
/// Weight of [`ERROR_PRIOR`] in the histogram of errors, in observed first events.
const ERROR_PRIOR_WEIGHT: f64 = 10.0;
/// Prior rate of reading prompts beside running generations.
const PREFILL_PRIOR_TOKENS_PER_S: f64 = 7_000.0;
/// Weight of the prior rate in tokens: about ten prompts.
const PREFILL_PRIOR_TOKENS: f64 = 30_000.0;
/// Prior error of expected first events.
const ERROR_PRIOR: Duration = Duration::from_millis(600);
/// Prior mean time for which memory is held.
const TURNOVER_PRIOR: Duration = Duration::from_millis(4_000);
/// Weight of the prior turnover in tokens: about twenty-five generations.
const TURNOVER_PRIOR_TOKENS: f64 = 100_000.0;

/// Decaying statistics of first events and completed generations.
#[derive(Debug, Clone)]
pub struct EngineStats {
    prefill_tokens: f64,
    prefill_s: f64,
    errors: [f64; ERROR_BUCKETS],
    /// From 0, while first events are in time, to 1, while they are late.
    caution: f64,
    ended_tokens: f64,
    ended_token_s: f64,
}

impl Default for EngineStats {
    fn default() -> Self {
        EngineStats {
            prefill_tokens: PREFILL_PRIOR_TOKENS,
            prefill_s: PREFILL_PRIOR_TOKENS / PREFILL_PRIOR_TOKENS_PER_S,
            errors: prior_errors(),
            caution: CAUTION_INITIAL,
            ended_tokens: TURNOVER_PRIOR_TOKENS,
            ended_token_s: TURNOVER_PRIOR_TOKENS * TURNOVER_PRIOR.as_secs_f64(),
        }
    }
}

fn error_bucket(error_s: f64) -> usize {
    let bucket = (error_s - ERROR_MIN_S) / ERROR_BUCKET_S;
    (bucket.max(0.0) as usize).min(ERROR_BUCKETS - 1)
}

fn prior_errors() -> [f64; ERROR_BUCKETS] {
    let mut errors = [0.0; ERROR_BUCKETS];
    errors[error_bucket(ERROR_PRIOR.as_secs_f64())] = ERROR_PRIOR_WEIGHT;
    errors
}

impl EngineStats {
    /// Records a first event that came `time` after its request was sent, when `tokens` were still to be
    /// read at the engine, including its own prompt. The engine reads prompts `prefill` times as long as usual.
    pub fn record_first_event(&mut self, tokens: u32, prefill: f64, time: Duration) {
        let expected = self.expected_first_event(tokens).mul_f64(prefill);
        let error_s = time.as_secs_f64() - expected.as_secs_f64();
        self.errors.iter_mut().for_each(|count| *count *= DECAY);
        self.errors[error_bucket(error_s)] += 1.0;
        self.prefill_tokens = self.prefill_tokens * DECAY + f64::from(tokens);
        self.prefill_s = self.prefill_s * DECAY + time.as_secs_f64() / prefill;
    }

    /// Records whether a first event came within the objective of its request.
    pub fn record_objective(&mut self, in_time: bool) {
        let caution = match in_time {
            true => self.caution - CAUTION_STEP_IN_TIME,
            false => self.caution + CAUTION_STEP_LATE,
        };
        self.caution = caution.clamp(0.0, 1.0);
    }

    /// How cautious admission should be: 0 while first events are in time, 1 while many are late.
    pub fn caution(&self) -> f64 {
        self.caution
    }

    /// Records a generation planned at `tokens` that ended `time` after it was sent.
    pub fn record_end(&mut self, tokens: u32, time: Duration) {
        let tokens = f64::from(tokens);
        self.ended_tokens = self.ended_tokens * DECAY + tokens;
        self.ended_token_s = self.ended_token_s * DECAY + tokens * time.as_secs_f64();
    }

    /// Mean time to a first event when `tokens` are still to be read.
    fn expected_first_event(&self, tokens: u32) -> Duration {
        bounded_seconds(f64::from(tokens) * self.prefill_s / self.prefill_tokens)
    }

    /// Time within which nearly all first events come when `tokens` are still to be read, at engines that read
    /// prompts `prefill` times as long as usual.
    pub fn first_event_bound(&self, tokens: u32, prefill: f64) -> Duration {
        let expected = self.expected_first_event(tokens).mul_f64(prefill);
        let bound_s = expected.as_secs_f64() + self.error_quantile_s();
        bounded_seconds(bound_s)
    }

    /// Quantile of the errors, from [`QUANTILE_MIN`] to [`QUANTILE_MAX`] as the caution rises.
    fn error_quantile_s(&self) -> f64 {
        let quantile = QUANTILE_MIN + (QUANTILE_MAX - QUANTILE_MIN) * self.caution;
        let all: f64 = self.errors.iter().sum();
        let mut below = 0.0;
        for (bucket, count) in self.errors.iter().enumerate() {
            below += count;
            if below >= all * quantile {
                return ERROR_MIN_S + (bucket + 1) as f64 * ERROR_BUCKET_S;
            }
        }
        ERROR_MIN_S + ERROR_BUCKETS as f64 * ERROR_BUCKET_S
    }

    /// Mean time for which a token of memory is held.
    pub fn turnover(&self) -> Duration {
        bounded_seconds(self.ended_token_s / self.ended_tokens)
    }
}

#[cfg(test)]
mod tests;
