use super::Caution;
use super::Placement;
use crate::admission::Trajectory;
use crate::clock::Time;
use crate::ejection::EjectionOptions;
use crate::estimator::Estimator;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::schedule::Ticket;
use crate::schedule::UpstreamSpec;

fn upstream(index: usize) -> UpstreamId {
    UpstreamId::new(format!("10.0.0.{index}:1"))
}

fn placement(upstreams: usize) -> Placement {
    let caution = Caution {
        deviations: 1.0,
        prior_memory_tokens: 10_000,
    };
    let mut placement = Placement::new(caution, EjectionOptions::default());
    for index in 0..upstreams {
        let spec = UpstreamSpec {
            upstream: upstream(index),
            memory_tokens: 10_000,
            high_water_percent: 90,
        };
        placement.join(Time::ZERO, spec);
    }
    placement
}

fn ticket(prefix_hashes: Vec<u64>) -> Ticket {
    Ticket {
        request: RequestId::from_u128(1),
        host: "host-1".into(),
        service: "inspection".into(),
        customer: "crew".into(),
        class: "paid".into(),
        prompt_tokens: 100,
        max_output_tokens: 100,
        repeatable: true,
        prefix_hashes,
        wait_limit_ms: 1_000,
        avoid: Vec::new(),
    }
}

fn sequence(held: u32) -> Trajectory {
    let mut estimator = Estimator::new(512);
    Trajectory::new(estimator.service_curve(Time::ZERO), held, 0, 100)
}

fn fill(placement: &mut Placement, slot: usize, held: u32) {
    placement.update(Time::ZERO, slot, |upstream| {
        upstream.forecast += &sequence(held);
    });
}

fn chosen(placement: &Placement, ticket: &Ticket) -> Option<usize> {
    placement
        .choose(Time::ZERO, ticket, &sequence(100))
        .map(|choice| choice.slot)
}

#[test]
fn the_upstream_with_most_headroom_is_chosen() {
    let mut placement = placement(3);
    fill(&mut placement, 0, 5_000);
    fill(&mut placement, 1, 2_000);
    fill(&mut placement, 2, 3_000);

    assert_eq!(chosen(&placement, &ticket(Vec::new())), Some(1));
}

#[test]
fn a_held_prefix_outweighs_a_little_headroom_and_not_much() {
    let mut placement = placement(2);
    placement.affinity.stored(Time::ZERO, 0, 7);
    fill(&mut placement, 0, 1_000);
    let little = chosen(&placement, &ticket(vec![7]));
    fill(&mut placement, 0, 6_000);

    assert_eq!(little, Some(0));
    assert_eq!(chosen(&placement, &ticket(vec![7])), Some(1));
}

#[test]
fn leaving_avoided_and_full_upstreams_are_not_chosen() {
    let mut placement = placement(3);
    placement.update(Time::ZERO, 0, |upstream| upstream.leaving = true);
    fill(&mut placement, 1, 9_500);
    let mut avoiding = ticket(Vec::new());
    avoiding.avoid.push(upstream(2));

    assert_eq!(chosen(&placement, &avoiding), None);
    assert_eq!(chosen(&placement, &ticket(Vec::new())), Some(2));
}

#[test]
fn an_idle_upstream_takes_what_exceeds_its_high_water_mark() {
    let placement = placement(1);
    let mut large = ticket(Vec::new());
    large.prompt_tokens = 9_900;

    let choice = placement.choose(Time::ZERO, &large, &sequence(9_900));

    assert!(choice.is_some());
    assert!(!placement.never_fits(9_900));
    assert!(placement.never_fits(10_000));
}

#[test]
fn a_removed_upstream_gives_its_slot_to_another() {
    let mut placement = placement(2);
    placement.affinity.stored(Time::ZERO, 0, 7);

    placement.remove(&upstream(0));
    let spec = UpstreamSpec {
        upstream: upstream(9),
        memory_tokens: 0,
        high_water_percent: 90,
    };
    placement.join(Time::ZERO, spec);

    assert_eq!(placement.slot(&upstream(9)), Some(0));
    assert_eq!(placement.affinity.hints(Time::ZERO, &[7]), []);
    assert_eq!(placement.len(), 2);
}
