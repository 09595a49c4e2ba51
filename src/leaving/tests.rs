use super::Leaving;
use super::MARK_LASTS;
use crate::clock::Time;
use crate::id::DataCentre;
use crate::id::UpstreamId;
use crate::platform::HostKind;
use crate::platform::HostList;
use crate::platform::HostState;
use crate::platform::ListedHost;

fn here() -> DataCentre {
    DataCentre::new("dc-a")
}

fn upstream() -> UpstreamId {
    UpstreamId::new("10.0.1.1:8000")
}

fn listed(state: HostState, data_centre: &str) -> HostList {
    HostList {
        hosts: vec![ListedHost {
            address: upstream().as_str().to_owned(),
            kind: HostKind::Upstream,
            data_centre: DataCentre::new(data_centre),
            state,
        }],
    }
}

#[test]
fn the_list_marks_once_and_a_stale_one_renews_nothing() {
    let mut leaving = Leaving::default();
    let list = listed(HostState::Leaving, "dc-a");

    let first = leaving.list(Time::ZERO, &list, &here());
    let second = leaving.list(Time::from_ms(2_000), &list, &here());

    assert_eq!(first, vec![upstream()]);
    assert!(second.is_empty());
    assert!(leaving.all().contains(&upstream()));
    assert!(leaving.lapse(Time::ZERO + MARK_LASTS));
    assert!(leaving.all().is_empty());
}

#[test]
fn another_data_centres_upstreams_are_not_marked() {
    let mut leaving = Leaving::default();

    let fresh = leaving.list(Time::ZERO, &listed(HostState::Leaving, "dc-b"), &here());

    assert!(fresh.is_empty());
}

#[test]
fn what_others_say_is_believed_and_not_repeated() {
    let mut leaving = Leaving::default();

    leaving.hear(Time::ZERO, &upstream());

    assert!(leaving.all().contains(&upstream()));
    assert!(leaving.witnessed().is_empty());
}
