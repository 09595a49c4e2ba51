use crate::clock::Time;
use crate::limits::AdmissionId;
use crate::limits::LimitOptions;
use crate::limits::Limits;
use crate::limits::Standing;
use crate::refusal::Code;
use crate::refusal::Ran;
use crate::refusal::Refusal;
use crate::row::CustomerRow;
use crate::share::Share;

fn row() -> CustomerRow {
    CustomerRow {
        customer: "canton".into(),
        key_sha256: Vec::new(),
        weight: 1,
        classes: Vec::new(),
        requests_per_s: 10,
        tokens_per_s: 100,
        concurrent_generations: 2,
        queue_length: 1,
    }
}

fn limits() -> Limits {
    Limits::new(LimitOptions::default())
}

fn admit(limits: &mut Limits, now: Time, row: &CustomerRow) -> Result<AdmissionId, Refusal> {
    limits.admit(now, row, &Share::whole(row)).map(|(id, _)| id)
}

fn admit_and_release(limits: &mut Limits, now: Time, row: &CustomerRow) -> Result<(), Refusal> {
    let id = admit(limits, now, row)?;
    limits.release(now, &row.customer, id);
    Ok(())
}

#[test]
fn requests_beyond_the_burst_are_refused_until_the_time_told() {
    let mut limits = limits();
    let row = row();
    for _ in 0..10 {
        admit_and_release(&mut limits, Time::ZERO, &row).unwrap();
    }

    let refusal = admit_and_release(&mut limits, Time::ZERO, &row).unwrap_err();

    assert_eq!(refusal.code, Code::LimitReached);
    assert_eq!(refusal.ran, Ran::No);
    let retry_after_ms = refusal.retry_after_ms.unwrap();
    assert_eq!(retry_after_ms, 100);
    let early = Time::from_ms(retry_after_ms - 1);
    assert!(admit_and_release(&mut limits, early, &row).is_err());
    let told = Time::from_ms(retry_after_ms);
    assert!(admit_and_release(&mut limits, told, &row).is_ok());
}

#[test]
fn tokens_known_afterwards_go_into_debt_that_refuses_new_requests() {
    let mut limits = limits();
    let row = row();
    let id = admit(&mut limits, Time::ZERO, &row).unwrap();

    limits.charge_tokens(Time::ZERO, &row.customer, 350);
    limits.release(Time::ZERO, &row.customer, id);

    let refusal = admit(&mut limits, Time::ZERO, &row).unwrap_err();
    let retry_after_ms = refusal.retry_after_ms.unwrap();
    assert_eq!(retry_after_ms, 2_510);
    assert!(admit(&mut limits, Time::from_ms(retry_after_ms - 10), &row).is_err());
    assert!(admit(&mut limits, Time::from_ms(retry_after_ms), &row).is_ok());
}

#[test]
fn a_generation_that_ends_lets_the_first_that_waits_run() {
    let mut limits = limits();
    let row = row();
    let share = Share::whole(&row);
    let (first, _) = limits.admit(Time::ZERO, &row, &share).unwrap();
    limits.admit(Time::ZERO, &row, &share).unwrap();
    let (third, standing) = limits.admit(Time::ZERO, &row, &share).unwrap();
    assert_eq!(standing, Standing::Waiting);
    let refusal = limits.admit(Time::ZERO, &row, &share).unwrap_err();
    assert_eq!(refusal.retry_after_ms, Some(500));

    limits.release(Time::from_ms(10), &row.customer, first);

    assert_eq!(limits.take_promoted(), vec![third]);
    assert_eq!(limits.running(&row.customer), 2);
    assert_eq!(limits.waiting(&row.customer), 0);
}

#[test]
fn one_that_stops_waiting_gives_its_place_back() {
    let mut limits = limits();
    let row = row();
    let running = admit(&mut limits, Time::ZERO, &row).unwrap();
    admit(&mut limits, Time::ZERO, &row).unwrap();
    let waiting = admit(&mut limits, Time::ZERO, &row).unwrap();

    limits.release(Time::ZERO, &row.customer, waiting);
    limits.release(Time::ZERO, &row.customer, running);

    assert!(limits.take_promoted().is_empty());
    assert_eq!(limits.running(&row.customer), 1);
}

#[test]
fn a_larger_share_lets_waiting_requests_run() {
    let mut limits = limits();
    let row = row();
    let half = Share::whole(&row).split(2);
    limits.admit(Time::ZERO, &row, &half).unwrap();
    let (second, standing) = limits.admit(Time::ZERO, &row, &half).unwrap();
    assert_eq!(standing, Standing::Waiting);

    limits.set_share(Time::ZERO, &row.customer, &Share::whole(&row));

    assert_eq!(limits.take_promoted(), vec![second]);
}

#[test]
fn a_smaller_share_cuts_nothing_off_and_starts_nothing() {
    let mut limits = limits();
    let row = row();
    let first = admit(&mut limits, Time::ZERO, &row).unwrap();
    admit(&mut limits, Time::ZERO, &row).unwrap();
    admit(&mut limits, Time::ZERO, &row).unwrap();

    limits.set_share(Time::ZERO, &row.customer, &Share::whole(&row).split(2));
    limits.release(Time::ZERO, &row.customer, first);

    assert_eq!(limits.running(&row.customer), 1);
    assert_eq!(limits.waiting(&row.customer), 1);
}

#[test]
fn a_limit_of_zero_refuses_without_a_time_to_come_back() {
    for field in 0..3 {
        let mut limits = limits();
        let mut row = row();
        match field {
            0 => row.requests_per_s = 0,
            1 => row.tokens_per_s = 0,
            _ => row.concurrent_generations = 0,
        }

        let refusal = admit(&mut limits, Time::from_ms(5_000), &row).unwrap_err();

        assert_eq!(refusal.retry_after_ms, None, "{}", refusal.message);
    }
}

#[test]
fn an_idle_customer_is_forgotten_only_once_its_debt_is_paid() {
    let mut limits = limits();
    let row = row();
    let id = admit(&mut limits, Time::ZERO, &row).unwrap();
    limits.charge_tokens(Time::ZERO, &row.customer, 100 * 60);
    limits.release(Time::ZERO, &row.customer, id);

    limits.forget_idle(Time::from_ms(40_000));
    assert_eq!(limits.active(), 1);
    limits.forget_idle(Time::from_ms(61_000));

    assert_eq!(limits.active(), 0);
}
