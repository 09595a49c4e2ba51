//! A simulated fleet whose processes start and stop repeatedly, and in which each host retries whenever its
//! budget has room.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::OPTIONS;
use crate::clock::Time;
use crate::gateway::retrybudget::RetryBudgetOptions;
use crate::gateway::retrybudget::SharedRetryBudget;

const STEP: Duration = Duration::from_millis(50);
const STEPS: usize = 1_200;
/// Steps in half a window of the budget.
const HALF_WINDOW_STEPS: usize = 100;
/// Longest time for which a host has no process, in steps.
const DOWNTIME_MAX_STEPS: usize = 20;

/// Range of the uptime of processes, in steps.
#[derive(Debug, Clone, Copy)]
struct UptimeRange {
    min_steps: usize,
    max_steps: usize,
}

/// Requests and retries of the whole fleet in one step.
#[derive(Debug, Default, Clone, Copy)]
struct Step {
    requests: usize,
    retries: usize,
}

/// A host: its process's budget and first step, if a process runs, and the step of the next start or stop.
struct Host {
    budget: Option<(SharedRetryBudget, usize)>,
    changes_at_step: usize,
}

struct Fleet {
    random: ChaCha8Rng,
    options: RetryBudgetOptions,
    uptimes: UptimeRange,
    hosts: Vec<Host>,
}

impl Fleet {
    /// Creates hosts whose processes start with the simulation and run for at least two windows.
    fn start(seed: u64, count: usize, options: RetryBudgetOptions, uptimes: UptimeRange) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let hosts = (0..count).map(|_| Host {
            budget: Some((SharedRetryBudget::new(options, random.random()), 0)),
            changes_at_step: 4 * HALF_WINDOW_STEPS + random.random_range(0..=uptimes.max_steps),
        });
        Fleet {
            hosts: hosts.collect(),
            options,
            uptimes,
            random,
        }
    }

    /// Simulates one step in which `requests` requests arrive, each at a random host. Requests at a host
    /// without a process are counted, but enter no budget.
    fn step(&mut self, now: usize, requests: usize) -> Step {
        let count = self.hosts.len();
        for host in &mut self.hosts {
            if host.changes_at_step == now {
                let UptimeRange {
                    min_steps,
                    max_steps,
                } = self.uptimes;
                (host.budget, host.changes_at_step) = match host.budget {
                    Some(_) => (None, now + self.random.random_range(1..=DOWNTIME_MAX_STEPS)),
                    None => (
                        Some((
                            SharedRetryBudget::new(self.options, self.random.random()),
                            now,
                        )),
                        now + self.random.random_range(min_steps..=max_steps),
                    ),
                };
            }
        }
        let mut step = Step {
            requests,
            retries: 0,
        };
        for _ in 0..requests {
            let index = self.random.random_range(0..count);
            if let Some((budget, started_at_step)) = &mut self.hosts[index].budget {
                budget.record_request(age(now, *started_at_step));
            }
        }
        for host in &mut self.hosts {
            if let Some((budget, started_at_step)) = &mut host.budget {
                let age = age(now, *started_at_step);
                while budget.try_retry(age, count) {
                    step.retries += 1;
                }
            }
        }
        step
    }
}

fn age(now: usize, started_at_step: usize) -> Time {
    Time::ZERO + STEP * u32::try_from(now - started_at_step).unwrap()
}

/// Largest excess of retries over the allowed number in any window; negative if no window exceeds it. The
/// allowed number is the allowance and the ratio of the requests in that window, the one half a window
/// earlier or the one a whole window earlier, whichever has the most requests.
fn worst_excess(steps: &[Step], options: RetryBudgetOptions) -> f64 {
    let requests = |from: usize| -> usize {
        let window = steps[from..from + 2 * HALF_WINDOW_STEPS].iter();
        window.map(|step| step.requests).sum()
    };
    let excess = |from: usize| {
        let window = steps[from..from + 2 * HALF_WINDOW_STEPS].iter();
        let retries: usize = window.map(|step| step.retries).sum();
        let most = [from, from - HALF_WINDOW_STEPS, from - 2 * HALF_WINDOW_STEPS].map(requests);
        let most = most.into_iter().max().unwrap_or(0);
        retries as f64 - options.ratio * most as f64 - options.allowance
    };
    let windows = 2 * HALF_WINDOW_STEPS..=steps.len() - 2 * HALF_WINDOW_STEPS;
    windows.map(excess).fold(f64::NEG_INFINITY, f64::max)
}

fn simulate(
    seed: u64,
    count: usize,
    uptimes: UptimeRange,
    requests: impl Fn(usize) -> usize,
) -> f64 {
    simulate_with(OPTIONS, seed, count, uptimes, requests)
}

fn simulate_with(
    options: RetryBudgetOptions,
    seed: u64,
    count: usize,
    uptimes: UptimeRange,
    requests: impl Fn(usize) -> usize,
) -> f64 {
    let mut fleet = Fleet::start(seed, count, options, uptimes);
    let steps: Vec<Step> = (0..STEPS)
        .map(|now| fleet.step(now, requests(now)))
        .collect();
    worst_excess(&steps, options)
}

const SHORT_UPTIMES: UptimeRange = UptimeRange {
    min_steps: 5,
    max_steps: 60,
};
const MIXED_UPTIMES: UptimeRange = UptimeRange {
    min_steps: 5,
    max_steps: 600,
};

#[test]
fn restarting_processes_stay_within_the_budget_at_every_fleet_size() {
    for (count, seeds) in [(6, 40), (66, 10), (300, 3), (1_100, 1)] {
        for uptimes in [SHORT_UPTIMES, MIXED_UPTIMES] {
            for seed in 0..seeds {
                let excess = simulate(seed, count, uptimes, |_| count / 2);

                assert!(
                    excess <= 0.0,
                    "{count} hosts, seed {seed}, {uptimes:?}: {excess}"
                );
            }
        }
    }
}

#[test]
fn bursts_of_requests_stay_within_the_budget() {
    for seed in 0..40 {
        let burst = |now: usize| match (now / HALF_WINDOW_STEPS).is_multiple_of(2) {
            true => 15,
            false => 1,
        };

        let excess = simulate(seed, 6, MIXED_UPTIMES, burst);

        assert!(excess <= 0.0, "seed {seed}: {excess}");
    }
}

#[test]
fn stable_processes_use_most_of_the_budget() {
    let stable = UptimeRange {
        min_steps: STEPS,
        max_steps: STEPS,
    };

    let excess = simulate(1, 6, stable, |_| 3);

    let allowed = OPTIONS.ratio * (3 * 2 * HALF_WINDOW_STEPS) as f64 + OPTIONS.allowance;
    assert!(
        excess <= 0.0 && excess > -allowed / 2.0,
        "{excess} of {allowed}"
    );
}

// A thousand hosts with a budget of 0.6 retries each made no retry at all.
#[test]
fn hosts_with_shares_below_one_retry_use_most_of_the_budget() {
    let options = RetryBudgetOptions {
        allowance: 1_040.0,
        ..OPTIONS
    };
    let stable = UptimeRange {
        min_steps: STEPS,
        max_steps: STEPS,
    };
    let few_requests = |_: usize| 7;

    for seed in 0..3 {
        let excess = simulate_with(options, seed, 986, stable, few_requests);
        let restarting = simulate_with(options, seed, 986, MIXED_UPTIMES, few_requests);

        assert!(
            excess <= 0.0 && excess > -options.allowance / 2.0,
            "{excess}"
        );
        assert!(restarting <= 0.0, "{restarting}");
    }
}
