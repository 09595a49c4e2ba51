use crate::clock::Time;
use crate::lending::Lender;
use crate::lending::LendingOptions;
use crate::lending::fair_parts;
use crate::lending::whole_parts;
use crate::peer::Allowance;
use crate::peer::Demand;
use crate::peer::HeldShare;
use crate::share::Share;

fn share(each: f64) -> Share {
    Share::default().map(|_| each)
}

fn demand(wanted: f64, held: Option<&Allowance>) -> Demand {
    Demand {
        customer: "canton".into(),
        wanted: share(wanted),
        running: 0,
        held: held.map(|allowance| HeldShare {
            round: allowance.round,
            share: allowance.share,
        }),
        next_ms: 1_000,
    }
}

/// A lender of a limit of 100 each, shared by four hosts.
fn lend(lender: &mut Lender<&'static str>, now: Time, from: &'static str, d: &Demand) -> Allowance {
    lender
        .lend(now, &from, d, &share(100.0), &share(25.0))
        .expect("something is wanted")
}

fn lender() -> Lender<&'static str> {
    Lender::new(LendingOptions::default(), 1)
}

fn in_force(lender: &Lender<&'static str>, now: Time) -> f64 {
    lender
        .in_force(now, &"canton".into(), &share(25.0))
        .tokens_per_s
}

#[test]
fn nobody_gets_more_than_it_wants_while_another_lacks() {
    assert_eq!(
        fair_parts(100.0, 25.0, &[10.0, 200.0, 50.0]),
        [10.0, 45.0, 45.0]
    );
    assert_eq!(fair_parts(0.0, 0.0, &[1.0, 2.0]), [0.0, 0.0]);
}

#[test]
fn a_host_that_turns_active_finds_its_part_of_the_spare_unlent() {
    assert_eq!(fair_parts(100.0, 25.0, &[10.0, 20.0]), [27.5, 37.5]);

    let mut lender = lender();
    lend(&mut lender, Time::ZERO, "a", &demand(10.0, None));
    let b = lend(&mut lender, Time::ZERO, "b", &demand(10.0, None));

    assert_eq!(b.share.tokens_per_s, 30.0);
}

#[test]
fn hosts_that_each_held_the_whole_limit_come_down_to_their_fair_shares_and_no_lower() {
    let whole = Allowance {
        customer: "canton".into(),
        round: 7,
        share: share(100.0),
        valid_ms: 3_000,
    };
    let mut lender = lender();

    for from in ["a", "b", "a", "b"] {
        let lent = lend(&mut lender, Time::ZERO, from, &demand(10.0, Some(&whole)));
        assert!(lent.share.tokens_per_s >= 30.0, "{lent:?}");
    }
}

#[test]
fn whole_parts_add_up_and_go_around() {
    let parts = [0.5; 8];

    let first = whole_parts(&parts, 0);
    let second = whole_parts(&parts, 4);

    assert_eq!(first.iter().sum::<f64>(), 4.0);
    assert_eq!(second.iter().sum::<f64>(), 4.0);
    assert!(first.iter().zip(&second).all(|(a, b)| a + b == 1.0));
}

#[test]
fn a_borrower_is_raised_beyond_an_equal_split_only_once_another_is_known_to_hold_less() {
    let mut lender = lender();
    let a = lend(&mut lender, Time::ZERO, "a", &demand(100.0, None));
    let b = lend(&mut lender, Time::ZERO, "b", &demand(100.0, None));
    assert_eq!((a.share.tokens_per_s, b.share.tokens_per_s), (100.0, 25.0));

    let lowered = lend(
        &mut lender,
        Time::from_ms(1_000),
        "a",
        &demand(100.0, Some(&a)),
    );
    assert_eq!(lowered.share.tokens_per_s, 50.0);
    let early = lend(
        &mut lender,
        Time::from_ms(1_001),
        "b",
        &demand(100.0, Some(&b)),
    );
    assert_eq!(early.share.tokens_per_s, 25.0);
    lend(
        &mut lender,
        Time::from_ms(2_000),
        "a",
        &demand(100.0, Some(&lowered)),
    );
    let raised = lend(
        &mut lender,
        Time::from_ms(2_001),
        "b",
        &demand(100.0, Some(&early)),
    );

    assert_eq!(raised.share.tokens_per_s, 50.0);
}

#[test]
fn an_allowance_that_was_lost_frees_nothing_beyond_an_equal_split() {
    let mut lender = lender();
    let a = lend(&mut lender, Time::ZERO, "a", &demand(100.0, None));
    lend(&mut lender, Time::ZERO, "b", &demand(100.0, None));

    for round in 1..3 {
        let now = Time::from_ms(round * 1_000);
        lend(&mut lender, now, "a", &demand(10.0, Some(&a)));
        let b = lend(&mut lender, now, "b", &demand(100.0, None));
        assert_eq!(b.share.tokens_per_s, 25.0);
    }
}

#[test]
fn generations_that_still_run_are_not_lent_again() {
    let mut lender = lender();
    let a = lend(&mut lender, Time::ZERO, "a", &demand(100.0, None));
    lend(&mut lender, Time::ZERO, "b", &demand(100.0, None));
    let now = Time::from_ms(1_000);
    let mut running = demand(100.0, Some(&a));
    running.running = 100;
    let lowered = lend(&mut lender, now, "a", &running);
    assert_eq!(lowered.share.concurrent_generations, 50.0);

    running.held = demand(100.0, Some(&lowered)).held;
    lend(&mut lender, now, "a", &running);
    let b = lend(&mut lender, now, "b", &demand(100.0, None));

    assert_eq!(b.share.concurrent_generations, 0.0);
    assert_eq!(b.share.tokens_per_s, 50.0);
}

#[test]
fn a_silent_borrower_keeps_its_share_until_it_is_removed_and_lingered() {
    let mut lender = lender();
    lend(&mut lender, Time::ZERO, "a", &demand(100.0, None));
    let before = in_force(&lender, Time::from_ms(3_000));
    let later = in_force(&lender, Time::from_ms(34_000));

    lender.keep_live(Time::from_ms(35_000), |_| false);
    let lingering = in_force(&lender, Time::from_ms(35_000));
    lender.keep_live(Time::from_ms(39_000), |_| false);

    assert_eq!(before, 100.0);
    assert!((25.0..35.0).contains(&later), "{later}");
    assert!(lingering >= 25.0);
    assert_eq!(lender.active(), 0);
}

#[test]
fn a_new_owner_raises_nobody_until_it_has_heard_all() {
    let mut old = lender();
    let a = lend(&mut old, Time::ZERO, "a", &demand(30.0, None));
    let mut new = Lender::new(LendingOptions::default(), 1_000);
    new.owners_changed(Time::ZERO);

    let learning = lend(&mut new, Time::from_ms(100), "b", &demand(100.0, None));
    let held = lend(
        &mut new,
        Time::from_ms(1_000),
        "a",
        &demand(100.0, Some(&a)),
    );

    assert_eq!(learning.share.tokens_per_s, 25.0);
    assert!(held.share.tokens_per_s <= a.share.tokens_per_s);
}

#[test]
fn a_share_that_is_given_back_leaves_nothing_behind() {
    let mut lender = lender();
    lend(&mut lender, Time::ZERO, "a", &demand(100.0, None));

    let nothing = Demand::nothing("canton".into());
    let answer = lender.lend(Time::ZERO, &"a", &nothing, &share(100.0), &share(50.0));

    assert_eq!(answer, None);
    assert_eq!(lender.active(), 0);
}
