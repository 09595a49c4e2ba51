use crate::event::Event;
use crate::event::EventCode;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::recorded::requests;

fn event(code: EventCode, request: u128, detail: &str) -> Event {
    Event {
        code,
        host: HostId::from("entry-0"),
        incarnation: Incarnation(1),
        sequence: 0,
        monotonic_us: 0,
        wall_ms: 0,
        request: Some(RequestId::from_u128(request)),
        attempt: None,
        upstream: None,
        offset: None,
        detail: detail.to_owned(),
    }
}

fn received(request: u128) -> Event {
    let detail = "customer=demo service=inspection class=urgent \
                  prompt_tokens=40 max_output_tokens=512 repeatable=false";
    event(EventCode::RequestReceived, request, detail)
}

#[test]
fn completed_requests_become_a_trace_from_their_first_arrival() {
    let moments = [
        (1_000, received(1)),
        (1_250, received(2)),
        (1_300, event(EventCode::RequestComplete, 2, "tokens=7")),
        (1_400, event(EventCode::RequestComplete, 1, "tokens=90")),
    ];

    let trace = requests(&moments);

    let arrivals: Vec<(u64, u32)> = trace.iter().map(|r| (r.at_ms, r.output_tokens)).collect();
    assert_eq!(arrivals, vec![(0, 90), (250, 7)]);
    assert_eq!(trace[0].customer.as_str(), "demo");
    assert_eq!(trace[0].prompt_tokens, 40);
    assert!(!trace[0].repeatable);
}

#[test]
fn requests_that_did_not_complete_are_left_out() {
    let moments = [
        (1_000, received(1)),
        (1_100, event(EventCode::RequestFailed, 1, "lost")),
    ];

    assert_eq!(requests(&moments), Vec::new());
}
