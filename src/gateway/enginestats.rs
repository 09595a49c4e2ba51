//! How fast engines read prompts and give memory back, as this host observes it.
//!
//! Both change with the load and differ between deployments, so the bounds of waiting are taken from
//! what was observed of late, not fixed. Each starts from a guess that counts like some requests.

use std::time::Duration;

/// What is older counts by this factor at each new observation: about the last fifty count.
const DECAY: f64 = 0.98;
/// Part of the first events that come within the time that is reckoned with: at least this while hardly any come
/// late, since one that isn't tried is certainly lost,
const QUANTILE_MIN: f64 = 0.85;
/// and at most this, where many do: each that comes late has taken an engine's time from one that would not.
const QUANTILE_MAX: f64 = 0.97;
/// A first event that came late makes a host as cautious as it can be, and twenty in time make it as bold.
const CAUTION_STEP_LATE: f64 = 1.0;
const CAUTION_STEP_IN_TIME: f64 = 0.05;
/// A host that has observed nothing is half as cautious.
const CAUTION_INITIAL: f64 = 0.5;
/// Errors of expected times are counted in classes of this width,
const ERROR_BUCKET_S: f64 = 0.05;
/// the first of which begins this much below the expected time.
const ERROR_MIN_S: f64 = -1.0;
/// Classes; what lies beyond counts in the last one.
const ERROR_BUCKETS: usize = 80;
/// Weight of the first guess of errors, in prompts.
const ERROR_PRIOR_WEIGHT: f64 = 10.0;
/// First guess of prompt tokens read a second, beside what runs.
const PREFILL_PRIOR_TOKENS_PER_S: f64 = 7_000.0;
/// Tokens that this guess counts like: ten prompts.
const PREFILL_PRIOR_TOKENS: f64 = 30_000.0;
/// First guess of the error that so many don't exceed.
const ERROR_PRIOR: Duration = Duration::from_millis(600);
/// First guess of the mean time for which memory is taken.
const TURNOVER_PRIOR: Duration = Duration::from_millis(4_000);
/// Tokens that this guess counts like: twenty-five generations.
const TURNOVER_PRIOR_TOKENS: f64 = 100_000.0;

/// What was observed.
#[derive(Debug, Clone)]
pub struct EngineStats {
    prefill_tokens: f64,
    prefill_s: f64,
    errors: [f64; ERROR_BUCKETS],
    /// From 0, while first events come in time, to 1.
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
    /// A first event came `time` after its request was sent, where with its own prompt `tokens` were
    /// still to be read.
    pub fn record_first_event(&mut self, tokens: u32, time: Duration) {
        let error_s = time.as_secs_f64() - self.expected_first_event(tokens).as_secs_f64();
        self.errors.iter_mut().for_each(|count| *count *= DECAY);
        self.errors[error_bucket(error_s)] += 1.0;
        self.prefill_tokens = self.prefill_tokens * DECAY + f64::from(tokens);
        self.prefill_s = self.prefill_s * DECAY + time.as_secs_f64();
    }

    /// Whether a first event came within its request's objective.
    pub fn record_objective(&mut self, in_time: bool) {
        let caution = match in_time {
            true => self.caution - CAUTION_STEP_IN_TIME,
            false => self.caution + CAUTION_STEP_LATE,
        };
        self.caution = caution.clamp(0.0, 1.0);
    }

    /// How cautious waiting is to be: 0 while first events come in time, 1 while many come late.
    pub fn caution(&self) -> f64 {
        self.caution
    }

    /// A generation that was planned to take `tokens` has ended `time` after it was sent.
    pub fn record_end(&mut self, tokens: u32, time: Duration) {
        let tokens = f64::from(tokens);
        self.ended_tokens = self.ended_tokens * DECAY + tokens;
        self.ended_token_s = self.ended_token_s * DECAY + tokens * time.as_secs_f64();
    }

    /// The expected time until a first event where `tokens` are still to be read.
    fn expected_first_event(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) * self.prefill_s / self.prefill_tokens)
    }

    /// The time within which nearly all first events come where `tokens` are still to be read.
    pub fn first_event_bound(&self, tokens: u32) -> Duration {
        let bound_s = self.expected_first_event(tokens).as_secs_f64() + self.error_quantile_s();
        Duration::from_secs_f64(bound_s.max(0.0))
    }

    /// The error that the part of the errors which is reckoned with doesn't exceed.
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

    /// The mean time for which a token of memory is taken.
    pub fn turnover(&self) -> Duration {
        Duration::from_secs_f64(self.ended_token_s / self.ended_tokens)
    }
}

#[cfg(test)]
mod tests;
