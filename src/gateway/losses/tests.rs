use std::time::Duration;

use super::Cause;
use super::Losses;
use super::Thresholds;
use super::tally;

const THRESHOLDS: Thresholds = Thresholds {
    first_event: Duration::from_millis(1_500),
    gap: Duration::from_millis(180),
};

fn line(name: &str, wall_ms: u64, fields: &str) -> String {
    format!(r#"{{"name":"{name}","wall_ms":{wall_ms}{fields}}}"#)
}

fn stream(name: &str, wall_ms: u64, request: &str, fields: &str) -> String {
    let fields = format!(r#","request":"{request}","kind":"stream"{fields}"#);
    line(name, wall_ms, &fields)
}

fn losses_of(lines: &[String]) -> Losses {
    tally(lines.iter().map(String::as_str), THRESHOLDS)
}

fn causes_of(lines: &[String]) -> Vec<Cause> {
    losses_of(lines)
        .lost
        .into_keys()
        .map(|(_, cause)| cause)
        .collect()
}

#[test]
fn a_stream_within_the_thresholds_is_not_lost() {
    let losses = losses_of(&[
        stream("RequestDispatched", 1, "r", ""),
        stream(
            "RequestComplete",
            2,
            "r",
            r#","first_ms":400.0,"gap_max_ms":60,"moves":1"#,
        ),
    ]);
    assert_eq!(losses.requests["stream"], 1);
    assert!(losses.lost.is_empty());
}

#[test]
fn a_stream_without_an_end_was_lost_with_its_host() {
    assert_eq!(
        causes_of(&[stream("RequestDispatched", 1, "r", "")]),
        [Cause::HostEnded]
    );
}

#[test]
fn a_stream_that_breaks_soon_after_its_engines_notice_is_lost_with_the_engine() {
    let notice = line("UpstreamLeaving", 1_000, r#","upstream":"e""#);
    let soon = stream("RequestFailed", 2_500, "r", r#","upstream":"e""#);
    let later = stream("RequestFailed", 9_000, "r", r#","upstream":"e""#);
    assert_eq!(causes_of(&[notice.clone(), soon]), [Cause::EngineLeft]);
    assert_eq!(causes_of(&[notice, later]), [Cause::Broken]);
}

#[test]
fn late_events_upstream_errors_and_refusals_have_their_own_causes() {
    let late = stream("RequestComplete", 2, "a", r#","first_ms":1600.0"#);
    let paused = stream(
        "RequestComplete",
        2,
        "b",
        r#","first_ms":1.0,"gap_max_ms":200,"moves":2"#,
    );
    let failed = line(
        "RequestComplete",
        2,
        r#","request":"c","kind":"once","status":500"#,
    );
    let refused = stream("RequestRefused", 2, "d", r#","code":"overloaded""#);
    let causes = causes_of(&[late, paused, failed, refused]);
    assert!(causes.contains(&Cause::FirstEventLate));
    assert!(causes.contains(&Cause::Stalled { moved: true }));
    assert!(causes.contains(&Cause::UpstreamError(500)));
    assert!(causes.contains(&Cause::Refused("overloaded".to_owned())));
}

#[test]
fn prefixes_are_skipped_and_other_text_is_counted() {
    let prefixed = format!("12.5 host-1 {}", stream("CallerLeft", 2, "r", ""));
    let losses = losses_of(&[prefixed, "a report".to_owned()]);
    assert_eq!(losses.lost.len(), 1);
    assert_eq!(losses.skipped, 1);
}
