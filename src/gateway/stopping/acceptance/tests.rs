use std::time::Duration;

use super::Evidence;
use super::NOTICE_DELAY;
use super::Verdict;

const SECOND: Duration = Duration::from_secs(1);

fn evidence() -> Evidence {
    Evidence {
        stopping_for: Duration::ZERO,
        time_left: SECOND * 5,
        deadline_in: SECOND * 30,
        run_time: SECOND,
    }
}

#[test]
fn a_request_is_expected_to_end_by_its_run_time_until_the_shutdown_is_noticed() {
    let long = Evidence {
        run_time: SECOND * 6,
        ..evidence()
    };

    assert_eq!(evidence().verdict(), Verdict::Expected);
    assert_eq!(long.verdict(), Verdict::Refused);
}

// Guards against late work that a host aborts because its engine preempts it or pauses.
#[test]
fn later_only_a_request_whose_deadline_passes_in_time_is_accepted() {
    let late = Evidence {
        stopping_for: NOTICE_DELAY,
        ..evidence()
    };
    let certain = Evidence {
        deadline_in: SECOND * 5,
        run_time: SECOND * 6,
        ..late
    };

    assert_eq!(late.verdict(), Verdict::Refused);
    assert_eq!(certain.verdict(), Verdict::Certain);
}
