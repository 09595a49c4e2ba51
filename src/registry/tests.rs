use std::collections::BTreeMap;

use super::Registry;
use super::RegistryAction;
use super::RegistryInput;
use super::RegistryOptions;
use crate::clock::Time;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::peer::PeerMessage;
use crate::schedule::Ticket;
use crate::servicepool::ServicePool;
use crate::spill::Spill;

fn only() -> UpstreamId {
    UpstreamId::new("10.0.0.1:8000")
}

/// A registry of one host and a service with one upstream.
fn registry() -> Registry {
    let host = HostId::new("entry-0");
    let options = RegistryOptions::default();
    let mut registry = Registry::new(options, Spill::default(), host, 1);
    let pool = ServicePool {
        service: "inspection".into(),
        upstreams: vec![only()],
        plain: false,
        high_water_percent: 90,
        ejected_percent_max: 50,
    };
    let pools = RegistryInput::Pools {
        pools: vec![pool],
        engine_priorities: BTreeMap::new(),
    };
    registry.step(Time::ZERO, pools);
    registry
}

fn ticket(avoid: Vec<UpstreamId>) -> Ticket {
    Ticket {
        request: RequestId::from_u128(1),
        host: HostId::new("entry-0"),
        service: "inspection".into(),
        customer: "gemeinde".into(),
        class: "urgent".into(),
        prompt_tokens: 10,
        max_output_tokens: 10,
        repeatable: true,
        prefix_hashes: Vec::new(),
        wait_limit_ms: 60_000,
        avoid,
    }
}

fn submits(actions: &[RegistryAction]) -> usize {
    let submits = actions.iter().filter(|action| {
        matches!(action, RegistryAction::Send { message: PeerMessage::Submit(ticket), .. }
            if ticket.avoid.is_empty())
    });
    submits.count()
}

#[test]
fn a_request_that_its_only_upstream_moved_once_tries_it_again_at_once() {
    let mut registry = registry();

    let actions = registry.step(Time::ZERO, RegistryInput::Submit(ticket(vec![only()])));

    assert_eq!(submits(&actions), 1);
}

#[test]
fn a_request_that_its_only_upstream_moved_again_and_again_waits_and_is_not_refused() {
    let mut registry = registry();
    let moved = ticket(vec![only(); 5]);

    let at_once = registry.step(Time::ZERO, RegistryInput::Submit(moved));
    let later = registry.step(Time::from_ms(300), RegistryInput::Tick);

    assert!(at_once.is_empty(), "{at_once:?}");
    assert_eq!(submits(&later), 1);
}
