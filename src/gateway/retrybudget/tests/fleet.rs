//! Hosts that start, end and stop in series, each of which retries whenever its budget has room.

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
const HALF: usize = 100;
/// Longest time without a process of a host, in steps.
const PAUSE_MAX: usize = 20;

/// How long processes last, in steps.
#[derive(Debug, Clone, Copy)]
struct Lives {
    shortest: usize,
    longest: usize,
}

/// What reached the upstreams in each step.
#[derive(Debug, Default, Clone, Copy)]
struct Step {
    requests: usize,
    retries: usize,
}

/// A host: the budget of its process, if one runs, since when, and when that changes.
struct Host {
    budget: Option<(SharedRetryBudget, usize)>,
    changes_at: usize,
}

struct Fleet {
    random: ChaCha8Rng,
    options: RetryBudgetOptions,
    lives: Lives,
    hosts: Vec<Host>,
}

impl Fleet {
    /// Hosts that have run for a long time when the first step begins.
    fn start(seed: u64, count: usize, options: RetryBudgetOptions, lives: Lives) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let hosts = (0..count).map(|_| Host {
            budget: Some((SharedRetryBudget::new(options, random.random()), 0)),
            changes_at: 4 * HALF + random.random_range(0..=lives.longest),
        });
        Fleet {
            hosts: hosts.collect(),
            options,
            lives,
            random,
        }
    }

    /// One step in which `requests` requests arrive, at hosts drawn among those that run.
    fn step(&mut self, now: usize, requests: usize) -> Step {
        let count = self.hosts.len();
        for host in &mut self.hosts {
            if host.changes_at == now {
                let Lives { shortest, longest } = self.lives;
                (host.budget, host.changes_at) = match host.budget {
                    Some(_) => (None, now + self.random.random_range(1..=PAUSE_MAX)),
                    None => (
                        Some((
                            SharedRetryBudget::new(self.options, self.random.random()),
                            now,
                        )),
                        now + self.random.random_range(shortest..=longest),
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
            if let Some((budget, since)) = &mut self.hosts[index].budget {
                budget.record_request(age(now, *since));
            }
        }
        for host in &mut self.hosts {
            if let Some((budget, since)) = &mut host.budget {
                let age = age(now, *since);
                while budget.try_retry(age, count) {
                    step.retries += 1;
                }
            }
        }
        step
    }
}

fn age(now: usize, since: usize) -> Time {
    Time::ZERO + STEP * u32::try_from(now - since).unwrap()
}

/// The window in which retries exceed what is allowed by most, and by how much: negative where none does. Allowed is the
/// ratio of the requests in that window, the one before or the one half a window before, whichever has most.
fn worst_excess(steps: &[Step], options: RetryBudgetOptions) -> f64 {
    let requests = |from: usize| -> usize {
        let window = steps[from..from + 2 * HALF].iter();
        window.map(|step| step.requests).sum()
    };
    let excess = |from: usize| {
        let window = steps[from..from + 2 * HALF].iter();
        let retries: usize = window.map(|step| step.retries).sum();
        let most = [from, from - HALF, from - 2 * HALF].map(requests);
        let most = most.into_iter().max().unwrap_or(0);
        retries as f64 - options.ratio * most as f64 - options.allowance
    };
    let windows = 2 * HALF..=steps.len() - 2 * HALF;
    windows.map(excess).fold(f64::NEG_INFINITY, f64::max)
}

fn play(seed: u64, count: usize, lives: Lives, requests: impl Fn(usize) -> usize) -> f64 {
    play_with(OPTIONS, seed, count, lives, requests)
}

fn play_with(
    options: RetryBudgetOptions,
    seed: u64,
    count: usize,
    lives: Lives,
    requests: impl Fn(usize) -> usize,
) -> f64 {
    let mut fleet = Fleet::start(seed, count, options, lives);
    let steps: Vec<Step> = (0..STEPS)
        .map(|now| fleet.step(now, requests(now)))
        .collect();
    worst_excess(&steps, options)
}

const SHORT: Lives = Lives {
    shortest: 5,
    longest: 60,
};
const MIXED: Lives = Lives {
    shortest: 5,
    longest: 600,
};

#[test]
fn processes_that_start_in_series_keep_the_budget_at_every_size() {
    for (count, seeds) in [(6, 40), (66, 10), (300, 3), (1_100, 1)] {
        for lives in [SHORT, MIXED] {
            for seed in 0..seeds {
                let excess = play(seed, count, lives, |_| count / 2);

                assert!(
                    excess <= 0.0,
                    "{count} hosts, seed {seed}, {lives:?}: {excess}"
                );
            }
        }
    }
}

#[test]
fn the_budget_is_kept_while_requests_come_in_bursts() {
    for seed in 0..40 {
        let burst = |now: usize| match (now / HALF).is_multiple_of(2) {
            true => 15,
            false => 1,
        };

        let excess = play(seed, 6, MIXED, burst);

        assert!(excess <= 0.0, "seed {seed}: {excess}");
    }
}

#[test]
fn processes_that_last_use_most_of_the_budget() {
    let lasting = Lives {
        shortest: STEPS,
        longest: STEPS,
    };

    let excess = play(1, 6, lasting, |_| 3);

    let allowed = OPTIONS.ratio * (3 * 2 * HALF) as f64 + OPTIONS.allowance;
    assert!(
        excess <= 0.0 && excess > -allowed / 2.0,
        "{excess} of {allowed}"
    );
}

// A thousand hosts of which each might make 0.6 retries made none.
#[test]
fn hosts_whose_part_is_less_than_one_retry_use_most_of_the_budget_together() {
    let options = RetryBudgetOptions {
        allowance: 1_040.0,
        ..OPTIONS
    };
    let lasting = Lives {
        shortest: STEPS,
        longest: STEPS,
    };
    let few = |_: usize| 7;

    for seed in 0..3 {
        let excess = play_with(options, seed, 986, lasting, few);
        let in_series = play_with(options, seed, 986, MIXED, few);

        assert!(
            excess <= 0.0 && excess > -options.allowance / 2.0,
            "{excess}"
        );
        assert!(in_series <= 0.0, "{in_series}");
    }
}
