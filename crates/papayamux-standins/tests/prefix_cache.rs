//! Property tests of the engine's prefix cache.

use std::collections::{BTreeSet, HashSet};

use bolero::check;
use papayamux_protocol::engine::CacheChange;
use papayamux_standins::engine::PrefixCache;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of generated inputs per property; at least as many as run in one second in a debug build.
const GENERATED_INPUTS: usize = 2_000;

const CAPACITY: usize = 7;

/// Builds a chain below one of four roots. Parts have three distinct values, so that chains share
/// prefixes.
fn chain(root: u8, parts: &[u8]) -> (u64, Vec<u64>) {
    let root = u64::from(root % 4);
    let mut parent = root;
    let mut blocks = Vec::new();
    for part in parts.iter().take(10) {
        parent = xxh3_64_with_seed(&[part % 3], parent);
        blocks.push(parent);
    }
    (root, blocks)
}

fn apply(index: &mut BTreeSet<u64>, changes: Vec<CacheChange>) {
    for change in changes {
        match change {
            CacheChange::Stored(block) => assert!(index.insert(block)),
            CacheChange::Evicted(block) => assert!(index.remove(&block)),
            CacheChange::Cleared => index.clear(),
        }
    }
}

#[test]
fn no_block_outlives_its_parent_and_changes_are_complete() {
    check!().with_iterations(GENERATED_INPUTS).with_type::<Vec<(u8, u8, Vec<u8>)>>().for_each(
        |uses| {
            let mut cache = PrefixCache::new(CAPACITY);
            let mut index = BTreeSet::new();
            for (action, root, parts) in uses {
                let (root, blocks) = chain(*root, parts);
                match action % 8 {
                    0 => apply(&mut index, cache.evict_roots(&HashSet::from([root]))),
                    1 => cache.touch(&blocks[..cache.warm_blocks(&blocks)]),
                    _ => apply(&mut index, cache.store(root, &blocks)),
                }
                let held = cache.blocks();
                assert!(held.len() <= CAPACITY);
                assert!(held.iter().eq(index.iter()));
                let parents = held.iter().filter_map(|block| cache.parent_of(*block));
                assert!(parents.into_iter().all(|parent| index.contains(&parent)));
            }
        },
    );
}

#[test]
fn the_chain_used_last_is_kept_whole() {
    let mut cache = PrefixCache::new(CAPACITY);
    let (root, old) = chain(0, &[0, 0, 0, 0]);
    let (_, new) = chain(1, &[1, 1, 1, 1, 1]);
    cache.store(root, &old);
    let changes = cache.store(1, &new);
    assert_eq!(changes[5..], [CacheChange::Evicted(old[3]), CacheChange::Evicted(old[2])]);
    assert_eq!((cache.warm_blocks(&old), cache.warm_blocks(&new)), (2, 5));
}
