use std::collections::BTreeMap;

use super::Seen;
use super::Wanted;
use super::next_change;
use crate::clock::Time;
use crate::id::UpstreamId;
use crate::wire::OrderState;
use crate::wire::Role;

fn wanted() -> Wanted {
    Wanted {
        model: "m@2".to_owned(),
        adapters: Vec::new(),
        role: Role::Serve,
    }
}

fn seen(model: &str, role: Role, at_ms: u64) -> Seen {
    Seen {
        state: Some(OrderState {
            model: model.to_owned(),
            role,
            ..OrderState::default()
        }),
        at: Time::from_ms(at_ms),
        ..Seen::default()
    }
}

fn upstreams(seen: impl IntoIterator<Item = Seen>) -> BTreeMap<UpstreamId, Seen> {
    let named = seen.into_iter().enumerate();
    named
        .map(|(index, seen)| (UpstreamId::new(format!("e{index}")), seen))
        .collect()
}

#[test]
fn states_read_before_the_lease_count_for_nothing() {
    let upstreams = upstreams([seen("m@1", Role::Serve, 10), seen("m@1", Role::Serve, 9)]);

    let before = next_change(&wanted(), &upstreams, Time::from_ms(10));
    let after = next_change(&wanted(), &upstreams, Time::from_ms(9));

    assert_eq!(before, None);
    assert_eq!(after, Some(&UpstreamId::from("e0")));
}

#[test]
fn upstreams_that_do_not_serve_go_first() {
    let upstreams = upstreams([seen("m@1", Role::Serve, 1), seen("m@1", Role::Leave, 1)]);

    let next = next_change(&wanted(), &upstreams, Time::ZERO);

    assert_eq!(next, Some(&UpstreamId::from("e1")));
}
