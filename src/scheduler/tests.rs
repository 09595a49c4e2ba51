mod properties;

use super::Scheduler;
use super::SchedulerOptions;
use crate::clock::Time;
use crate::id::AttemptId;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::schedule::Action;
use crate::schedule::Ending;
use crate::schedule::Input;
use crate::schedule::Policy;
use crate::schedule::Ticket;
use crate::schedule::UpstreamSpec;

fn ticket(number: u128) -> Ticket {
    Ticket {
        request: RequestId::from_u128(number),
        host: "host-1".into(),
        service: "inspection".into(),
        customer: "crew".into(),
        class: "standard".into(),
        prompt_tokens: 100,
        max_output_tokens: 4_096,
        repeatable: true,
        prefix_hashes: Vec::new(),
        wait_limit_ms: 5_000,
        avoid: Vec::new(),
    }
}

fn upstream(name: &str, memory_tokens: u64) -> Input {
    Input::Upstream(UpstreamSpec {
        upstream: name.into(),
        memory_tokens,
        high_water_percent: 90,
    })
}

fn scheduler(memory_tokens: &[u64]) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions::default());
    for (index, memory_tokens) in memory_tokens.iter().enumerate() {
        scheduler.step(
            Time::ZERO,
            upstream(&format!("10.0.0.{index}:1"), *memory_tokens),
        );
    }
    scheduler
}

fn granted(actions: &[Action]) -> Vec<(RequestId, UpstreamId)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Grant {
                request, upstream, ..
            } => Some((*request, upstream.clone())),
            _ => None,
        })
        .collect()
}

fn refused(actions: &[Action]) -> Vec<RequestId> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Refuse { request, .. } => Some(*request),
            _ => None,
        })
        .collect()
}

fn started(number: u128) -> Input {
    Input::Started {
        request: RequestId::from_u128(number),
        attempt: AttemptId::from_u128(number),
    }
}

fn finished(number: u128, output_tokens: u32) -> Input {
    Input::Finished {
        request: RequestId::from_u128(number),
        output_tokens,
        ending: Ending::Complete,
        cached_prompt_tokens: 0,
    }
}

impl Scheduler {
    /// Whether no upstream is predicted to hold anything.
    fn idle_forecasts(&self) -> bool {
        (0..self.placement.len())
            .filter_map(|slot| self.placement.get(slot))
            .all(|upstream| upstream.forecast.sequences() == 0 && upstream.prefill_tokens == 0)
    }
}

#[test]
fn a_request_is_granted_at_once_where_there_is_room() {
    let mut scheduler = scheduler(&[10_000]);

    let actions = scheduler.step(Time::ZERO, Input::Submit(ticket(1)));

    assert_eq!(granted(&actions).len(), 1);
    assert_eq!(scheduler.running(), 1);
}

#[test]
fn a_full_upstream_makes_requests_wait_until_one_finishes() {
    let mut scheduler = scheduler(&[1_000]);
    scheduler.step(Time::ZERO, Input::Submit(ticket(1)));
    scheduler.step(Time::ZERO, started(1));

    let waiting = scheduler.step(Time::from_ms(1), Input::Submit(ticket(2)));
    let after = scheduler.step(Time::from_ms(2), finished(1, 10));

    assert_eq!(granted(&waiting), []);
    assert_eq!(granted(&after).len(), 1);
}

#[test]
fn a_request_that_waits_too_long_is_refused_and_did_not_run() {
    let mut scheduler = scheduler(&[]);
    scheduler.step(Time::ZERO, Input::Submit(ticket(1)));

    let before = scheduler.step(Time::from_ms(4_999), Input::Tick);
    let after = scheduler.step(Time::from_ms(5_000), Input::Tick);

    assert_eq!(refused(&before), []);
    assert_eq!(refused(&after), [RequestId::from_u128(1)]);
    assert_eq!(scheduler.waiting(), 0);
}

#[test]
fn a_grant_that_is_not_started_expires_and_its_room_is_granted_again() {
    let mut scheduler = scheduler(&[1_000]);
    scheduler.step(Time::ZERO, Input::Submit(ticket(1)));
    scheduler.step(Time::ZERO, Input::Submit(ticket(2)));

    let actions = scheduler.step(Time::from_ms(1_000), Input::Tick);

    assert_eq!(granted(&actions)[0].0, RequestId::from_u128(2));
}

#[test]
fn a_leaving_upstream_gets_no_new_work_and_its_tokenless_requests_move() {
    let mut scheduler = scheduler(&[10_000]);
    scheduler.step(Time::ZERO, Input::Submit(ticket(1)));
    scheduler.step(Time::ZERO, started(1));

    let moved = scheduler.step(Time::ZERO, Input::UpstreamLeaving("10.0.0.0:1".into()));
    let later = scheduler.step(Time::from_ms(1), Input::Submit(ticket(2)));

    assert!(matches!(moved.as_slice(), [Action::Relocate { .. }]));
    assert_eq!(granted(&later), []);
}

#[test]
fn a_smaller_request_passes_one_that_fits_nowhere_but_not_for_long() {
    let mut scheduler = scheduler(&[4_000]);
    scheduler.step(Time::ZERO, Input::Submit(ticket(1)));
    scheduler.step(Time::ZERO, started(1));
    let mut large = ticket(2);
    large.customer = "barrier".into();
    large.prompt_tokens = 3_500;
    let small = |number| Ticket {
        customer: format!("crew-{number}").as_str().into(),
        prompt_tokens: 10,
        max_output_tokens: 10,
        ..ticket(number)
    };
    scheduler.step(Time::ZERO, Input::Submit(large));

    let early = scheduler.step(Time::from_ms(500), Input::Submit(small(3)));
    let late = scheduler.step(Time::from_ms(1_500), Input::Submit(small(4)));
    let freed = scheduler.step(Time::from_ms(1_500), finished(1, 50));

    assert_eq!(granted(&early)[0].0, RequestId::from_u128(3));
    assert_eq!(granted(&late), []);
    assert_eq!(scheduler.waiting(), 2 - granted(&freed).len());
}

#[test]
fn a_failing_upstream_is_left_alone_until_a_probe_succeeds() {
    let mut scheduler = scheduler(&[10_000, 10_000]);
    let failing: UpstreamId = "10.0.0.0:1".into();
    for number in 1..=20 {
        let now = Time::from_ms(number as u64);
        let actions = scheduler.step(now, Input::Submit(ticket(number)));
        let upstream = granted(&actions)[0].1.clone();
        let ending = if upstream == failing {
            Ending::UpstreamFailed
        } else {
            Ending::Complete
        };
        let end = Input::Finished {
            request: RequestId::from_u128(number),
            output_tokens: 0,
            ending,
            cached_prompt_tokens: 0,
        };
        scheduler.step(now, end);
    }

    let ejected = scheduler.step(Time::from_ms(100), Input::Submit(ticket(21)));
    scheduler.step(Time::from_ms(100), started(21));
    let probe = scheduler.step(Time::from_ms(3_000), Input::Submit(ticket(22)));

    assert_ne!(granted(&ejected)[0].1, failing);
    assert_eq!(granted(&probe)[0].1, failing);
}
