use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::CANDIDATES;
use super::Ownership;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::UpstreamId;

const SEEDS: u64 = 40;
const UPSTREAMS: u32 = 700;

fn hosts(count: u32, salt: u64) -> Vec<HostId> {
    (0..count)
        .map(|n| HostId::new(format!("entry-{salt}-{n}")))
        .collect()
}

fn upstreams(count: u32) -> Vec<UpstreamId> {
    (0..count)
        .map(|n| UpstreamId::new(format!("10.0.{}.{}:8000", n / 250, n % 250)))
        .collect()
}

#[test]
fn every_host_computes_the_same_owner() {
    for seed in 0..SEEDS {
        let forward = hosts(9, seed);
        let backward: Vec<HostId> = forward.iter().rev().cloned().collect();

        let left = Ownership::new(forward);
        let right = Ownership::new(backward);

        for upstream in upstreams(50) {
            assert_eq!(
                left.upstream_owner(&upstream),
                right.upstream_owner(&upstream)
            );
        }
    }
}

#[test]
fn a_host_that_leaves_moves_only_what_it_owned() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(2..74);
        let all = hosts(count, seed);
        let gone = all[rng.random_range(0..all.len())].clone();
        let before = Ownership::new(all.iter().cloned());

        let after = Ownership::new(all.iter().filter(|host| **host != gone).cloned());

        for upstream in upstreams(UPSTREAMS) {
            let owner = before.upstream_owner(&upstream).unwrap();
            if *owner != gone {
                assert_eq!(after.upstream_owner(&upstream), Some(owner));
            }
        }
    }
}

#[test]
fn a_host_that_joins_moves_about_its_share() {
    for seed in 0..SEEDS {
        let count = 8;
        let all = hosts(count, seed);
        let before = Ownership::new(all.iter().skip(1).cloned());

        let after = Ownership::new(all.iter().cloned());

        let moved = upstreams(UPSTREAMS)
            .iter()
            .filter(|upstream| before.upstream_owner(upstream) != after.upstream_owner(upstream))
            .count();
        assert!(moved > 0);
        assert!(
            moved < (UPSTREAMS / count * 2) as usize,
            "seed {seed}: {moved} moved"
        );
    }
}

#[test]
fn candidates_are_different_owners_of_the_upstreams() {
    let pool = upstreams(20);
    let ownership = Ownership::new(hosts(8, 0));

    let candidates = ownership.candidates(RequestId::from_u128(7), None, &pool);

    let owners: Vec<&HostId> = pool
        .iter()
        .filter_map(|upstream| ownership.upstream_owner(upstream))
        .collect();
    assert_eq!(candidates.len(), CANDIDATES);
    assert!(candidates.iter().all(|host| owners.contains(&host)));
    assert_ne!(candidates[0], candidates[1]);
    assert_ne!(candidates[1], candidates[2]);
    assert_ne!(candidates[0], candidates[2]);
}

#[test]
fn requests_that_share_a_prefix_meet_at_one_owner() {
    let pool = upstreams(20);
    let ownership = Ownership::new(hosts(8, 0));

    let firsts: Vec<HostId> = (0..20)
        .map(|n| ownership.candidates(RequestId::from_u128(n), Some(99), &pool)[0].clone())
        .collect();

    assert!(firsts.iter().all(|host| *host == firsts[0]));
}

#[test]
fn without_hosts_nothing_has_an_owner() {
    let ownership = Ownership::default();

    let candidates = ownership.candidates(RequestId::from_u128(1), Some(1), &upstreams(3));

    assert_eq!(ownership.upstream_owner(&UpstreamId::new("a:1")), None);
    assert!(candidates.is_empty());
}

#[test]
fn every_host_owns_about_its_share() {
    for seed in 0..SEEDS {
        let ownership = Ownership::new(hosts(8, seed));

        let mut owned = std::collections::BTreeMap::new();
        for upstream in upstreams(8_000) {
            let owner = ownership.upstream_owner(&upstream).unwrap().clone();
            *owned.entry(owner).or_insert(0_u32) += 1;
        }

        assert_eq!(owned.len(), 8);
        let fair = |count: &u32| (850..1_150).contains(count);
        assert!(owned.values().all(fair), "seed {seed}: {owned:?}");
    }
}
