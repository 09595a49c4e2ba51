use super::MemoryBudget;
use super::Place;

const LIMIT_BYTES: u64 = 2_000;

#[test]
fn what_one_place_holds_is_missing_for_the_others() {
    let budget = MemoryBudget::of_process(Some(LIMIT_BYTES));
    let mut bodies = budget.hold(Place::Bodies);
    let mut connections = budget.hold(Place::Connections);

    assert!(bodies.resize(900));
    assert!(!connections.resize(101));
    assert!(connections.resize(100));
    drop(bodies);
    assert!(connections.resize(1_000));

    assert_eq!(budget.held(Place::Bodies), 0);
    assert_eq!(budget.held(Place::Connections), 1_000);
}

#[test]
fn a_hold_that_shrinks_makes_room() {
    let budget = MemoryBudget::of_process(Some(LIMIT_BYTES));
    let mut hold = budget.hold(Place::Answers);
    assert!(hold.resize(1_000));

    assert!(hold.resize(10));

    assert!(budget.fits(990));
    assert!(!budget.fits(991));
}
