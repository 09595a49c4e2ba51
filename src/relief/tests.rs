use super::Movable;
use super::choose;
use crate::clock::Time;
use crate::id::RequestId;

fn movable(number: u128, engine_priority: u8, granted_ms: u64) -> Movable {
    Movable {
        request: RequestId::from_u128(number),
        engine_priority,
        granted: Time::from_ms(granted_ms),
        held_tokens: 100,
    }
}

#[test]
fn the_lowest_class_goes_first_and_in_it_the_youngest() {
    let all = vec![movable(1, 5, 9), movable(2, 1, 3), movable(3, 1, 7)];

    let moved = choose(all, 150.0);

    assert_eq!(moved, [RequestId::from_u128(3), RequestId::from_u128(2)]);
}

#[test]
fn nothing_moves_without_excess() {
    assert_eq!(choose(vec![movable(1, 1, 1)], 0.0), []);
}
