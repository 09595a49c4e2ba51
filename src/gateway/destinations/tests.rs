use std::collections::BTreeSet;
use std::sync::Arc;

use super::Scope;
use super::assign;
use crate::gateway::directory::Upstream;
use crate::gateway::directory::UpstreamState;
use crate::gateway::instance::InstanceId;
use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VersionId;

fn engine(id: &str, data_centre: &str) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: InstanceId::from(UpstreamId::new(id)),
        service: ServiceId::new("reports"),
        address: "10.0.0.1:8000".parse().unwrap(),
        data_centre: DataCentre::new(data_centre),
        state: UpstreamState::Ready,
        slots: 8,
        cold_left_ms: 0,
        version: VersionId::new("v1"),
        sequence: 0,
    })
}

fn engines(ids: &[&str], data_centre: &str) -> Vec<Arc<Upstream>> {
    ids.iter().map(|id| engine(id, data_centre)).collect()
}

fn ids(names: &[&str]) -> BTreeSet<InstanceId> {
    names
        .iter()
        .map(|name| InstanceId::from(UpstreamId::new(*name)))
        .collect()
}

#[test]
fn no_engine_takes_runs_of_two_leaving_ones() {
    let leaving = engines(&["x", "y"], "north");
    let ready = engines(&["a", "b", "c", "d", "e"], "north");

    let of_x = assign(&leaving[0].id, &leaving, &ready, Scope::Local);
    let of_y = assign(&leaving[1].id, &leaving, &ready, Scope::Local);

    assert_eq!(of_x, ids(&["a", "c", "e"]));
    assert_eq!(of_y, ids(&["b", "d"]));
}

#[test]
fn engines_take_runs_of_their_own_data_centre() {
    let leaving = [engine("x", "north"), engine("y", "south")];
    let mut ready = engines(&["a", "b"], "north");
    ready.extend(engines(&["c", "d"], "south"));

    assert_eq!(
        assign(&leaving[0].id, &leaving, &ready, Scope::Local),
        ids(&["a", "b"])
    );
    assert_eq!(
        assign(&leaving[1].id, &leaving, &ready, Scope::Local),
        ids(&["c", "d"])
    );
}

#[test]
fn engines_of_a_data_centre_where_none_leaves_are_divided_among_all() {
    let leaving = [engine("x", "north"), engine("y", "south")];
    let ready = engines(&["a", "b", "c"], "east");

    assert_eq!(
        assign(&leaving[0].id, &leaving, &ready, Scope::Local),
        ids(&["a", "c"])
    );
    assert_eq!(
        assign(&leaving[1].id, &leaving, &ready, Scope::Local),
        ids(&["b"])
    );
}

#[test]
fn fewer_engines_than_leave_give_some_none() {
    let leaving = engines(&["x", "y"], "north");
    let ready = engines(&["a"], "north");

    assert!(assign(&leaving[1].id, &leaving, &ready, Scope::Local).is_empty());
    assert!(
        assign(
            &InstanceId::from(UpstreamId::new("z")),
            &leaving,
            &ready,
            Scope::Local
        )
        .is_empty()
    );
    assert!(
        assign(
            &InstanceId::from(UpstreamId::new("x")),
            &[],
            &ready,
            Scope::Local
        )
        .is_empty()
    );
}

#[test]
fn the_second_choice_is_divided_among_all_that_leave() {
    let leaving = [engine("x", "north"), engine("y", "south")];
    let ready = engines(&["a", "b"], "north");

    assert_eq!(
        assign(&leaving[0].id, &leaving, &ready, Scope::All),
        ids(&["a"])
    );
    assert_eq!(
        assign(&leaving[1].id, &leaving, &ready, Scope::All),
        ids(&["b"])
    );
}
