//! The retry budgets of all services of a host.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::budget::RetryBudget;
use crate::id::ServiceId;

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
