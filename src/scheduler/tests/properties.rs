//! Random inputs in random order, lost, late and doubled.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::finished;
use super::scheduler;
use super::started;
use super::ticket;
use super::upstream;
use crate::clock::Time;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::schedule::Action;
use crate::schedule::Input;
use crate::schedule::Policy;
use crate::scheduler::Scheduler;

const SEEDS: u64 = 30;
const STEPS: u64 = 2_000;
const UPSTREAMS: usize = 4;

/// What the caller of a scheduler knows.
#[derive(Default)]
struct Caller {
    waiting: BTreeSet<RequestId>,
    granted: BTreeMap<RequestId, UpstreamId>,
    leaving: BTreeSet<UpstreamId>,
}

impl Caller {
    /// Holds the actions against what may be answered.
    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Grant {
                    request, upstream, ..
                } => {
                    assert!(self.waiting.remove(request), "granted what did not wait");
                    assert!(!self.leaving.contains(upstream), "granted a leaving one");
                    self.granted.insert(*request, upstream.clone());
                }
                Action::Refuse { request, .. } => {
                    assert!(self.waiting.remove(request), "refused what did not wait");
                }
                Action::Relocate { request, upstream } => {
                    assert_eq!(self.granted.get(request), Some(upstream));
                }
            }
        }
    }
}

fn name(index: usize) -> String {
    format!("10.0.0.{index}:1")
}

fn random_input(rng: &mut ChaCha8Rng, caller: &mut Caller, next: &mut u128) -> Input {
    let known = u128::from(rng.random_range(1..=(*next as u64)));
    let index = rng.random_range(0..UPSTREAMS);
    match rng.random_range(0..100) {
        0..40 => {
            *next += 1;
            let mut submitted = ticket(*next);
            submitted.prompt_tokens = rng.random_range(1..3_000);
            submitted.customer = ["a", "b", "c"][rng.random_range(0..3)].into();
            submitted.class = ["paid", "free"][rng.random_range(0..2)].into();
            caller.waiting.insert(submitted.request);
            Input::Submit(submitted)
        }
        40..60 => started(known),
        60..80 => Input::Progress {
            request: RequestId::from_u128(known),
            output_tokens: rng.random_range(0..4_000),
        },
        80..92 => finished(known, rng.random_range(0..4_000)),
        92..95 => {
            caller.waiting.remove(&RequestId::from_u128(known));
            Input::Withdraw(RequestId::from_u128(known))
        }
        95 => {
            caller.leaving.insert(name(index).as_str().into());
            Input::UpstreamLeaving(name(index).as_str().into())
        }
        96 | 97 => {
            caller.leaving.remove(&name(index).as_str().into());
            upstream(&name(index), 10_000)
        }
        98 => Input::UpstreamRemoved(name(index).as_str().into()),
        _ => Input::Tick,
    }
}

fn run(seed: u64) -> (Scheduler, Caller, u128) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut scheduler = scheduler(&[10_000; UPSTREAMS]);
    let mut caller = Caller::default();
    let mut next = 1;
    for step in 0..STEPS {
        let now = Time::from_ms(step * rng.random_range(10..=11));
        let input = random_input(&mut rng, &mut caller, &mut next);
        let actions = scheduler.step(now, input);
        caller.check(&actions);
    }
    (scheduler, caller, next)
}

#[test]
fn every_request_is_granted_or_refused_once_and_never_where_it_may_not() {
    for seed in 0..SEEDS {
        let (scheduler, caller, _) = run(seed);

        assert_eq!(scheduler.waiting(), caller.waiting.len(), "seed {seed}");
    }
}

#[test]
fn nothing_is_left_when_all_has_ended() {
    for seed in 0..SEEDS {
        let (mut scheduler, mut caller, next) = run(seed);
        let late = Time::from_ms(STEPS * 20);

        let refused = scheduler.step(late, Input::Tick);
        caller.check(&refused);
        for number in 0..=next {
            scheduler.step(late, finished(number, 1));
        }

        assert_eq!(scheduler.waiting(), 0, "seed {seed}");
        assert_eq!(scheduler.running(), 0, "seed {seed}");
        assert!(scheduler.idle_forecasts(), "seed {seed}");
    }
}
