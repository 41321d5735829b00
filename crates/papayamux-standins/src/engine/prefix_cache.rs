//! The engine's prefix cache: a tree of blocks with LRU eviction from the leaves.

use std::collections::{BTreeMap, HashMap, HashSet};

use papayamux_protocol::engine::CacheChange;

#[derive(Debug, Clone, Copy)]
struct CachedBlock {
    parent: Option<u64>,
    root: u64,
    last_use: u64,
}

/// A bounded set of cached blocks with least-recently-used eviction.
///
/// Each use of a block also marks all of its ancestors as used, after the block itself. The least
/// recently used block is therefore always a leaf, so no block outlives its parent.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    blocks: HashMap<u64, CachedBlock>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates a cache with a capacity in blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Returns the number of leading blocks of `chain` that are cached.
    pub fn warm_blocks(&self, chain: &[u64]) -> usize {
        chain.iter().take_while(|block| self.blocks.contains_key(block)).count()
    }

    /// Returns the cached blocks in ascending order.
    pub fn blocks(&self) -> Vec<u64> {
        let mut blocks: Vec<_> = self.blocks.keys().copied().collect();
        blocks.sort_unstable();
        blocks
    }

    /// Returns the root of a cached block.
    pub fn root_of(&self, block: u64) -> Option<u64> {
        self.blocks.get(&block).map(|held| held.root)
    }

    /// Returns the parent of a cached block, or `None` for the first block of a chain.
    pub fn parent_of(&self, block: u64) -> Option<u64> {
        self.blocks.get(&block).and_then(|held| held.parent)
    }

    /// Marks the cached blocks of `chain` as used.
    pub fn touch(&mut self, chain: &[u64]) {
        for block in chain.iter().rev() {
            let Some(held) = self.blocks.get_mut(block) else { continue };
            self.by_use.remove(&held.last_use);
            self.clock += 1;
            held.last_use = self.clock;
            self.by_use.insert(self.clock, *block);
        }
    }

    /// Stores or refreshes a chain whose first block follows `root`, and returns the resulting
    /// changes. If the chain is longer than the cache's capacity, its tail is not stored.
    pub fn store(&mut self, root: u64, chain: &[u64]) -> Vec<CacheChange> {
        let chain = &chain[..chain.len().min(self.capacity)];
        let mut changes = Vec::new();
        let mut parent = None;
        for block in chain {
            self.blocks.entry(*block).or_insert_with(|| {
                changes.push(CacheChange::Stored(*block));
                CachedBlock { parent, root, last_use: 0 }
            });
            parent = Some(*block);
        }
        self.touch(chain);
        while self.blocks.len() > self.capacity {
            match self.by_use.first_key_value() {
                Some((_, block)) => changes.push(self.evict(*block)),
                None => break,
            }
        }
        changes
    }

    /// Evicts all blocks below `roots` and returns the resulting changes.
    pub fn evict_roots(&mut self, roots: &HashSet<u64>) -> Vec<CacheChange> {
        let below = |block: &u64| self.root_of(*block).is_some_and(|root| roots.contains(&root));
        let evicted: Vec<_> = self.by_use.values().copied().filter(below).collect();
        evicted.into_iter().map(|block| self.evict(block)).collect()
    }

    fn evict(&mut self, block: u64) -> CacheChange {
        if let Some(held) = self.blocks.remove(&block) {
            self.by_use.remove(&held.last_use);
        }
        CacheChange::Evicted(block)
    }
}
