use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::Decision;
use super::EngineView;
use super::JoinOutcome;
use super::SharedQueue;
use super::Waiter;
use super::WaiterId;
use crate::clock::Time;
use crate::gateway::directory::Upstream;
use crate::gateway::directory::UpstreamState;
use crate::gateway::enginestats::EngineStats;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::Load;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::sharedqueue::tests::model::with_view;
use crate::gateway::speeds::Slowness;
use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VersionId;

mod model;
mod order;
mod outages;
mod returns;
mod shares;

const MEMORY_TOKENS: u32 = 34_000;
const OBJECTIVE: Duration = Duration::from_millis(1_800);

fn candidate(number: usize, load: Load) -> Candidate {
    Candidate {
        upstream: Arc::new(Upstream {
            id: InstanceId::from(UpstreamId::new(format!("engine-{number}"))),
            service: ServiceId::new("inspection"),
            address: "127.0.0.1:9000".parse().unwrap(),
            data_centre: DataCentre::new("north"),
            state: UpstreamState::Ready,
            slots: 24,
            cold_left_ms: 0,
            version: VersionId::new("v1"),
            sequence: 0,
        }),
        load,
        reported: None,
        slowness: Slowness::default(),
        unhealthy: false,
    }
}

/// An engine that runs eight generations of `tokens` in all.
fn busy(number: usize, tokens: u32) -> Candidate {
    let load = Load {
        requests: 8,
        tokens,
        unread_tokens: 0,
    };
    candidate(number, load)
}

fn waiter(number: u64, tokens: u32) -> Waiter {
    let arrived_at = Time::from_ms(number);
    Waiter {
        id: WaiterId {
            host: "host-1".into(),
            number,
        },
        rank: 1,
        customer: Some("crew".into()),
        weight: 1,
        content: format!("{number:032x}").parse().unwrap(),
        need: Need::Memory {
            tokens,
            prompt_tokens: 500,
            memory_tokens: MEMORY_TOKENS,
        },
        arrived_at,
        objective: OBJECTIVE,
        deadline: arrived_at + Duration::from_secs(20),
        run_time: Duration::from_secs(4),
        avoid: Vec::new(),
        regions: None,
    }
}

fn join(
    queue: &mut SharedQueue,
    now_ms: u64,
    waiter: Waiter,
    engines: &[Candidate],
) -> JoinOutcome {
    let stats = EngineStats::default();
    with_view(engines, &stats, |view| {
        queue.join(Time::from_ms(now_ms), waiter, view)
    })
}

fn decide(queue: &mut SharedQueue, now_ms: u64, engines: &[Candidate]) -> Vec<Decision> {
    let stats = EngineStats::default();
    with_view(engines, &stats, |view| {
        queue.decide(Time::from_ms(now_ms), view, || 0.0)
    })
}

/// The numbers of the generations that start, and where.
fn starts(decisions: &[Decision]) -> Vec<(u64, String)> {
    let starts = decisions.iter().filter_map(|decision| match decision {
        Decision::Start { id, engine, .. } => Some((id.number, engine.to_string())),
        Decision::Refuse { .. } => None,
    });
    starts.collect()
}

/// A queue in which the generations wait.
fn queue_of(waiters: impl IntoIterator<Item = Waiter>, engines: &[Candidate]) -> SharedQueue {
    let mut queue = SharedQueue::default();
    for waiter in waiters {
        let outcome = join(&mut queue, 10, waiter, engines);
        assert!(matches!(outcome, JoinOutcome::Queued(_)), "{outcome:?}");
    }
    queue
}

fn full(engines: usize) -> Vec<Candidate> {
    (0..engines).map(|number| busy(number, 33_900)).collect()
}

#[test]
fn the_more_urgent_start_first_then_those_that_arrived_first() {
    let urgent = Waiter {
        rank: 0,
        ..waiter(3, 4_000)
    };
    let mut queue = queue_of([waiter(2, 4_000), waiter(1, 4_000), urgent], &full(60));

    let decisions = decide(&mut queue, 20, &[busy(0, 22_000)]);

    let started: Vec<u64> = starts(&decisions)
        .iter()
        .map(|(number, _)| *number)
        .collect();
    assert_eq!(started, [3, 1, 2]);
    assert!(queue.is_empty());
}

#[test]
fn an_unhealthy_engine_is_used_only_where_no_other_is_left() {
    let ill = Candidate {
        unhealthy: true,
        ..busy(1, 1_000)
    };
    let mut queue = queue_of([waiter(1, 4_000)], &full(60));

    let beside_healthy = decide(&mut queue, 20, &[busy(0, 33_900), ill.clone()]);
    let alone = decide(&mut queue, 30, &[ill]);

    assert_eq!(starts(&beside_healthy), []);
    assert_eq!(starts(&alone), [(1, "engine-1".to_owned())]);
}

#[test]
fn avoided_engines_and_other_regions_are_not_used() {
    let avoids = Waiter {
        avoid: vec![busy(0, 0).upstream.id.key()],
        ..waiter(1, 4_000)
    };
    let elsewhere = Waiter {
        regions: Some(BTreeSet::from(["abroad".into()])),
        ..waiter(2, 4_000)
    };
    let mut queue = SharedQueue::default();
    let engines = [busy(0, 1_000), busy(1, 2_000)];

    let outcome = join(&mut queue, 10, elsewhere, &engines);
    join(&mut queue, 10, avoids, &engines);
    let decisions = decide(&mut queue, 10, &engines);

    assert!(matches!(outcome, JoinOutcome::Refused(_)), "{outcome:?}");
    assert_eq!(starts(&decisions), [(1, "engine-1".to_owned())]);
}

#[test]
fn what_can_not_be_served_is_refused_on_joining() {
    let mut queue = SharedQueue::default();
    let avoids_all = Waiter {
        avoid: vec![busy(0, 0).upstream.id.key()],
        ..waiter(1, 4_000)
    };
    let too_late = Waiter {
        deadline: Time::from_ms(9),
        ..waiter(2, 4_000)
    };

    let outcomes = [
        join(&mut queue, 10, avoids_all, &[busy(0, 1_000)]),
        join(&mut queue, 10, too_late, &[busy(0, 1_000)]),
        join(&mut queue, 10, waiter(3, 4_000), &[]),
        join(&mut queue, 1_100, waiter(4, 4_000), &full(60)),
    ];

    let is_refused = |outcome: &JoinOutcome| matches!(outcome, JoinOutcome::Refused(_));
    assert!(outcomes.iter().all(is_refused), "{outcomes:?}");
    assert!(queue.is_empty());
}

#[test]
fn it_is_refused_at_once_where_too_much_is_ahead_and_as_it_waits_where_that_becomes_so() {
    let mut queue = queue_of((1..=7).map(|number| waiter(number, 4_000)), &full(6));

    let eighth = join(&mut queue, 10, waiter(8, 4_000), &full(6));
    let urgent = (20..24).map(|number| Waiter {
        rank: 0,
        ..waiter(number, 4_000)
    });
    for urgent in urgent {
        join(&mut queue, 24, urgent, &full(6));
    }
    let decisions = decide(&mut queue, 25, &full(6));

    assert!(matches!(eighth, JoinOutcome::Refused(_)), "{eighth:?}");
    let refused = decisions.iter().map(|decision| match decision {
        Decision::Refuse { id, .. } => id.number,
        Decision::Start { .. } => 0,
    });
    let refused: Vec<u64> = refused.collect();
    assert_eq!(refused, [6, 7]);
}

#[test]
fn one_that_fits_nowhere_reserves_an_engine_and_others_use_the_rest() {
    let long = waiter(1, 20_000);
    let short = waiter(2, 2_000);
    let mut queue = queue_of([long, short], &full(60));

    let decisions = decide(&mut queue, 20, &[busy(0, 31_000), busy(1, 20_000)]);
    let later = decide(&mut queue, 30, &[busy(0, 31_000), busy(1, 14_000)]);

    assert_eq!(starts(&decisions), [(2, "engine-0".to_owned())]);
    assert_eq!(starts(&later), [(1, "engine-1".to_owned())]);
}

#[test]
fn one_whose_host_is_silent_leaves() {
    let mut queue = queue_of([waiter(1, 4_000), waiter(2, 4_000)], &full(60));
    join(&mut queue, 300, waiter(2, 4_000), &full(60));

    decide(&mut queue, 311, &full(60));

    assert_eq!(queue.len(), 1);
    assert!(queue.standings.keys().all(|id| id.number == 2));
}

/// Renewing must not move a generation behind those that arrived after it.
#[test]
fn a_renewed_generation_keeps_its_place() {
    let mut queue = queue_of([waiter(1, 4_000), waiter(2, 4_000)], &full(60));

    join(
        &mut queue,
        50,
        Waiter {
            arrived_at: Time::from_ms(9),
            ..waiter(1, 4_000)
        },
        &full(60),
    );
    let decisions = decide(&mut queue, 60, &[busy(0, 29_000)]);

    assert_eq!(starts(&decisions), [(1, "engine-0".to_owned())]);
}

/// Prints what a decision costs, with 60 engines and 200 generations that wait.
#[test]
#[ignore = "measures"]
fn cost_of_a_decision() {
    let engines = full(60);
    let stats = EngineStats::default();
    let mut queue = SharedQueue::default();
    for number in 0..200 {
        let waiter = Waiter {
            customer: Some(format!("customer-{}", number % 20).as_str().into()),
            objective: Duration::from_secs(60),
            ..waiter(number, 3_000 + 20 * (number * 7 % 100) as u32)
        };
        with_view(&engines, &stats, |view| {
            queue.join(Time::from_ms(200), waiter, view)
        });
    }
    let rounds = 2_000;
    let began = std::time::Instant::now();
    with_view(&engines, &stats, |view: &EngineView<'_>| {
        for _ in 0..rounds {
            assert!(queue.decide(Time::from_ms(201), view, || 0.5).is_empty());
        }
    });
    println!(
        "{} waiting: {:?} a decision",
        queue.len(),
        began.elapsed() / rounds
    );
    let began = std::time::Instant::now();
    with_view(&engines, &stats, |view: &EngineView<'_>| {
        for number in 0..rounds {
            let late = waiter(1_000 + u64::from(number), 4_000);
            let id = late.id.clone();
            queue.join(Time::from_ms(201), late, view);
            queue.leave(&id);
        }
    });
    println!("{:?} a new one that joins", began.elapsed() / rounds);
}

// Guards against urgent generations being refused while less urgent ones take each piece of memory that becomes
// free: between two arrivals of the urgent rank none of it waits.
#[test]
fn the_less_urgent_are_held_back_while_more_urgent_ones_are_refused() {
    let hopeless = Waiter {
        rank: 0,
        objective: Duration::from_millis(10),
        ..waiter(12, 4_000)
    };
    let mut queue = queue_of([waiter(1, 4_000)], &full(60));
    let refused = join(&mut queue, 13, hopeless, &full(60));

    let at_once = decide(&mut queue, 20, &[busy(0, 22_000)]);
    let is_open = queue.is_open(Time::from_ms(20));
    let later = decide(&mut queue, 230, &[busy(0, 22_000)]);

    assert!(matches!(refused, JoinOutcome::Refused(_)), "{refused:?}");
    assert!(at_once.is_empty() && is_open);
    assert_eq!(starts(&later), [(1, "engine-0".to_owned())]);
}
