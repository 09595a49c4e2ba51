use super::BodyMemory;
use super::SMALL_BYTES_MAX;
use crate::gateway::memorybudget::MemoryBudget;

const MB: usize = 1 << 20;

fn memory(mb: u64) -> BodyMemory {
    let limit = Some((4 * mb) << 20);
    BodyMemory::new(limit, MemoryBudget::of_process(limit))
}

#[test]
fn large_bodies_leave_a_quarter_to_small_ones() {
    let memory = memory(8);
    let mut large = memory.begin(Some(6 * MB)).unwrap();

    assert!(large.resize(6 * MB));

    assert!(memory.begin(Some(SMALL_BYTES_MAX + 1)).is_none());
    assert!(memory.begin(Some(SMALL_BYTES_MAX)).is_some());
}

#[test]
fn a_body_of_unknown_length_ends_where_it_does_not_fit() {
    let memory = memory(8);
    let mut body = memory.begin(None).unwrap();

    let grown: Vec<bool> = (1..8).map(|mb| body.resize(mb * MB)).collect();

    assert_eq!(grown, [true, true, true, true, true, true, false]);
}

#[test]
fn a_dropped_body_makes_room() {
    let memory = memory(8);
    let mut body = memory.begin(Some(6 * MB)).unwrap();
    assert!(body.resize(6 * MB));

    drop(body);

    assert_eq!(memory.held(), 0);
}
