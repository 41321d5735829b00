//! A bounded log of cache events, with optional delay and event loss.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use papayamux_protocol::engine::{CacheChange, CacheEvent, CacheEventPage, MAX_EVENTS_PER_PAGE};
use papayamux_state::ids::Incarnation;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Options of an event log.
#[derive(Debug, Clone, Copy)]
pub struct EventLogOptions {
    /// Maximum number of retained events.
    pub capacity: usize,
    /// Delay until the event of a change becomes visible.
    pub lateness: Duration,
    /// Fraction of events that are lost, from 0 to 1.
    pub gap_share: f64,
    /// Seed that selects the lost events.
    pub gap_seed: u64,
}

impl Default for EventLogOptions {
    fn default() -> Self {
        Self { capacity: 65_536, lateness: Duration::ZERO, gap_share: 0.0, gap_seed: 0 }
    }
}

/// A logged cache change; `change` is `None` for a lost event.
#[derive(Debug)]
struct LoggedChange {
    at: Instant,
    change: Option<CacheChange>,
}

/// Numbered cache events of one engine incarnation.
#[derive(Debug)]
pub struct EventLog {
    options: EventLogOptions,
    incarnation: Incarnation,
    last: u64,
    changes: VecDeque<LoggedChange>,
}

impl EventLog {
    /// Creates an empty log. The first event gets number 1.
    pub fn new(options: EventLogOptions) -> Self {
        Self { options, incarnation: Incarnation::generate(), last: 0, changes: VecDeque::new() }
    }

    /// Returns the incarnation of the engine that this log belongs to.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.get()
    }

    /// Returns the number of the last event, even if it is not visible yet or was lost.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Appends changes that happened at `now`, with ascending numbers.
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

    /// Returns at most `limit` events after number `after` that are visible at `now`.
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
