use super::EventSplitter;
use super::SequenceFault;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: net {id} is sound\n\n")
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

#[test]
fn chunks_are_reassembled_into_complete_events() {
    let mut splitter = EventSplitter::default();
    let all = events(1..=3);
    let mut forwarded = Vec::new();

    for chunk in all.as_bytes().chunks(7) {
        forwarded.extend_from_slice(&splitter.push(chunk).unwrap());
    }

    assert_eq!(forwarded, all.as_bytes());
    assert_eq!(splitter.last_id(), Some(3));
    assert!(!splitter.has_partial());
}

#[test]
fn an_unfinished_event_is_buffered() {
    let mut splitter = EventSplitter::default();

    let forwarded = splitter.push(b"id: 1\ndata: x").unwrap();

    assert!(forwarded.is_empty());
    assert!(splitter.has_partial());
}

#[test]
fn events_already_forwarded_are_dropped_after_a_resume() {
    let mut splitter = EventSplitter::default();
    splitter.push(events(1..=5).as_bytes()).unwrap();
    splitter.push(b"id: 6\nda").unwrap();

    splitter.discard_partial();
    let forwarded = splitter.push(events(4..=7).as_bytes()).unwrap();

    assert_eq!(forwarded, events(6..=7).as_bytes());
}

#[test]
fn a_gap_is_a_fault() {
    let mut splitter = EventSplitter::default();
    splitter.push(events(1..=2).as_bytes()).unwrap();

    let fault = splitter.push(event(4).as_bytes());

    assert_eq!(fault, Err(SequenceFault::Gap { last: 2, got: 4 }));
}

#[test]
fn lines_may_end_with_a_carriage_return() {
    let mut splitter = EventSplitter::default();
    let text = b"id: 1\r\ndata: x\r\n\r\n";

    let forwarded = splitter.push(text).unwrap();

    assert_eq!(&forwarded[..], text);
    assert_eq!(splitter.last_id(), Some(1));
}

#[test]
fn an_oversized_event_is_a_fault() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 1 << 19];

    let first = splitter.push(&chunk);
    let second = splitter.push(&chunk);
    let third = splitter.push(&chunk);

    assert!(first.is_ok() && second.is_ok());
    assert_eq!(third, Err(SequenceFault::TooLong));
}
