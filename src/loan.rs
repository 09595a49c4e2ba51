//! The shares of customers' limits that a host was lent.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::lending::LendingOptions;
use crate::lending::lapsed;
use crate::peer::Allowance;
use crate::peer::HeldShare;
use crate::share::Share;

/// The loans of one host: pure, time is passed in.
#[derive(Debug)]
pub struct Loans {
    options: LendingOptions,
    loans: HashMap<CustomerId, Loan>,
}

#[derive(Debug)]
struct Loan {
    owner: HostId,
    round: u64,
    share: Share,
    received: Time,
    valid: Duration,
}

impl Loans {
    /// No loan yet.
    pub fn new(options: LendingOptions) -> Self {
        Loans {
            options,
            loans: HashMap::new(),
        }
    }

    /// Takes an allowance of the customer's owner, unless a later one of the same owner came first.
    pub fn receive(&mut self, now: Time, owner: &HostId, allowance: &Allowance) -> bool {
        let known = self.loans.get(&allowance.customer);
        if known.is_some_and(|loan| loan.owner == *owner && loan.round >= allowance.round) {
            return false;
        }
        let loan = Loan {
            owner: owner.clone(),
            round: allowance.round,
            share: allowance.share,
            received: now,
            valid: Duration::from_millis(allowance.valid_ms),
        };
        self.loans.insert(allowance.customer.clone(), loan);
        true
    }

    /// What the host may use of the customer's limits now; `equal` is an equal split of them.
    ///
    /// Without a loan that is the equal split. A loan that isn't renewed decays towards it, and may
    /// then run one generation at least, so that a host that is cut off goes on serving.
    pub fn share(&self, now: Time, customer: &CustomerId, equal: &Share) -> Share {
        match self.loans.get(customer) {
            None => *equal,
            Some(loan) if !loan.is_lapsed(now) => loan.share,
            Some(loan) => {
                let overdue = now.since(loan.received).saturating_sub(loan.valid);
                let share = lapsed(&self.options, &loan.share, equal, overdue);
                let least = f64::from(u8::from(equal.concurrent_generations > 0.0));
                Share {
                    concurrent_generations: share.concurrent_generations.max(least),
                    ..share
                }
            }
        }
    }

    /// What to tell the owner that the host holds.
    pub fn held(&self, now: Time, customer: &CustomerId, equal: &Share) -> Option<HeldShare> {
        self.loans.get(customer).map(|loan| HeldShare {
            round: loan.round,
            share: self.share(now, customer, equal),
        })
    }

    /// Forgets a customer's loan.
    pub fn forget(&mut self, customer: &CustomerId) {
        self.loans.remove(customer);
    }

    /// Loans that were not renewed in time.
    pub fn lapsed(&self, now: Time) -> usize {
        self.loans
            .values()
            .filter(|loan| loan.is_lapsed(now))
            .count()
    }
}

impl Loan {
    fn is_lapsed(&self, now: Time) -> bool {
        now.since(self.received) > self.valid
    }
}
