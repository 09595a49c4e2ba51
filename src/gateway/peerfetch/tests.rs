use std::sync::Arc;

use super::ListCache;
use super::PackedList;
use crate::clock::Time;
use crate::gateway::directory::Directory;
use crate::gateway::directory::Upstream;
use crate::gateway::directory::UpstreamState;
use crate::gateway::instance::InstanceId;
use crate::gateway::position::Position;
use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VersionId;

fn listed(index: usize) -> (Upstream, Position) {
    let number = (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let id = UpstreamId::new(format!("i-{:010x}", number >> 24));
    let upstream = Upstream {
        id: InstanceId::new(id, Some(1_790_000_000_000 + (number >> 44))),
        service: ServiceId::new("a-service"),
        address: ([10, 128, (index >> 8) as u8, index as u8], 8_080).into(),
        data_centre: DataCentre::new(format!("hall-{}", index % 5)),
        state: UpstreamState::Ready,
        slots: 24,
        cold_left_ms: 0,
        version: VersionId::new("v1"),
        sequence: 0,
    };
    (upstream, Position::from(index as u64))
}

fn directory_of(upstreams: usize) -> Directory {
    let mut directory = Directory::default();
    directory.replace(
        Time::ZERO,
        (0..upstreams).map(listed).collect(),
        upstreams as u64,
    );
    directory
}

// As JSON, made anew for each host that asked, the list of 10,001 upstreams took a host 389 MB.
#[test]
fn the_whole_list_is_small_and_packed_once_for_all_that_ask() {
    let mut directory = directory_of(10_000);
    let mut cache = ListCache::default();

    let first = cache.get(&directory).unwrap();
    let second = cache.get(&directory).unwrap();
    directory.apply(
        Time::ZERO,
        &UpstreamId::new("new"),
        Some(listed(1).0),
        10_001,
    );
    let later = cache.get(&directory).unwrap();

    assert!(first.packed.len() < 300_000, "{} bytes", first.packed.len());
    assert!(Arc::ptr_eq(&first.packed, &second.packed));
    assert!(!Arc::ptr_eq(&first.packed, &later.packed));
}

#[test]
fn a_packed_list_holds_what_was_listed() {
    let directory = directory_of(300);

    let packed = PackedList::of(&directory.list_all()).unwrap();

    assert_eq!(packed.unpack().unwrap(), directory.list_all());
}

#[test]
fn a_list_that_tells_a_wrong_size_is_an_error() {
    let mut packed = PackedList::of(&directory_of(300).list_all()).unwrap();
    packed.bytes = 10;

    assert!(packed.unpack().is_err());
}
