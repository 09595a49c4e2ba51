//! Block memory of an engine with a prefix cache in the same memory.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::mem;

use crate::wire::CacheEvent;

/// Blocks of equal size. A block is free, private to one sequence, or cached under the hash of
/// the prefix that ends in it; cached blocks without a user are evicted, least recently used first.
#[derive(Debug, Clone)]
pub(crate) struct BlockMemory {
    total: u64,
    free: u64,
    cached: HashMap<u64, CachedBlock>,
    evictable: BTreeMap<u64, u64>,
    next_stamp: u64,
    events: Vec<CacheEvent>,
    next_sequence: u64,
}

/// A block of the prefix cache.
#[derive(Debug, Clone, Copy)]
struct CachedBlock {
    users: u32,
    released_stamp: u64,
}

impl BlockMemory {
    /// Memory of `total` free blocks.
    pub(crate) fn new(total: u64) -> Self {
        BlockMemory {
            total,
            free: total,
            cached: HashMap::new(),
            evictable: BTreeMap::new(),
            next_stamp: 0,
            events: Vec::new(),
            next_sequence: 0,
        }
    }

    /// Blocks in all.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Blocks that some sequence uses.
    pub(crate) fn in_use(&self) -> u64 {
        self.total - self.available()
    }

    /// Blocks that are free or can be evicted.
    pub(crate) fn available(&self) -> u64 {
        self.free + self.evictable.len() as u64
    }

    /// Takes `count` private blocks, evicting as needed. Takes none and answers `false` if there
    /// are not enough.
    pub(crate) fn allocate(&mut self, count: u64) -> bool {
        if self.available() < count {
            return false;
        }
        while self.free < count {
            self.evict();
        }
        self.free -= count;
        true
    }

    /// Gives `count` private blocks back.
    pub(crate) fn release(&mut self, count: u64) {
        self.free += count;
        debug_assert!(self.free <= self.total);
    }

    /// Takes a reference to each cached block of the longest cached prefix of `hashes`; answers
    /// how many.
    pub(crate) fn reuse(&mut self, hashes: &[u64]) -> usize {
        for (taken, hash) in hashes.iter().enumerate() {
            let Some(block) = self.cached.get_mut(hash) else {
                return taken;
            };
            if block.users == 0 {
                self.evictable.remove(&block.released_stamp);
            }
            block.users += 1;
        }
        hashes.len()
    }

    /// Drops a reference to each of `hashes`. The tail of a prefix becomes evictable before its
    /// head, which more prompts share.
    pub(crate) fn release_cached(&mut self, hashes: &[u64]) {
        for hash in hashes.iter().rev() {
            let Some(block) = self.cached.get_mut(hash) else {
                unreachable!("a block in use is never evicted");
            };
            block.users -= 1;
            if block.users == 0 {
                block.released_stamp = self.next_stamp;
                self.evictable.insert(self.next_stamp, *hash);
                self.next_stamp += 1;
            }
        }
    }

    /// Turns a private block into a cached one with one user. Answers `false` and leaves the
    /// block private if the hash is cached already.
    pub(crate) fn publish(&mut self, hash: u64) -> bool {
        if self.cached.contains_key(&hash) {
            return false;
        }
        let block = CachedBlock {
            users: 1,
            released_stamp: 0,
        };
        self.cached.insert(hash, block);
        self.record(hash, true);
        true
    }

    /// Cache events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<CacheEvent> {
        mem::take(&mut self.events)
    }

    fn evict(&mut self) {
        if let Some((_, hash)) = self.evictable.pop_first() {
            self.cached.remove(&hash);
            self.free += 1;
            self.record(hash, false);
        }
    }

    fn record(&mut self, prefix_hash: u64, stored: bool) {
        self.events.push(CacheEvent {
            sequence: self.next_sequence,
            prefix_hash,
            stored,
        });
        self.next_sequence += 1;
    }
}

#[cfg(test)]
mod tests;
