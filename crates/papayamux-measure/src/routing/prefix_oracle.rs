//! Upper bound on the cache reuse of any placement for the same prompts.

use std::collections::HashMap;

/// Tracks every prompt block computed so far and the engines that may hold it.
///
/// Each chat has a home engine, assigned evenly, that never evicts a block. A turn may use the
/// longest prefix that any single engine holds, at no cost in load. Blocks on a replaced engine
/// are lost. Because evictions are ignored, the result is an upper bound: no policy has to reach
/// it, and a policy can exceed it only by chance, depending on which engines are replaced.
#[derive(Debug, Default)]
pub struct PrefixOracle {
    engines_by_block: HashMap<u64, u64>,
}

impl PrefixOracle {
    /// Returns the number of leading blocks of `blocks` that a single engine could hold.
    pub fn best_blocks(&self, blocks: &[u64]) -> usize {
        let mut holders = u64::MAX;
        for (count, block) in blocks.iter().enumerate() {
            holders &= self.engines_by_block.get(block).copied().unwrap_or(0);
            if holders == 0 {
                return count;
            }
        }
        blocks.len()
    }

    /// Records that the engine with the index `engine` (below 64) holds `blocks`.
    pub fn store(&mut self, engine: usize, blocks: &[u64]) {
        for block in blocks {
            *self.engines_by_block.entry(*block).or_default() |= 1 << engine;
        }
    }

    /// Records that the engines in the bit mask `engines` lost all their blocks.
    pub fn forget(&mut self, engines: u64) {
        if engines != 0 {
            self.engines_by_block.values_mut().for_each(|holders| *holders &= !engines);
        }
    }

    /// Returns the number of distinct blocks recorded so far.
    pub fn blocks(&self) -> usize {
        self.engines_by_block.len()
    }
}
