use crate::event::Event;
use crate::event::EventCode;
use crate::explain::explain;
use crate::id::Incarnation;
use crate::id::RequestId;

const REQUEST: RequestId = RequestId::from_u128(7);

fn event(host: &str, sequence: u64, wall_ms: u64, code: EventCode) -> Event {
    Event {
        code,
        host: host.into(),
        incarnation: Incarnation(1),
        sequence,
        monotonic_us: wall_ms * 1_000,
        wall_ms,
        request: Some(REQUEST),
        attempt: None,
        upstream: None,
        offset: None,
        detail: String::new(),
    }
}

fn codes(events: &[Event]) -> Vec<EventCode> {
    events.iter().map(|event| event.code).collect()
}

#[test]
fn merges_hosts_by_time_and_keeps_each_hosts_order() {
    let stepped_back = event("a", 2, 90, EventCode::RequestGranted);
    let a = vec![
        event("a", 0, 100, EventCode::RequestReceived),
        event("a", 1, 110, EventCode::RequestQueued),
        stepped_back,
    ];
    let b = vec![event("b", 0, 105, EventCode::FirstToken)];

    let explanation = explain(REQUEST, &[a, b]).unwrap();

    let expected = [
        EventCode::RequestReceived,
        EventCode::FirstToken,
        EventCode::RequestQueued,
        EventCode::RequestGranted,
    ];
    assert_eq!(codes(&explanation.events), expected);
}

#[test]
fn tells_what_befell_its_upstreams_meanwhile_and_nothing_else() {
    let mut granted = event("a", 0, 100, EventCode::RequestGranted);
    granted.upstream = Some("engine-1".into());
    let mut lost = event("b", 0, 150, EventCode::UpstreamLost);
    lost.request = None;
    lost.upstream = Some("engine-1".into());
    let mut other_lost = lost.clone();
    other_lost.upstream = Some("engine-2".into());
    let mut lost_later = lost.clone();
    lost_later.wall_ms = 900;
    let failed = event("a", 1, 200, EventCode::RequestFailed);
    let processes = [vec![granted, failed], vec![lost, other_lost, lost_later]];

    let explanation = explain(REQUEST, &processes).unwrap();

    let expected = [
        EventCode::RequestGranted,
        EventCode::UpstreamLost,
        EventCode::RequestFailed,
    ];
    assert_eq!(codes(&explanation.events), expected);
}

#[test]
fn names_a_process_that_may_have_forgotten() {
    let a = vec![event("a", 0, 100, EventCode::RequestReceived)];
    let mut later = event("b", 50, 120, EventCode::ProcessStarted);
    later.request = None;

    let explanation = explain(REQUEST, &[a, vec![later]]).unwrap();

    assert_eq!(explanation.gaps.len(), 1);
    assert_eq!(explanation.gaps[0].host.as_str(), "b");
}

#[test]
fn an_unknown_request_has_no_explanation() {
    let a = vec![event("a", 0, 100, EventCode::RequestReceived)];

    let explanation = explain(RequestId::from_u128(8), &[a]);

    assert!(explanation.is_none());
}
