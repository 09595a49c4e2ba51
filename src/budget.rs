//! A budget of retries: a share of the successes, so that retries can't multiply a failure.

/// Retries allowed without any success, so that a quiet service can retry at all.
const RESERVE: f64 = 3.0;
/// Most retries that may be saved up.
const SAVED_MAX: f64 = 100.0;

/// The retry budget of one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// A budget of `percent` retries for each 100 successes.
    pub fn new(percent: u32) -> Self {
        RetryBudget {
            share: f64::from(percent) / 100.0,
            saved: RESERVE,
        }
    }

    /// Takes a new share; what is saved stays.
    pub fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
    }

    /// A request succeeded.
    pub fn succeeded(&mut self) {
        self.saved = (self.saved + self.share).min(SAVED_MAX);
    }

    /// Takes one retry out of the budget, if it holds one.
    pub fn try_retry(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
