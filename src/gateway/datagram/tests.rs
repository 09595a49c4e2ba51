use super::DATAGRAM_BYTES_MAX;
use super::Datagram;
use super::PART_CHANGES_MAX;
use super::decode;
use super::encode;
use crate::clock::Time;
use crate::gateway::directory::Change;
use crate::gateway::directory::ChangeKind;
use crate::gateway::directory::Departure;
use crate::gateway::directory::Witness;
use crate::gateway::instance::InstanceId;
use crate::gateway::position::Position;
use crate::gateway::speeds::ANNOUNCED_MAX;
use crate::gateway::speeds::Observation;
use crate::gateway::speeds::Speeds;
use crate::gateway::speeds::Work;
use crate::gateway::upstreamlimits::AnnouncedLimit;
use crate::gateway::upstreamlimits::Bound;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::id::UpstreamId;

fn instance(index: usize) -> InstanceId {
    let id = format!("upstream-with-a-long-name-of-its-own-{index:04}");
    InstanceId::from(UpstreamId::new(id))
}

fn departure(number: usize) -> Departure {
    Departure {
        id: instance(number),
        as_of: Position::from(number as u64),
        witness: Witness::Log,
    }
}

fn datagram(changes: usize, limits: usize, leaving: usize) -> Datagram {
    let change = |index| Change {
        position: Position::from(index as u64),
        kind: ChangeKind::Leaving(instance(index), index as u64),
    };
    let limit = |index| AnnouncedLimit {
        upstream: instance(index).key(),
        bound: Bound::Requests,
        per_s: Some(3.4),
        age_ms: 250,
        is_relayed: false,
    };
    Datagram {
        changes: (0..changes).map(change).collect(),
        limits: (0..limits).map(limit).collect(),
        leaving: (0..leaving).map(departure).collect(),
        ..Datagram::new(HostId::new("host"), DataCentre::new("north"))
    }
}

#[test]
fn a_datagram_that_is_too_large_loses_limits_before_changes() {
    let full = datagram(PART_CHANGES_MAX, 16, 16);

    let sent = decode(&encode(full.clone())).unwrap();

    assert!(sent.limits.len() < full.limits.len());
    assert_eq!(sent.limits, full.limits[..sent.limits.len()]);
    assert_eq!(sent.changes, full.changes);
    assert_eq!(sent.leaving, full.leaving);
}

#[test]
fn failed_calls_are_told_in_rounds_of_the_data_centre_only() {
    let told = Datagram {
        failures: Some(Vec::new()),
        ..datagram(0, 0, 0)
    };

    let kept = decode(&encode(told.clone())).unwrap();
    let others = [
        told.log_only(),
        told.moves_only(),
        told.to_load_query(),
        told.with_summary(Vec::new(), Vec::new(), Vec::new()),
    ];

    assert!(kept.failures.is_some());
    assert!(others.iter().all(|other| other.failures.is_none()));
}

#[test]
fn a_datagram_stays_small_however_many_upstreams_leave() {
    let bytes = encode(datagram(0, 0, 300));

    assert!(bytes.len() <= DATAGRAM_BYTES_MAX, "{} bytes", bytes.len());
    assert!(decode(&bytes).unwrap().leaving.len() > 10);
}

#[test]
fn a_datagram_that_is_too_large_loses_its_latest_speeds_first() {
    let mut speeds = Speeds::default();
    let service = ServiceId::new("inspection");
    for index in 0..ANNOUNCED_MAX {
        let observation = Observation {
            work: Work::Decode,
            requests: 1,
            unit_s: 0.01,
        };
        speeds.record(Time::ZERO, &service, instance(index).key(), observation);
    }
    let full = Datagram {
        speeds: speeds.announce(Time::ZERO),
        ..datagram(PART_CHANGES_MAX, 8, 16)
    };

    let bytes = encode(full.clone());

    assert!(bytes.len() <= DATAGRAM_BYTES_MAX, "{} bytes", bytes.len());
    let sent = decode(&bytes).unwrap();
    assert!(sent.speeds.len() < full.speeds.len());
    assert_eq!(sent.speeds, full.speeds[..sent.speeds.len()]);
    assert!(sent.speeds.is_empty() || sent.limits == full.limits);
    assert_eq!(sent.changes, full.changes);
}
