use super::BlockMemory;

#[test]
fn released_prefix_is_reused_until_evicted_from_its_tail() {
    let mut memory = BlockMemory::new(4);
    assert!(memory.allocate(3));
    assert!([1, 2, 3].iter().all(|hash| memory.publish(*hash)));
    memory.release_cached(&[1, 2, 3]);

    assert!(memory.allocate(2));
    let reused = memory.reuse(&[1, 2, 3]);

    assert_eq!(reused, 2);
    assert_eq!(memory.in_use(), 4);
    let evicted: Vec<u64> = memory
        .take_events()
        .iter()
        .filter(|event| !event.stored)
        .map(|event| event.prefix_hash)
        .collect();
    assert_eq!(evicted, vec![3]);
}

#[test]
fn allocation_beyond_what_is_available_takes_nothing() {
    let mut memory = BlockMemory::new(4);
    assert!(memory.allocate(3));

    let allocated = memory.allocate(2);

    assert!(!allocated);
    assert_eq!(memory.available(), 1);
}

#[test]
fn publishing_a_cached_hash_leaves_the_block_private() {
    let mut memory = BlockMemory::new(4);
    assert!(memory.allocate(2));
    assert!(memory.publish(7));

    let published = memory.publish(7);

    assert!(!published);
    assert_eq!(memory.take_events().len(), 1);
}
