//! What is derived from the entries and kept as they change.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Directory;
use super::upstream;
use crate::clock::Time;
use crate::gateway::directory::UpstreamState;
use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::UpstreamId;

// The digest was worked out anew over all upstreams for each datagram that told of a change.
#[test]
fn what_is_kept_as_entries_change_is_what_a_list_read_anew_has() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut directory = Directory::default();
    for offset in 0..2_000_u64 {
        let name = format!("up-{}", random.random_range(0..60));
        let state = match random.random_bool(0.3) {
            true => UpstreamState::Leaving,
            false => UpstreamState::Ready,
        };
        let mut listed = upstream(&name, state);
        listed.data_centre = DataCentre::new(format!("dc-{}", random.random_range(0..3)));
        let listed = random.random_bool(0.8).then_some(listed);
        directory.apply(Time::ZERO, &UpstreamId::new(name), listed, offset);
    }
    let mut anew = Directory::default();
    anew.replace(Time::ZERO, directory.list_all(), 2_000);

    assert_eq!(directory.digest(), anew.digest());
    let service = ServiceId::new("inspection");
    for place in ["dc-0", "dc-1", "dc-2"].map(DataCentre::new) {
        let ready = directory.ready(&service);
        let there: Vec<_> = ready
            .into_iter()
            .filter(|up| up.data_centre == place)
            .collect();
        assert_eq!(directory.ready_in(&service, &place), there);
        assert!(
            there
                .iter()
                .all(|up| directory.data_centre_of(up.id.key()) == Some(&place))
        );
    }
}

// A host that had heard of a later record alone took its list for wrong at each fetch, and fetched all of it.
#[test]
fn a_later_record_heard_alone_is_told_apart_from_a_wrong_list() {
    let mut directory = Directory::default();
    let first = upstream("up-1", UpstreamState::Ready);
    directory.apply(Time::ZERO, &UpstreamId::new("up-1"), Some(first), 3);
    directory.advance(4);

    let before = directory.has_record_from(4.into());
    let later = upstream("up-2", UpstreamState::Ready);
    directory.apply(Time::ZERO, &UpstreamId::new("up-2"), Some(later), 9);

    assert!(!before);
    assert!(directory.has_record_from(4.into()) && directory.has_record_from(9.into()));
    assert!(!directory.has_record_from(10.into()));
}
