use crate::baselines::Baseline;
use crate::baselines::Choice;
use crate::clock::Time;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::schedule::Action;
use crate::schedule::Ending;
use crate::schedule::Input;
use crate::schedule::Policy;
use crate::schedule::Ticket;
use crate::schedule::UpstreamSpec;

fn baseline(choice: Choice) -> Baseline {
    let mut baseline = Baseline::new(choice);
    for name in ["a", "b", "c"] {
        baseline.step(
            Time::ZERO,
            Input::Upstream(UpstreamSpec {
                upstream: UpstreamId::from(name),
                memory_tokens: 1_000,
                high_water_percent: 95,
            }),
        );
    }
    baseline
}

fn submit(baseline: &mut Baseline, number: u128) -> Option<String> {
    let ticket = Ticket {
        request: RequestId::from_u128(number),
        host: HostId::from("h"),
        service: ServiceId::from("s"),
        customer: CustomerId::from("c"),
        class: ClassId::from("k"),
        prompt_tokens: 1,
        max_output_tokens: 1,
        repeatable: true,
        prefix_hashes: Vec::new(),
        wait_limit_ms: 1_000,
        avoid: vec![UpstreamId::from("c")],
    };
    match baseline.step(Time::ZERO, Input::Submit(ticket)).as_slice() {
        [Action::Grant { upstream, .. }] => Some(upstream.to_string()),
        _ => None,
    }
}

#[test]
fn round_robin_takes_each_in_turn_but_those_to_avoid() {
    let mut baseline = baseline(Choice::RoundRobin);

    let chosen: Vec<_> = (0..3).map(|n| submit(&mut baseline, n).unwrap()).collect();

    assert_eq!(chosen, vec!["a", "b", "a"]);
}

#[test]
fn least_requests_follows_what_has_ended() {
    let mut baseline = baseline(Choice::LeastRequests);
    assert_eq!(submit(&mut baseline, 0).as_deref(), Some("a"));
    assert_eq!(submit(&mut baseline, 1).as_deref(), Some("b"));
    baseline.step(
        Time::ZERO,
        Input::Finished {
            request: RequestId::from_u128(1),
            output_tokens: 1,
            ending: Ending::Complete,
            cached_prompt_tokens: 0,
        },
    );

    let chosen = submit(&mut baseline, 2);

    assert_eq!(chosen.as_deref(), Some("b"));
}

#[test]
fn leaving_upstreams_get_nothing() {
    let mut baseline = baseline(Choice::LeastRequests);
    baseline.step(Time::ZERO, Input::UpstreamLeaving(UpstreamId::from("a")));
    baseline.step(Time::ZERO, Input::UpstreamRemoved(UpstreamId::from("b")));

    let chosen = submit(&mut baseline, 0);

    assert_eq!(chosen, None);
}
