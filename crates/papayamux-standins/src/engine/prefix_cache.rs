//! The engine's prefix cache: blocks in the order of their last use.

use std::collections::{BTreeMap, HashMap};

use papayamux_protocol::engine::CacheChange;

/// Blocks that an engine holds, the least recently used evicted first.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_use: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// A cache that holds `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Leading blocks of `blocks` that are held.
    pub fn warm_blocks(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.last_use.contains_key(block)).count()
    }

    /// Stores or refreshes `blocks`, and gives the changes that this made.
    pub fn store(&mut self, blocks: &[u64]) -> Vec<CacheChange> {
        let mut changes = Vec::new();
        for block in blocks {
            self.clock += 1;
            match self.last_use.insert(*block, self.clock) {
                Some(previous) => {
                    self.by_use.remove(&previous);
                }
                None => changes.push(CacheChange::Stored(*block)),
            }
            self.by_use.insert(self.clock, *block);
        }
        while self.last_use.len() > self.capacity {
            if let Some((_, block)) = self.by_use.pop_first() {
                self.last_use.remove(&block);
                changes.push(CacheChange::Evicted(block));
            }
        }
        changes
    }
}
