//! How fast engines read prompts and give memory back, as this host observes it.
//!
//! Both change with the load and differ between deployments, so the bounds of waiting are taken from
//! what was observed of late, not fixed. Each starts from a guess that counts like some requests.

use std::time::Duration;

/// What is older counts by this factor at each new observation: about the last fifty count.
const KEPT: f64 = 0.98;
/// Weight of a new error in the mean error.
const ERROR_WEIGHT: f64 = 0.02;
/// So many mean errors above the expected time hold nearly all times (as in TCP's retransmission
/// timeout, RFC 6298).
const ERRORS: f64 = 4.0;
/// First guess of prompt tokens read a second, beside what runs.
const READ_START_TOKENS_PER_S: f64 = 7_000.0;
/// Tokens that this guess counts like: ten prompts.
const READ_START_TOKENS: f64 = 30_000.0;
/// First guess of the mean error of an expected time.
const ERROR_START: Duration = Duration::from_millis(250);
/// First guess of the mean time for which memory is taken.
const TURNOVER_START: Duration = Duration::from_millis(4_000);
/// Tokens that this guess counts like: twenty-five generations.
const TURNOVER_START_TOKENS: f64 = 100_000.0;

/// What was observed.
#[derive(Debug, Clone)]
pub struct Pace {
    read_tokens: f64,
    read_s: f64,
    error_s: f64,
    ended_tokens: f64,
    ended_token_s: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            read_tokens: READ_START_TOKENS,
            read_s: READ_START_TOKENS / READ_START_TOKENS_PER_S,
            error_s: ERROR_START.as_secs_f64(),
            ended_tokens: TURNOVER_START_TOKENS,
            ended_token_s: TURNOVER_START_TOKENS * TURNOVER_START.as_secs_f64(),
        }
    }
}

impl Pace {
    /// A first event came `time` after its request was sent, where with its own prompt `tokens` were
    /// still to be read.
    pub fn first_event(&mut self, tokens: u32, time: Duration) {
        let error_s = (time.as_secs_f64() - self.expected(tokens).as_secs_f64()).abs();
        self.error_s += (error_s - self.error_s) * ERROR_WEIGHT;
        self.read_tokens = self.read_tokens * KEPT + f64::from(tokens);
        self.read_s = self.read_s * KEPT + time.as_secs_f64();
    }

    /// A generation that was planned to take `tokens` has ended `time` after it was sent.
    pub fn ended(&mut self, tokens: u32, time: Duration) {
        let tokens = f64::from(tokens);
        self.ended_tokens = self.ended_tokens * KEPT + tokens;
        self.ended_token_s = self.ended_token_s * KEPT + tokens * time.as_secs_f64();
    }

    /// The expected time until a first event where `tokens` are still to be read.
    fn expected(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) * self.read_s / self.read_tokens)
    }

    /// The time within which nearly all first events come where `tokens` are still to be read.
    pub fn first_event_within(&self, tokens: u32) -> Duration {
        self.expected(tokens) + Duration::from_secs_f64(self.error_s * ERRORS)
    }

    /// The mean time for which a token of memory is taken.
    pub fn turnover(&self) -> Duration {
        Duration::from_secs_f64(self.ended_token_s / self.ended_tokens)
    }
}

#[cfg(test)]
mod tests;
