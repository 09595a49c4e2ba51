//! Tests of the choice of upstreams by version.

use super::directory_of;
use super::instance;
use super::ready;
use crate::clock::Time;
use crate::gateway::directory::Directory;
use crate::gateway::directory::Upstream;
use crate::gateway::position::Position;
use crate::gateway::rollouts::AnnouncedRollout;
use crate::gateway::rollouts::Stage;
use crate::gateway::rollouts::Track;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VersionId;

const NOW: Time = Time::from_ms(1_000);

/// The rollout of the only service to version `v2`.
fn rollout(stage: Stage, barred: &[&str]) -> AnnouncedRollout {
    AnnouncedRollout {
        service: ServiceId::new("inspection"),
        ordered_at: Position::from(3),
        to: VersionId::new("v2"),
        duration_ms: 20_000,
        age_ms: Some(1_000),
        stage,
        barred: barred.iter().copied().map(VersionId::new).collect(),
    }
}

fn list_version(directory: &mut Directory, id: &str, version: &str, offset: u64) {
    let upstream = Upstream {
        version: VersionId::new(version),
        ..ready(id)
    };
    directory.apply(NOW, &UpstreamId::new(id), Some(upstream), offset);
}

fn stable_ids(directory: &Directory) -> Vec<String> {
    let service = ServiceId::new("inspection");
    let stable = directory.ready_for(&service, Track::Stable, None);
    stable.iter().map(|up| up.id.to_string()).collect()
}

// Guards against a version that gets no work after a revert: a carrier that had shifted said that its upstreams leave.
#[test]
fn an_upstream_of_a_replaced_version_is_no_departure() {
    let mut directory = directory_of(&["a"]);

    directory
        .rollouts_mut()
        .receive(NOW, &[rollout(Stage::Shift, &[])]);

    assert!(directory.leaving_since(&instance("a")).is_some());
    assert_eq!(directory.departure(&instance("a")), None);
}

// Guards against a service without upstreams: those that came after a completed rollout had a version of no order.
#[test]
fn a_later_version_serves_once_none_of_the_completed_rollout_is_left() {
    let mut directory = directory_of(&[]);
    directory
        .rollouts_mut()
        .receive(NOW, &[rollout(Stage::Complete, &["bad"])]);
    list_version(&mut directory, "a", "v2", 5);
    list_version(&mut directory, "b", "v3", 6);
    list_version(&mut directory, "c", "bad", 7);

    let beside_the_ordered = stable_ids(&directory);
    directory.apply(NOW, &UpstreamId::new("a"), None, 8);

    assert_eq!(beside_the_ordered, ["a"]);
    assert_eq!(stable_ids(&directory), ["b"]);
}
