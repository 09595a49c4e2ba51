use super::clock_text;
use super::draw;
use crate::event::Event;
use crate::event::EventCode;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::timeline::Moment;

fn moment(host: &str, at_ms: u64, code: EventCode) -> Moment {
    Moment {
        at_ms,
        event: Event {
            code,
            host: host.into(),
            incarnation: Incarnation(1),
            sequence: at_ms,
            monotonic_us: 0,
            wall_ms: at_ms,
            request: Some(RequestId::from_u128(1)),
            attempt: None,
            upstream: None,
            offset: None,
            detail: String::new(),
        },
    }
}

#[test]
fn a_picture_has_a_lane_for_each_process_and_a_label_for_each_event() {
    let moments = [
        moment("entry-0", 0, EventCode::RequestReceived),
        moment("entry-1", 40, EventCode::RequestGranted),
        moment("entry-0", 41, EventCode::RequestDispatched),
    ];

    let svg = draw(&moments).unwrap();

    for expected in [
        "entry-0",
        "entry-1",
        "200 RequestReceived",
        "203 RequestGranted",
        "204 RequestDispatched",
    ] {
        assert!(svg.contains(expected), "{expected}");
    }
}

#[test]
fn an_empty_time_line_is_a_picture_too() {
    assert!(draw(&[]).unwrap().contains("</svg>"));
}

#[test]
fn the_time_of_day_is_in_utc() {
    assert_eq!(clock_text(86_400_000 + 3_723_004), "01:02:03.004");
}
