use std::net::SocketAddr;
use std::time::Duration;

use super::CatchUp;
use super::Distance;
use super::Fault;
use super::Holder;
use super::Step;
use crate::clock::Time;

const STALENESS_MAX: Duration = Duration::from_secs(3);

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 8_000))
}

fn holder(index: u8, version: u64, distance: Distance) -> Holder {
    Holder {
        address: address(index),
        version,
        distance,
    }
}

fn asked(step: Step) -> Option<SocketAddr> {
    match step {
        Step::Ask(holder) => Some(holder.address),
        Step::Wait(_) | Step::Stop => None,
    }
}

#[test]
fn the_newest_version_of_the_nearest_hosts_is_asked_for() {
    let holders = [
        holder(1, 9, Distance::Far),
        holder(2, 7, Distance::Near),
        holder(3, 8, Distance::Near),
        holder(4, 9, Distance::Silent),
    ];
    let mut catch_up = CatchUp::new(0.5);

    let steps = [0.0, 0.5, 0.999].map(|chance| catch_up.next(Time::ZERO, &holders, chance));

    assert!(steps.iter().all(|step| asked(*step) == Some(address(3))));
}

#[test]
fn busy_hosts_of_the_own_data_centre_are_waited_for() {
    let holders = [holder(1, 8, Distance::Near), holder(2, 8, Distance::Far)];
    let mut catch_up = CatchUp::new(0.5);
    catch_up.record_busy(Time::ZERO, address(1), 1, 0.5);

    let waits = catch_up.next(Time::ZERO, &holders, 0.5);
    let asks = catch_up.next(Time::from_ms(100), &holders, 0.5);

    assert_eq!(waits, Step::Wait(Duration::from_millis(50)));
    assert_eq!(asked(asks), Some(address(1)));
}

#[test]
fn a_source_that_failed_is_left_for_another_one_and_asked_again_later() {
    let holders = [holder(1, 8, Distance::Near), holder(2, 8, Distance::Far)];
    let mut catch_up = CatchUp::new(0.5);
    catch_up.record_failure(Time::ZERO, address(1), Fault::Unanswered);

    let first = catch_up.next(Time::ZERO, &holders, 0.5);
    catch_up.record_failure(Time::ZERO, address(2), Fault::Invalid);
    let second = catch_up.next(Time::from_ms(500), &holders, 0.5);
    let third = catch_up.next(Time::from_ms(1_500), &holders, 0.5);

    assert_eq!(asked(first), Some(address(2)));
    assert_eq!(second, Step::Stop);
    assert_eq!(asked(third), Some(address(1)));
}

#[test]
fn a_host_that_stays_behind_reads_the_log_itself_well_before_the_bound() {
    let mut first = CatchUp::new(0.0);
    let mut last = CatchUp::new(1.0);
    for catch_up in [&mut first, &mut last] {
        catch_up.update(Time::ZERO, true);
        catch_up.update(Time::from_ms(900), true);
    }

    assert!(!first.is_overdue(Time::from_ms(1_100), STALENESS_MAX));
    assert!(first.is_overdue(Time::from_ms(1_300), STALENESS_MAX));
    assert!(!last.is_overdue(Time::from_ms(1_700), STALENESS_MAX));
    assert!(last.is_overdue(Time::from_ms(1_900), STALENESS_MAX));
}

#[test]
fn a_host_that_has_caught_up_is_not_overdue() {
    let mut catch_up = CatchUp::new(0.0);
    catch_up.update(Time::ZERO, true);
    catch_up.update(Time::from_ms(1_000), false);
    catch_up.update(Time::from_ms(2_000), true);

    assert_eq!(
        catch_up.behind_for(Time::from_ms(2_100)),
        Some(Duration::from_millis(100))
    );
    assert!(!catch_up.is_overdue(Time::from_ms(2_500), STALENESS_MAX));
}

// Two hundred hosts that wait for one source would ask it thousands of times a second.
#[test]
fn a_source_is_asked_no_more_often_the_more_hosts_wait() {
    let holders = [holder(1, 8, Distance::Near)];
    for rivals in [100, 200, 1_000] {
        let pause = |chance: f64| {
            let mut catch_up = CatchUp::new(0.5);
            catch_up.record_busy(Time::ZERO, address(1), rivals, chance);
            match catch_up.next(Time::ZERO, &holders, 0.5) {
                Step::Wait(pause) => pause.as_secs_f64(),
                Step::Ask(_) | Step::Stop => 0.0,
            }
        };
        let pauses: f64 = (0..10).map(|tenth| pause(f64::from(tenth) / 10.0)).sum();

        let asks_per_s = rivals as f64 / (pauses / 10.0);
        assert!(
            asks_per_s < 1_200.0,
            "{rivals} rivals: {asks_per_s} a second"
        );
    }
}
