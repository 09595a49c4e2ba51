//! How soon all hosts of a fleet have a version, and at what cost, whatever the fleet's size and faults.

use std::time::Duration;

use super::fleet::Fleet;
use super::fleet::LINK_BYTES_PER_S;
use super::fleet::READER_REPLACED;
use super::fleet::ROUND;
use super::fleet::ROUND_TRIP;
use super::fleet::SPREAD;
use super::fleet::STALL;
use super::fleet::Version;
use crate::clock::Time;
use crate::gateway::document::transfers::TRANSFERS_MAX;

/// The bound of the design note for hosts without faults, after a version has appeared: the reader's
/// read, a datagram, lost once, the spread of the questions, and for each generation of hosts the
/// transfers that a source serves at once, with a pause before one that was busy is asked again.
fn bound(a_data_centre: usize, lacking_bytes: f64) -> Duration {
    let generations = (a_data_centre as f64).ln() / ((TRANSFERS_MAX + 1) as f64).ln();
    let transfer = TRANSFERS_MAX as f64 * lacking_bytes / LINK_BYTES_PER_S;
    let generation = Duration::from_secs_f64(transfer) + Duration::from_millis(70) + ROUND_TRIP;
    Duration::from_millis(50) + ROUND + SPREAD + generation.mul_f64(generations.ceil() + 1.0)
}

fn one_version(lacking_bytes: u32) -> Vec<Version> {
    vec![Version {
        at: Time::from_ms(100),
        lacking_bytes,
    }]
}

#[test]
fn all_hosts_have_a_change_within_the_bound_whatever_the_size_of_the_fleet() {
    for (count, a_data_centre) in [(30, 10), (300, 60), (1_100, 74)] {
        for lacking_bytes in [2_000, 30_000, 400_000] {
            let mut fleet = Fleet::new(count, a_data_centre, one_version(lacking_bytes), 1);

            fleet.run_until(Time::from_ms(9_000));

            let took = fleet.all_since().map(|at| at.since(Time::from_ms(100)));
            let bound = bound(a_data_centre, f64::from(lacking_bytes));
            assert!(
                took.is_some_and(|took| took <= bound),
                "{count} hosts, {lacking_bytes} bytes: {took:?} of {bound:?}"
            );
        }
    }
}

#[test]
fn a_storm_of_versions_costs_no_more_than_its_changes() {
    let versions = (0..12).map(|index| Version {
        at: Time::from_ms(100 + 300 * index),
        lacking_bytes: 30_000,
    });
    let mut fleet = Fleet::new(300, 60, versions.collect(), 2);

    fleet.run_until(Time::from_ms(9_000));

    let last = Time::from_ms(100 + 300 * 11);
    let took = fleet.all_since().map(|at| at.since(last));
    assert!(
        took.is_some_and(|took| took <= bound(60, 30_000.0)),
        "{took:?}"
    );
    let most = fleet.hosts.iter().map(|host| host.received_bytes);
    assert!(most.fold(0.0, f64::max) <= 2.0 * 12.0 * 30_000.0);
}

#[test]
fn hosts_that_are_frozen_killed_or_mute_hold_up_the_others_for_no_longer_than_the_faults_last() {
    for seed in 0..12 {
        let mut fleet = Fleet::new(150, 50, one_version(120_000), seed);
        let last_fault = Time::from_ms(3_000);
        fleet.strike(0.4, last_fault);

        fleet.run_until(Time::from_ms(12_000));

        let took = fleet.all_since().map(|at| at.since(last_fault));
        // Each of two sources in a row may have failed just before.
        let allowed = bound(50, 120_000.0) + READER_REPLACED + 2 * STALL;
        assert!(
            took.is_some_and(|took| took <= allowed),
            "seed {seed}: {took:?} of {allowed:?}"
        );
        let most = fleet.hosts.iter().map(|host| host.received_bytes);
        assert!(most.fold(0.0, f64::max) <= 2.0 * 120_000.0, "seed {seed}");
    }
}

#[test]
fn a_document_of_many_megabytes_reaches_all_within_its_bound() {
    // 800 KB as it travels are 7.2 MB as it stands: 0.64 s of a link alone.
    let mut fleet = Fleet::new(300, 60, one_version(800_000), 3);

    fleet.run_until(Time::from_ms(20_000));

    let took = fleet.all_since().map(|at| at.since(Time::from_ms(100)));
    assert!(
        took.is_some_and(|took| took <= bound(60, 800_000.0)),
        "{took:?}"
    );
}
