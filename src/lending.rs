//! Lends the limits of customers to the hosts that use them, a second at a time.
//!
//! The owner of a customer answers each [`Demand`] with an [`Allowance`]. It keeps for every
//! borrower the most that it may still be using, and raises one only by what the others leave.
//!
//! Bound, for each limit L of a customer with one owner: once every borrower has told its demand
//! twice since the last one turned active or joined, what all hold together doesn't exceed L. Beyond
//! it, a host may use only
//! - an equal split at most, but of generations none, when it turns active or joins, until the
//!   others have come down;
//! - its last share, decaying towards an equal split, while it is cut off and the owner has taken
//!   it for dead;
//! - as many generations as it was running when its share fell: they are not cut off.
//!
//! With two owners for a moment the bound is twice L, until the hosts agree on one.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::id::CustomerId;
use crate::peer::Allowance;
use crate::peer::Demand;
use crate::peer::HeldShare;
use crate::share::Share;

/// How limits are lent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Builder)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct LendingOptions {
    /// A host tells its demand this often, in milliseconds; 100 to 10,000. Default 1,000.
    pub period_ms: u64,
    /// Demands that a host tells in a period at most, which bounds its traffic; with more active
    /// customers each is told less often. At least 4. Default 64.
    pub demands_max: usize,
    /// An allowance is in force this long without a new one, in milliseconds, and longer by as much
    /// as the host tells its demand later than each period. Default 3,000.
    pub valid_ms: u64,
    /// After that a host's share comes half as near to an equal split in this time, in
    /// milliseconds. Default 10,000.
    pub half_life_ms: u64,
    /// The owner takes a message to be under way for this long at most, in milliseconds.
    /// Default 1,000.
    pub delay_ms: u64,
    /// A new owner raises no share for this long, in milliseconds. Default 2,500.
    pub learn_ms: u64,
    /// A borrower that was removed keeps its share for this long, in milliseconds. Default 4,000.
    pub linger_ms: u64,
    /// Where there are fewer generations than hosts that want one, they are passed around this
    /// often, in milliseconds. Default 5,000.
    pub rotate_ms: u64,
}

impl Default for LendingOptions {
    fn default() -> Self {
        LendingOptions {
            period_ms: 1_000,
            demands_max: 64,
            valid_ms: 3_000,
            half_life_ms: 10_000,
            delay_ms: 1_000,
            learn_ms: 2_500,
            linger_ms: 4_000,
            rotate_ms: 5_000,
        }
    }
}

impl LendingOptions {
    /// How long an allowance is valid for a host that tells its demand again after `next_ms`.
    fn valid_ms(&self, next_ms: u64) -> u64 {
        self.valid_ms + next_ms.saturating_sub(self.period_ms)
    }
}

/// A share that was `last` and is not renewed, `overdue` after it was valid.
pub(crate) fn lapsed(
    options: &LendingOptions,
    last: &Share,
    equal: &Share,
    overdue: Duration,
) -> Share {
    let half_life = Duration::from_millis(options.half_life_ms.max(1));
    let half_lives = overdue.as_secs_f64() / half_life.as_secs_f64();
    equal.towards(last, 0.5_f64.powf(half_lives))
}

/// The owner's part: lends the limits of the customers it owns. `B` names a borrower.
#[derive(Debug)]
pub struct Lender<B> {
    options: LendingOptions,
    next_round: u64,
    learning_until: Time,
    ledgers: BTreeMap<CustomerId, Ledger<B>>,
}

/// Who uses a customer's limits. Only active customers have one.
#[derive(Debug)]
struct Ledger<B> {
    borrowers: BTreeMap<B, Borrower>,
}

#[derive(Debug, Clone)]
struct Borrower {
    wanted: Share,
    running: f64,
    /// The most it may be using: what it said it holds and what was lent since.
    in_force: Share,
    last_round: u64,
    heard: Time,
    next_ms: u64,
    removed: Option<Time>,
}

impl<B: Ord + Clone> Lender<B> {
    /// A lender whose loans are numbered from `first_round` on, which is to be higher than any
    /// number given by an earlier incarnation.
    pub fn new(options: LendingOptions, first_round: u64) -> Self {
        Lender {
            options,
            next_round: first_round,
            learning_until: Time::ZERO,
            ledgers: BTreeMap::new(),
        }
    }

    /// Which host owns which customer changed: shares may be out that this lender doesn't know.
    pub fn owners_changed(&mut self, now: Time) {
        self.learning_until = now + Duration::from_millis(self.options.learn_ms);
    }

    /// Forgets the customers that `is_owned` doesn't name.
    pub fn keep_owned(&mut self, is_owned: impl Fn(&CustomerId) -> bool) {
        self.ledgers.retain(|customer, _| is_owned(customer));
    }

    /// Only these borrowers are live; the others' shares are free after a while.
    pub fn keep_live(&mut self, now: Time, is_live: impl Fn(&B) -> bool) {
        for ledger in self.ledgers.values_mut() {
            for (name, borrower) in &mut ledger.borrowers {
                match is_live(name) {
                    true => borrower.removed = None,
                    false => borrower.removed = borrower.removed.or(Some(now)),
                }
            }
        }
        self.forget(now);
    }

    /// Answers what `from` wants of the customer's limits, which are `whole`. `equal` is the share
    /// that a host without an allowance takes.
    pub fn lend(
        &mut self,
        now: Time,
        from: &B,
        demand: &Demand,
        whole: &Share,
        equal: &Share,
    ) -> Option<Allowance> {
        if demand.wanted == Share::default() && demand.running == 0 {
            self.take_back(&demand.customer, from);
            return None;
        }
        let is_learning = now < self.learning_until;
        let round = self.next_round;
        self.next_round += 1;
        let options = &self.options;
        let ledger = self.ledgers.entry(demand.customer.clone()).or_default();
        ledger.hear(now, from, demand);
        let left = ledger.left_for(now, options, from, whole, equal);
        let wanted = match is_learning {
            true => demand.held.map_or(*equal, |held| held.share),
            false => ledger.fair_share(now, options, from, whole, equal),
        };
        let share = wanted.zip(&ledger.most_for(from, &left, equal), f64::min);
        let share = Share {
            concurrent_generations: share.concurrent_generations.floor(),
            ..share
        };
        ledger.lent(from, round, &share);
        Some(Allowance {
            customer: demand.customer.clone(),
            round,
            share,
            valid_ms: options.valid_ms(demand.next_ms),
        })
    }

    /// Customers that have a borrower.
    pub fn active(&self) -> usize {
        self.ledgers.len()
    }

    /// What all borrowers of a customer may be using together.
    pub fn in_force(&self, now: Time, customer: &CustomerId, equal: &Share) -> Share {
        let none = Share::default();
        self.ledgers.get(customer).map_or(none, |ledger| {
            ledger.sum(now, &self.options, equal, |_| true)
        })
    }

    fn take_back(&mut self, customer: &CustomerId, from: &B) {
        if let Some(ledger) = self.ledgers.get_mut(customer) {
            ledger.borrowers.remove(from);
            if ledger.borrowers.is_empty() {
                self.ledgers.remove(customer);
            }
        }
    }

    fn forget(&mut self, now: Time) {
        let linger = Duration::from_millis(self.options.linger_ms);
        self.ledgers.retain(|_, ledger| {
            ledger.borrowers.retain(|_, borrower| {
                borrower
                    .removed
                    .is_none_or(|removed| now.since(removed) < linger)
            });
            !ledger.borrowers.is_empty()
        });
    }
}

impl<B> Default for Ledger<B> {
    fn default() -> Self {
        Ledger {
            borrowers: BTreeMap::new(),
        }
    }
}

impl<B: Ord + Clone> Ledger<B> {
    fn hear(&mut self, now: Time, from: &B, demand: &Demand) {
        let borrower = self.borrowers.entry(from.clone()).or_insert(Borrower {
            wanted: demand.wanted,
            running: 0.0,
            in_force: Share::default(),
            last_round: 0,
            heard: now,
            next_ms: demand.next_ms,
            removed: None,
        });
        borrower.hear(now, demand);
    }

    fn lent(&mut self, to: &B, round: u64, share: &Share) {
        if let Some(borrower) = self.borrowers.get_mut(to) {
            borrower.last_round = round;
            borrower.in_force = borrower.in_force.zip(share, f64::max);
        }
    }

    /// A borrower may be raised to what the others leave, and to an equal split in any case, so
    /// that a host that joins refuses nobody before the others have come down; for a generation its
    /// requests wait. Nor is what it holds taken from it below its fair share, even if all hold too
    /// much since they had different owners.
    fn most_for(&self, borrower: &B, left: &Share, equal: &Share) -> Share {
        let most = Share {
            concurrent_generations: left.concurrent_generations,
            ..left.zip(equal, f64::max)
        };
        let held = self.borrowers.get(borrower);
        held.map_or(most, |held| held.in_force.zip(&most, f64::max))
    }

    /// What the other borrowers leave of `whole`.
    fn left_for(
        &self,
        now: Time,
        options: &LendingOptions,
        borrower: &B,
        whole: &Share,
        equal: &Share,
    ) -> Share {
        let others = self.sum(now, options, equal, |name| name != borrower);
        whole.zip(&others, |whole, others| (whole - others).max(0.0))
    }

    fn sum(
        &self,
        now: Time,
        options: &LendingOptions,
        equal: &Share,
        is_counted: impl Fn(&B) -> bool,
    ) -> Share {
        self.borrowers
            .iter()
            .filter(|(name, _)| is_counted(name))
            .map(|(_, borrower)| borrower.may_use(now, options, equal))
            .fold(Share::default(), |sum, used| sum.zip(&used, |a, b| a + b))
    }

    /// The borrower's fair share of `whole` by what each wants.
    fn fair_share(
        &self,
        now: Time,
        options: &LendingOptions,
        of: &B,
        whole: &Share,
        equal: &Share,
    ) -> Share {
        let position = self.borrowers.keys().position(|name| name == of);
        let position = position.unwrap_or_default();
        let fair = |part: fn(&Share) -> f64| {
            let wanted: Vec<f64> = self
                .borrowers
                .values()
                .map(|borrower| part(&borrower.wanted))
                .collect();
            fair_parts(part(whole), part(equal), &wanted)
        };
        let generations = fair(|s| s.concurrent_generations);
        let turn = now.as_ms() / options.rotate_ms.max(1);
        Share {
            requests_per_s: fair(|s| s.requests_per_s)[position],
            tokens_per_s: fair(|s| s.tokens_per_s)[position],
            concurrent_generations: whole_parts(&generations, turn)[position],
            queue_length: fair(|s| s.queue_length)[position],
        }
    }
}

impl Borrower {
    fn hear(&mut self, now: Time, demand: &Demand) {
        self.wanted = demand.wanted;
        self.running = f64::from(demand.running);
        self.heard = now;
        self.next_ms = demand.next_ms;
        self.removed = None;
        let held = demand.held;
        let is_latest = held.is_some_and(|held| held.round == self.last_round);
        let held = held.map_or(Share::default(), |HeldShare { share, .. }| share);
        self.in_force = match is_latest {
            true => held,
            false => self.in_force.zip(&held, f64::max),
        };
    }

    /// The most that the borrower may be using at `now`, if it decays towards `equal` as it should.
    fn may_use(&self, now: Time, options: &LendingOptions, equal: &Share) -> Share {
        let valid = Duration::from_millis(options.valid_ms(self.next_ms));
        let overdue = now.since(self.heard).saturating_sub(valid);
        let delay = Duration::from_millis(options.delay_ms);
        let falling = lapsed(
            options,
            &self.in_force,
            equal,
            overdue.saturating_sub(delay),
        );
        let rising = lapsed(options, &self.in_force, equal, overdue);
        let share = falling.zip(&rising, f64::max);
        Share {
            concurrent_generations: share.concurrent_generations.max(self.running),
            ..share
        }
    }
}

/// Shares `limit` out: nobody gets more than it wants while another lacks. What nobody wants is
/// spread over all hosts, as room to grow: a host that isn't a borrower yet finds its part unlent.
fn fair_parts(limit: f64, equal: f64, wanted: &[f64]) -> Vec<f64> {
    let total: f64 = wanted.iter().sum();
    if total <= limit {
        let share_of_spare = if limit > 0.0 { equal / limit } else { 0.0 };
        let spare = (limit - total) * share_of_spare;
        return wanted.iter().map(|want| want + spare).collect();
    }
    let level = fill_level(limit, wanted);
    wanted.iter().map(|want| want.min(level)).collect()
}

/// The level at which parts cut to it add up to `limit`, which is less than their sum.
fn fill_level(limit: f64, wanted: &[f64]) -> f64 {
    let mut sorted = wanted.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = limit;
    for (index, want) in sorted.iter().enumerate() {
        let level = left / (sorted.len() - index) as f64;
        if *want >= level {
            return level;
        }
        left -= want;
    }
    limit
}

/// Rounds parts down to whole numbers and gives what is left over to as many parts in turn.
fn whole_parts(parts: &[f64], turn: u64) -> Vec<f64> {
    const ROUNDING: f64 = 1e-6;
    let total: f64 = parts.iter().sum();
    let mut whole: Vec<f64> = parts.iter().map(|part| (part + ROUNDING).floor()).collect();
    let left_over = (total + ROUNDING - whole.iter().sum::<f64>()) as usize;
    let fractional: Vec<usize> = (0..parts.len())
        .filter(|index| parts[*index] - whole[*index] > ROUNDING)
        .collect();
    let first = usize::try_from(turn).unwrap_or_default();
    for extra in 0..left_over.min(fractional.len()) {
        whole[fractional[(first + extra) % fractional.len()]] += 1.0;
    }
    whole
}

#[cfg(test)]
mod tests;
