//! The log of cache events: bounded, late, and with gaps where the options ask for them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use papayamux_protocol::engine::{CacheChange, CacheEvent, CacheEventPage, MAX_EVENTS_PER_PAGE};
use papayamux_state::ids::Incarnation;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How the log treats its events.
#[derive(Debug, Clone, Copy)]
pub struct EventLogOptions {
    /// Events kept.
    pub capacity: usize,
    /// How long after a change its event becomes visible.
    pub lateness: Duration,
    /// The share of events that are lost, from 0 to 1.
    pub gap_share: f64,
    /// The seed that decides which ones are lost.
    pub gap_seed: u64,
}

impl Default for EventLogOptions {
    fn default() -> Self {
        Self { capacity: 65_536, lateness: Duration::ZERO, gap_share: 0.0, gap_seed: 0 }
    }
}

/// `None` stands for an event that was lost.
#[derive(Debug)]
struct LoggedChange {
    at: Instant,
    change: Option<CacheChange>,
}

/// Numbered cache events of one life of an engine.
#[derive(Debug)]
pub struct EventLog {
    options: EventLogOptions,
    incarnation: Incarnation,
    last: u64,
    changes: VecDeque<LoggedChange>,
}

impl EventLog {
    /// An empty log; the first event gets number 1.
    pub fn new(options: EventLogOptions) -> Self {
        Self { options, incarnation: Incarnation::generate(), last: 0, changes: VecDeque::new() }
    }

    /// The life of the engine that this log belongs to.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.get()
    }

    /// The number of the last event, also of one that is not visible yet or was lost.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Numbers and keeps changes that happened at `now`.
    pub fn append(&mut self, now: Instant, changes: Vec<CacheChange>) {
        for change in changes {
            self.last += 1;
            let change = (!self.loses(self.last)).then_some(change);
            self.changes.push_back(LoggedChange { at: now, change });
            if self.changes.len() > self.options.capacity {
                self.changes.pop_front();
            }
        }
    }

    /// The events after number `after` that are visible at `now`, at most `limit`.
    pub fn page(&self, now: Instant, after: u64, limit: usize) -> CacheEventPage {
        let first_kept = self.last + 1 - self.changes.len() as u64;
        let skipped = after.saturating_add(1).saturating_sub(first_kept);
        let limit = limit.min(MAX_EVENTS_PER_PAGE);
        let mut page = CacheEventPage {
            incarnation: self.incarnation.get(),
            first_kept,
            through: after,
            events: Vec::new(),
        };
        let kept = self.changes.iter().zip(first_kept..).skip(skipped as usize).take(limit);
        for (logged, number) in kept {
            if logged.at + self.options.lateness > now {
                break;
            }
            page.through = number;
            page.events.extend(logged.change.clone().map(|change| CacheEvent { number, change }));
        }
        page
    }

    fn loses(&self, number: u64) -> bool {
        let hash = xxh3_64_with_seed(&number.to_le_bytes(), self.options.gap_seed);
        (hash as f64) < self.options.gap_share * (u64::MAX as f64)
    }
}
