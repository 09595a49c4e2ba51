use std::time::Duration;

use super::OpenRollout;
use super::Reported;
use super::reported_state;
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

/// The order at offset 5, which this host learnt of just after it was placed.
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

// Guards against a host that checks late, takes the final state of this order for that of an earlier one,
// and reports the order as running again.
#[test]
fn final_state_reported_by_another_host_belongs_to_this_order() {
    for state in [RolloutState::Reverted, RolloutState::Complete] {
        let published = status(state, Some(at(1, 5)));

        assert_eq!(
            reported_state(&order(), &published, false),
            Reported::State(state)
        );
    }
}

#[test]
fn final_state_of_an_earlier_order_is_ignored() {
    let published = status(RolloutState::Reverted, Some(at(1, 4)));

    assert_eq!(
        reported_state(&order(), &published, false),
        Reported::Nothing
    );
}

#[test]
fn replaced_order_does_not_overwrite_the_later_one() {
    let published = status(RolloutState::Running, Some(at(1, 6)));

    assert_eq!(
        reported_state(&order(), &published, true),
        Reported::LaterOrder
    );
}

#[test]
fn known_state_does_not_block_the_next_report() {
    let published = status(RolloutState::Running, Some(at(1, 5)));

    assert_eq!(
        reported_state(&order(), &published, false),
        Reported::State(RolloutState::Running)
    );
    assert_eq!(
        reported_state(&order(), &published, true),
        Reported::Nothing
    );
}

#[test]
fn positions_of_another_era_are_not_compared() {
    let published = status(RolloutState::Reverted, Some(at(2, 3)));
    let undated = OpenRollout {
        has_order_time: false,
        ..order()
    };

    assert_eq!(
        reported_state(&order(), &published, false),
        Reported::Nothing
    );
    assert_eq!(
        reported_state(&undated, &published, false),
        Reported::State(RolloutState::Reverted)
    );
}
