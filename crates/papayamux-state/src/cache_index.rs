//! What an agent believes its engine's prefix cache to hold.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Blocks that an index holds at most.
const MAX_BLOCKS: usize = 262_144;
/// Blocks that are expected at most.
const MAX_EXPECTED_BLOCKS: usize = 65_536;
/// How long a block is expected before an event has to have confirmed it.
const EXPECTED_BLOCK_TTL: Duration = Duration::from_secs(3);
/// How long an index with a gap is believed while it waits to be rebuilt.
const MAX_SUSPECT_AGE: Duration = Duration::from_secs(2);
/// How long an index is believed after the last page of events.
const MAX_EVENT_SILENCE: Duration = Duration::from_secs(5);

/// One change of the engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockChange {
    /// The block was stored.
    Stored(u64),
    /// The block was evicted.
    Evicted(u64),
    /// All blocks were dropped.
    Cleared,
}

/// A stretch of an engine's events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// The engine's life.
    pub incarnation: u64,
    /// The number that the stretch reaches to.
    pub through: u64,
    /// Numbered changes, the lowest first.
    pub changes: Vec<(u64, BlockChange)>,
}

/// Whether the index can be believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IndexTrust {
    /// Nothing is known yet.
    Unbuilt,
    /// No event is missing.
    Complete,
    /// An event is missing since then.
    Suspect { since: Instant },
}

/// An index of blocks, by the lower 32 bits of their hashes.
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

/// A hash as the index and probes carry it.
pub fn short_hash(hash: u64) -> u32 {
    hash as u32
}

impl CacheIndex {
    /// The number of the last event that the index includes.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Whether the index must be rebuilt from a snapshot.
    pub fn needs_rebuild(&self) -> bool {
        self.trust != IndexTrust::Complete
    }

    /// Puts a snapshot in place of all blocks known before.
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

    /// Applies a stretch of events. Another life of the engine empties the index; a missing number
    /// makes it suspect.
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

    /// Notes that events are missing, unless that is known.
    pub fn suspect(&mut self, now: Instant) {
        if self.trust == IndexTrust::Complete {
            self.trust = IndexTrust::Suspect { since: now };
        }
    }

    /// Expects blocks of a prompt that was given to the engine just now.
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

    /// Whether what events and snapshots said is believed at `now`.
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

    /// How many of the leading `hashes` are cached, as far as is known.
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
