//! An agent's view of the blocks in its engine's prefix cache.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Maximum number of blocks in an index.
const MAX_BLOCKS: usize = 262_144;
/// Maximum number of expected blocks that no event has confirmed yet.
const MAX_EXPECTED_BLOCKS: usize = 65_536;
/// The duration for which a block counts as cached without an event that confirms it.
const EXPECTED_BLOCK_TTL: Duration = Duration::from_secs(3);
/// The duration for which an index that misses an event is still trusted while it waits to be
/// rebuilt.
const MAX_SUSPECT_AGE: Duration = Duration::from_secs(2);
/// The duration for which an index is trusted after the last batch of events or snapshot.
const MAX_EVENT_SILENCE: Duration = Duration::from_secs(5);

/// A change to the engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockChange {
    /// A block was stored, named by its hash.
    Stored(u64),
    /// A block was evicted, named by its hash.
    Evicted(u64),
    /// The cache was cleared.
    Cleared,
}

/// A batch of consecutive cache events of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// The engine's incarnation.
    pub incarnation: u64,
    /// The number of the last event that the batch covers.
    pub through: u64,
    /// The changes with their event numbers, in ascending order.
    pub changes: Vec<(u64, BlockChange)>,
}

/// How far the events in an index can be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IndexTrust {
    /// The index has not been built from a snapshot.
    Unbuilt,
    /// The index includes every event up to its position.
    Complete,
    /// At least one event is missing, which was noticed at `since`.
    Suspect { since: Instant },
}

/// An index of an engine's cached blocks, keyed by the lower 32 bits of their hashes.
#[derive(Debug)]
pub struct CacheIndex {
    blocks: HashSet<u32>,
    expected: HashMap<u32, Instant>,
    expected_order: VecDeque<(u32, Instant)>,
    incarnation: u64,
    position: u64,
    last_received: Option<Instant>,
    trust: IndexTrust,
}

impl Default for CacheIndex {
    fn default() -> Self {
        Self {
            blocks: HashSet::new(),
            expected: HashMap::new(),
            expected_order: VecDeque::new(),
            incarnation: 0,
            position: 0,
            last_received: None,
            trust: IndexTrust::Unbuilt,
        }
    }
}

/// Returns the lower 32 bits of a block hash, the form used in the index and in probes.
pub fn short_hash(hash: u64) -> u32 {
    hash as u32
}

impl CacheIndex {
    /// Returns the number of the last event that the index includes.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns whether the index must be rebuilt from a snapshot.
    pub fn needs_rebuild(&self) -> bool {
        self.trust != IndexTrust::Complete
    }

    /// Replaces all known blocks with those of a snapshot. Blocks expected of another incarnation are
    /// dropped.
    pub fn rebuild(
        &mut self,
        incarnation: u64,
        event: u64,
        blocks: impl Iterator<Item = u64>,
        now: Instant,
    ) {
        if incarnation != self.incarnation {
            self.forget_expected();
        }
        self.blocks = blocks.map(short_hash).take(MAX_BLOCKS).collect();
        self.incarnation = incarnation;
        self.position = event;
        self.last_received = Some(now);
        self.trust = IndexTrust::Complete;
    }

    /// Applies a batch of events. Events up to the current position are skipped. A new incarnation of
    /// the engine clears the index; a gap in the event numbers makes it suspect.
    pub fn apply(&mut self, batch: &EventBatch, now: Instant) {
        if batch.incarnation != self.incarnation {
            self.blocks.clear();
            self.forget_expected();
            (self.incarnation, self.position) = (batch.incarnation, 0);
            self.suspect(now);
        }
        self.last_received = Some(now);
        for (number, change) in &batch.changes {
            if *number <= self.position {
                continue;
            }
            if *number != self.position + 1 {
                self.suspect(now);
            }
            self.position = *number;
            self.apply_change(*change);
        }
        if batch.through > self.position {
            self.position = batch.through;
            self.suspect(now);
        }
    }

    fn apply_change(&mut self, change: BlockChange) {
        match change {
            BlockChange::Stored(hash) if self.blocks.len() < MAX_BLOCKS => {
                self.blocks.insert(short_hash(hash));
            }
            BlockChange::Stored(_) => {}
            BlockChange::Evicted(hash) => {
                self.blocks.remove(&short_hash(hash));
                self.expected.remove(&short_hash(hash));
            }
            BlockChange::Cleared => {
                self.blocks.clear();
                self.forget_expected();
            }
        }
    }

    /// Marks a complete index as suspect because events are missing.
    pub fn suspect(&mut self, now: Instant) {
        if self.trust == IndexTrust::Complete {
            self.trust = IndexTrust::Suspect { since: now };
        }
    }

    /// Records the blocks of a prompt that was just sent to the engine as expected in its cache.
    pub fn expect(&mut self, hashes: &[u64], now: Instant) {
        self.drop_expired(now);
        for hash in hashes.iter().map(|hash| short_hash(*hash)) {
            if self.expected_order.len() >= MAX_EXPECTED_BLOCKS {
                break;
            }
            self.expected.insert(hash, now);
            self.expected_order.push_back((hash, now));
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some((hash, since)) = self.expected_order.front().copied() {
            if now.saturating_duration_since(since) < EXPECTED_BLOCK_TTL {
                break;
            }
            self.expected_order.pop_front();
            if self.expected.get(&hash) == Some(&since) {
                self.expected.remove(&hash);
            }
        }
    }

    fn forget_expected(&mut self) {
        self.expected.clear();
        self.expected_order.clear();
    }

    /// Returns whether the blocks known from events and snapshots can be trusted at `now`.
    pub fn is_trusted(&self, now: Instant) -> bool {
        let within = |since: Instant, limit| now.saturating_duration_since(since) < limit;
        match self.trust {
            IndexTrust::Unbuilt => false,
            IndexTrust::Complete => self
                .last_received
                .is_some_and(|last_received| within(last_received, MAX_EVENT_SILENCE)),
            IndexTrust::Suspect { since } => within(since, MAX_SUSPECT_AGE),
        }
    }

    /// Returns the number of leading `hashes` that are known or expected to be cached.
    pub fn warm_prefix(&self, hashes: impl Iterator<Item = u32>, now: Instant) -> usize {
        let trusted = self.is_trusted(now);
        let is_expected = |hash: &u32| {
            let since = self.expected.get(hash);
            since.is_some_and(|since| now.saturating_duration_since(*since) < EXPECTED_BLOCK_TTL)
        };
        hashes
            .take_while(|hash| (trusted && self.blocks.contains(hash)) || is_expected(hash))
            .count()
    }
}
