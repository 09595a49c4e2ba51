//! Tests of the cached counts while hosts join, stop and fall silent.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::address;
use super::data_centre_of;
use super::datagram;
use crate::clock::Time;
use crate::gateway::peers::LIVENESS_TIMEOUT;
use crate::gateway::peers::Peers;
use crate::id::DataCentre;

// Counts are cached because a full count for each datagram costs hosts times datagrams.
#[test]
fn incremental_counts_match_a_full_count() {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut peers = Peers::new(address(200), DataCentre::new("north"), &[]);
    let mut known: BTreeMap<usize, (Time, bool, u64)> = BTreeMap::new();
    for step in 0..4_000 {
        let now = Time::from_ms(20 * step);
        let index = random.random_range(0..150);
        let mut datagram = datagram(index, data_centre_of(index));
        datagram.stopping = random.random_bool(0.2);
        datagram.config = random.random_range(0..50);
        known.insert(index, (now, datagram.stopping, datagram.config));
        peers.receive(now, address(index), &datagram);
        if !step.is_multiple_of(7) {
            continue;
        }

        let live: Vec<_> = known
            .iter()
            .filter(|(_, (at, stopping, _))| now.since(*at) < LIVENESS_TIMEOUT && !stopping)
            .collect();
        let near = live
            .iter()
            .filter(|(index, _)| data_centre_of(**index) == "north");
        let newest = live.iter().map(|(_, (_, _, config))| *config).max();
        assert_eq!(peers.count_live(now), live.len(), "step {step}");
        assert_eq!(peers.count_local(now), near.count(), "step {step}");
        assert_eq!(
            peers.newest_version(now),
            newest.unwrap_or(0),
            "step {step}"
        );
    }
}
