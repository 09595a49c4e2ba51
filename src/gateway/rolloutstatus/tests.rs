use std::time::Duration;

use super::OpenRollout;
use super::Told;
use super::told_of;
use crate::gateway::position::Era;
use crate::gateway::position::Position;
use crate::gateway::protocol::RolloutState;
use crate::gateway::protocol::RolloutStatus;
use crate::gateway::rollouts::DueStep;
use crate::id::ServiceId;
use crate::id::VersionId;

fn at(era: u64, offset: u64) -> Position {
    Position::new(Era::new(era), offset)
}

/// The order at offset 5, which this host saw come a moment ago.
fn order() -> OpenRollout {
    OpenRollout {
        service: ServiceId::new("nets"),
        ordered_at: at(1, 5),
        to: VersionId::new("v2"),
        has_order_time: true,
        age: Duration::from_millis(700),
        due: DueStep::Nothing,
    }
}

fn status(state: RolloutState, ordered_at: Option<Position>) -> RolloutStatus {
    RolloutStatus {
        to: VersionId::new("v2"),
        state,
        ordered_at,
    }
}

// A host that came to it late took the end of an order for that of an earlier one, and told operators again that it runs.
#[test]
fn an_end_that_another_host_told_soon_is_of_this_order() {
    for state in [RolloutState::Reverted, RolloutState::Complete] {
        let told = status(state, Some(at(1, 5)));

        assert_eq!(told_of(&order(), &told, false), Told::State(state));
    }
}

#[test]
fn an_end_of_an_earlier_order_to_the_same_version_is_not_of_this_one() {
    let told = status(RolloutState::Reverted, Some(at(1, 4)));

    assert_eq!(told_of(&order(), &told, false), Told::Nothing);
}

#[test]
fn a_replaced_order_leaves_alone_what_was_told_of_the_later_one() {
    let told = status(RolloutState::Running, Some(at(1, 6)));

    assert_eq!(told_of(&order(), &told, true), Told::LaterOrder);
}

#[test]
fn a_state_that_this_host_knows_does_not_keep_it_from_telling_the_next() {
    let told = status(RolloutState::Running, Some(at(1, 5)));

    assert_eq!(
        told_of(&order(), &told, false),
        Told::State(RolloutState::Running)
    );
    assert_eq!(told_of(&order(), &told, true), Told::Nothing);
}

#[test]
fn positions_of_another_history_of_the_log_say_nothing() {
    let told = status(RolloutState::Reverted, Some(at(2, 3)));
    let undated = OpenRollout {
        has_order_time: false,
        ..order()
    };

    assert_eq!(told_of(&order(), &told, false), Told::Nothing);
    assert_eq!(
        told_of(&undated, &told, false),
        Told::State(RolloutState::Reverted)
    );
}
