//! When an agent trusts its index of the engine's prefix cache.

use std::time::{Duration, Instant};

use papayamux_state::cache_index::{short_hash, BlockChange, CacheIndex, EventBatch};

fn stored(incarnation: u64, through: u64, blocks: &[(u64, u64)]) -> EventBatch {
    let changes =
        blocks.iter().map(|(number, block)| (*number, BlockChange::Stored(*block))).collect();
    EventBatch { incarnation, through, changes }
}

fn warm(index: &CacheIndex, blocks: &[u64], now: Instant) -> usize {
    index.warm_prefix(blocks.iter().map(|block| short_hash(*block)), now)
}

#[test]
fn a_gap_makes_the_index_suspect_until_it_is_rebuilt() {
    let (mut index, now) = (CacheIndex::default(), Instant::now());
    index.rebuild(1, 10, [100, 101].into_iter(), now);
    index.apply(&stored(1, 11, &[(11, 102)]), now);
    assert!(!index.needs_rebuild());
    assert_eq!(warm(&index, &[100, 101, 102, 103], now), 3);
    index.apply(&stored(1, 13, &[(13, 103)]), now);
    assert!(index.needs_rebuild());
    assert_eq!(warm(&index, &[100], now), 1, "a suspect index is trusted for a limited time");
    let later = now + Duration::from_secs(3);
    index.apply(&stored(1, 14, &[(14, 104)]), later);
    assert_eq!(warm(&index, &[100], later), 0, "later events don't extend that time");
    index.rebuild(1, 14, [100].into_iter(), later);
    assert!(!index.needs_rebuild());
    assert_eq!(warm(&index, &[100], later), 1);
}

#[test]
fn gap_at_the_end_of_a_batch_makes_the_index_suspect() {
    let (mut index, now) = (CacheIndex::default(), Instant::now());
    index.rebuild(1, 10, [].into_iter(), now);
    index.apply(&stored(1, 12, &[(11, 102)]), now);
    assert!(index.needs_rebuild());
    assert_eq!(index.position(), 12);
}

#[test]
fn events_that_a_snapshot_includes_change_nothing() {
    let (mut index, now) = (CacheIndex::default(), Instant::now());
    index.rebuild(1, 10, [100].into_iter(), now);
    let late = EventBatch {
        incarnation: 1,
        through: 10,
        changes: vec![(9, BlockChange::Evicted(100)), (10, BlockChange::Stored(100))],
    };
    index.apply(&late, now);
    assert!(!index.needs_rebuild());
    assert_eq!(warm(&index, &[100], now), 1);
}

#[test]
fn a_restarted_engine_has_an_empty_cache() {
    let (mut index, now) = (CacheIndex::default(), Instant::now());
    index.rebuild(1, 10, [100].into_iter(), now);
    index.expect(&[101], now);
    index.apply(&stored(2, 0, &[]), now);
    assert!(index.needs_rebuild());
    assert_eq!(warm(&index, &[100, 101], now), 0);
}

#[test]
fn silent_engine_is_trusted_for_a_limited_time() {
    let (mut index, now) = (CacheIndex::default(), Instant::now());
    index.rebuild(1, 10, [100].into_iter(), now);
    assert_eq!(warm(&index, &[100], now + Duration::from_secs(6)), 0);
}

#[test]
fn expected_blocks_expire_unless_events_confirm_them() {
    let (mut index, now) = (CacheIndex::default(), Instant::now());
    index.expect(&[100, 101], now);
    assert_eq!(warm(&index, &[100, 101, 102], now), 2);
    assert_eq!(warm(&index, &[100, 101], now + Duration::from_secs(4)), 0);
}
