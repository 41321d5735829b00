//! The best cache reuse that any placement could have had for the same prompts.

use std::collections::HashMap;

/// Knows every prompt block that was ever computed, and at which engines it may lie.
///
/// Each chat has a home engine, chosen evenly, that never forgets anything, and a turn may use the
/// longest prefix that any single engine holds, at no cost in load. What lay on a replaced engine
/// is lost. Evictions are left out, so the result is an upper bound: no policy has to reach it,
/// and only luck with the engines that are replaced can lead above it.
#[derive(Debug, Default)]
pub struct PrefixOracle {
    engines_by_block: HashMap<u64, u64>,
}

impl PrefixOracle {
    /// Leading blocks of `blocks` that one engine could have held.
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

    /// Notes that the engine with number `engine` (below 64) holds `blocks` from now on.
    pub fn store(&mut self, engine: usize, blocks: &[u64]) {
        for block in blocks {
            *self.engines_by_block.entry(*block).or_default() |= 1 << engine;
        }
    }

    /// Notes that the engines in the bit mask `engines` lost what they held.
    pub fn forget(&mut self, engines: u64) {
        if engines != 0 {
            self.engines_by_block.values_mut().for_each(|holders| *holders &= !engines);
        }
    }

    /// Distinct blocks seen so far.
    pub fn blocks(&self) -> usize {
        self.engines_by_block.len()
    }
}
