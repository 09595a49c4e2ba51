use super::EventSplitter;
use super::SequenceFault;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: net {id} is sound\n\n")
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

#[test]
fn bytes_that_come_in_pieces_are_passed_on_in_whole_events() {
    let mut splitter = EventSplitter::default();
    let all = events(1..=3);
    let mut passed = Vec::new();

    for piece in all.as_bytes().chunks(7) {
        passed.extend_from_slice(&splitter.push(piece).unwrap());
    }

    assert_eq!(passed, all.as_bytes());
    assert_eq!(splitter.last_id(), Some(3));
    assert!(!splitter.has_partial());
}

#[test]
fn an_unfinished_event_is_held() {
    let mut splitter = EventSplitter::default();

    let passed = splitter.push(b"id: 1\ndata: x").unwrap();

    assert!(passed.is_empty());
    assert!(splitter.has_partial());
}

#[test]
fn what_was_passed_on_before_is_dropped_after_a_restart() {
    let mut splitter = EventSplitter::default();
    splitter.push(events(1..=5).as_bytes()).unwrap();
    splitter.push(b"id: 6\nda").unwrap();

    splitter.discard_partial();
    let passed = splitter.push(events(4..=7).as_bytes()).unwrap();

    assert_eq!(passed, events(6..=7).as_bytes());
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

    let passed = splitter.push(text).unwrap();

    assert_eq!(&passed[..], text);
    assert_eq!(splitter.last_id(), Some(1));
}

#[test]
fn an_endless_event_is_a_fault() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 1 << 19];

    let first = splitter.push(&chunk);
    let second = splitter.push(&chunk);
    let third = splitter.push(&chunk);

    assert!(first.is_ok() && second.is_ok());
    assert_eq!(third, Err(SequenceFault::TooLong));
}
