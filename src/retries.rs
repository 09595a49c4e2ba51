//! Retries: the budgets of all services of a host, and the delays between tries.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use backon::BackoffBuilder;
use backon::ExponentialBackoff;
use backon::ExponentialBuilder;

use crate::budget::RetryBudget;
use crate::id::ServiceId;

/// Bounds of the delay before a try.
const DELAY_MIN: Duration = Duration::from_millis(20);
pub(crate) const DELAY_MAX: Duration = Duration::from_millis(1_000);

/// Growing delays with jitter.
pub(crate) fn delays() -> ExponentialBackoff {
    ExponentialBuilder::default()
        .with_jitter()
        .with_min_delay(DELAY_MIN)
        .with_max_delay(DELAY_MAX)
        .without_max_times()
        .build()
}

/// The budgets; clones share them.
#[derive(Debug, Clone, Default)]
pub struct RetryBudgets {
    budgets: Arc<Mutex<HashMap<ServiceId, RetryBudget>>>,
}

impl RetryBudgets {
    /// A request of the service succeeded.
    pub(crate) fn succeeded(&self, service: &ServiceId, percent: u32) {
        self.with(service, percent, RetryBudget::succeeded);
    }

    /// Takes one retry out of the service's budget, if it holds one.
    pub(crate) fn try_retry(&self, service: &ServiceId, percent: u32) -> bool {
        self.with(service, percent, RetryBudget::try_retry)
    }

    fn with<R>(
        &self,
        service: &ServiceId,
        percent: u32,
        act: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        let mut budgets = self.lock();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(percent));
        budget.set_percent(percent);
        act(budget)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceId, RetryBudget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
