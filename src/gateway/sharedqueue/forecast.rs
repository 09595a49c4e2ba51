//! How long a generation will wait, from what is ahead of it.

use std::time::Duration;

use crate::gateway::admit;
use crate::gateway::admit::Demand;
use crate::gateway::admit::QueueState;
use crate::gateway::sharedqueue::EngineView;

/// Longest forecast; no caller waits for as long.
const FORECAST_MAX: Duration = Duration::from_secs(60);

/// Tokens needed by the generations that go before one.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Ahead {
    /// Of all ranks.
    pub(super) tokens: u64,
    /// Of its own rank.
    pub(super) rank_tokens: u64,
}

impl Ahead {
    /// Adds a generation of the same rank.
    pub(super) fn add(&mut self, tokens: u64) {
        self.tokens += tokens;
        self.rank_tokens += tokens;
    }
}

/// Forecasts waits from the memory that becomes free.
#[derive(Clone, Copy)]
pub(super) struct Forecaster<'a> {
    view: &'a EngineView<'a>,
    taken_tokens: u64,
    /// How much longer than usual the engines take to read prompts.
    prefill: f64,
}

impl<'a> Forecaster<'a> {
    /// A forecaster for the engines of `view`.
    pub(super) fn new(view: &'a EngineView<'a>) -> Self {
        let taken = view.candidates.iter();
        Forecaster {
            view,
            taken_tokens: taken
                .map(|candidate| u64::from(candidate.load.tokens))
                .sum(),
            prefill: admit::waiting_slowness(view.candidates).prefill,
        }
    }

    /// Longest wait from its arrival after which the first event of a generation is still expected in time.
    pub(super) fn wait_limit(&self, demand: &Demand) -> Duration {
        demand.wait_limit(self.view.stats, self.prefill)
    }

    /// Counts a generation that starts in this decision.
    pub(super) fn add_taken(&mut self, tokens: u32) {
        self.taken_tokens += u64::from(tokens);
    }

    /// Time until `tokens` are free behind what is `ahead`. `granted_per_s` is the measured rate of the rank in tokens
    /// a second. It is used only behind others of the rank: it tells nothing new while nothing of the rank waits, and
    /// one that refused on it alone would never measure another.
    pub(super) fn expected(
        &self,
        ahead: Ahead,
        tokens: u32,
        granted_per_s: Option<f64>,
    ) -> Duration {
        if let Some(per_s) = granted_per_s.filter(|_| ahead.rank_tokens > 0) {
            let wanted = ahead.rank_tokens + u64::from(tokens);
            let wait = Duration::try_from_secs_f64(wanted as f64 / per_s);
            return wait.map_or(FORECAST_MAX, |wait| wait.min(FORECAST_MAX));
        }
        let queue = QueueState {
            ahead_tokens: ahead.tokens,
            taken_tokens: self.taken_tokens,
            hosts: 1,
            stats: self.view.stats,
        };
        queue.expected_wait(tokens).min(FORECAST_MAX)
    }
}
