//! Tests of the digest and indexes that are updated with the entries.

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

// The digest and indexes are updated with each entry. The digest was once computed over all upstreams for each
// datagram with a change, which cost time in proportion to the fleet.
#[test]
fn updated_indexes_equal_those_of_a_rebuilt_directory() {
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
    let mut rebuilt = Directory::default();
    rebuilt.replace(Time::ZERO, directory.list_all(), 2_000);

    assert_eq!(directory.digest(), rebuilt.digest());
    let service = ServiceId::new("inspection");
    for data_centre in ["dc-0", "dc-1", "dc-2"].map(DataCentre::new) {
        let ready = directory.ready(&service);
        let expected: Vec<_> = ready
            .into_iter()
            .filter(|up| up.data_centre == data_centre)
            .collect();
        assert_eq!(directory.ready_in(&service, &data_centre), expected);
        assert!(
            expected
                .iter()
                .all(|up| directory.data_centre_of(up.id.key()) == Some(&data_centre))
        );
    }
}

// A host that has received a later record out of order must not treat its list as wrong: it then fetched the
// full list each time.
#[test]
fn a_later_record_received_alone_is_not_taken_for_a_wrong_list() {
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
