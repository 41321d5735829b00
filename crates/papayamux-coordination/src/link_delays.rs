//! Detects links that delay messages.
//!
//! A link that loses packets delivers most messages at once and some only after a retransmission,
//! about 200 ms later. One such pause makes a whole stream late, and a stream of sixty events over
//! a link that loses three packets in a hundred has several. After a retransmission everything sent
//! meanwhile arrives together, which distinguishes it from a pause of the server. It affects every
//! server behind the link, so delays are counted by failure domain.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use papayamux_state::ids::FailureDomain;

/// Minimum pause in a stream that may be a retransmission. TCP retransmits a lost packet after 200
/// ms at the earliest, most of which shows as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(150);
/// Maximum gap between events that were delivered together: engines produce one about every 20 ms.
const MAX_BATCH_GAP: Duration = Duration::from_millis(4);
/// Number of events that must arrive together with the one that ended the pause.
const FOLLOWING_EVENTS: u64 = 2;

/// What the arrival of events shows of the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventTiming {
    /// The events arrived as they were produced.
    OnTime,
    /// The events were delayed by the link.
    Delayed,
    /// The next events will decide.
    Undecided,
}

/// Detects delays in the arrival of one stream's events.
#[derive(Debug, Clone, Copy)]
pub struct DelayDetector {
    last: Instant,
    /// The number of events that arrived together since a pause.
    since_pause: Option<u64>,
}

impl DelayDetector {
    /// Creates a detector for a stream whose first event arrived at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last: now, since_pause: None }
    }

    /// Records events that arrived together.
    pub fn record(&mut self, events: u64, now: Instant) -> EventTiming {
        let gap = now.saturating_duration_since(std::mem::replace(&mut self.last, now));
        let batched = match self.since_pause.take() {
            _ if gap >= MIN_PAUSE => events,
            Some(earlier) if gap < MAX_BATCH_GAP => earlier + events,
            _ => return EventTiming::OnTime,
        };
        if batched > FOLLOWING_EVENTS {
            return EventTiming::Delayed;
        }
        self.since_pause = Some(batched);
        EventTiming::Undecided
    }
}

/// Number of events over which the share of delayed ones is averaged. A router gets a hundred from
/// each domain in a fifth of a second, so that a lossy link is detected within some tenths of a
/// second.
const AVERAGED_EVENTS: f64 = 150.0;
/// Half-life of what is known of a link. While a link is avoided nothing new is learned of it, and
/// it has to be tried again after some seconds.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Share of delayed events that blames no link. A single one shows nothing, since a process that
/// pauses for a moment also gets several events together.
const BASELINE_SHARE: f64 = 0.007;
/// Factor by which the delayed share of a domain may exceed that of the best one without blaming
/// its link.
const BASELINE_FACTOR: f64 = 3.0;

#[derive(Debug, Clone, Copy)]
struct DelayedShare {
    share: f64,
    updated_at: Instant,
}

impl DelayedShare {
    fn at(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.share * (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn with(self, delayed: bool, now: Instant) -> Self {
        let share = self.at(now);
        let event = f64::from(u8::from(delayed));
        Self { share: share + (event - share) / AVERAGED_EVENTS, updated_at: now }
    }
}

/// A link that has started or stopped delaying messages.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkChange {
    /// The domain behind the link.
    pub domain: FailureDomain,
    /// The probability that an event is delayed, beyond the baseline; zero if the link has stopped.
    pub excess: f64,
}

/// The recent delays of events from each failure domain.
#[derive(Debug, Default)]
pub struct LinkDelays {
    domains: HashMap<FailureDomain, DelayedShare>,
    reported: HashSet<FailureDomain>,
}

impl LinkDelays {
    /// Records an event from `domain`.
    pub fn record(&mut self, domain: &FailureDomain, delayed: bool, now: Instant) {
        let initial = DelayedShare { share: 0.0, updated_at: now };
        let known = self.domains.entry(domain.clone()).or_insert(initial);
        *known = known.with(delayed, now);
    }

    /// Returns the changes since the last call, for the log.
    pub fn changes(&mut self, now: Instant) -> Vec<LinkChange> {
        let all = self
            .domains
            .keys()
            .map(|domain| LinkChange { domain: domain.clone(), excess: self.excess(domain, now) });
        let changed =
            |change: &LinkChange| (change.excess > 0.0) != self.reported.contains(&change.domain);
        let changes: Vec<_> = all.filter(changed).collect();
        for change in &changes {
            match change.excess > 0.0 {
                true => self.reported.insert(change.domain.clone()),
                false => self.reported.remove(&change.domain),
            };
        }
        changes
    }

    /// Returns the probability that an event from `domain` is delayed, beyond the baseline.
    pub fn excess(&self, domain: &FailureDomain, now: Instant) -> f64 {
        let Some(own) = self.domains.get(domain) else { return 0.0 };
        let shares = self.domains.values().map(|known| known.at(now));
        let least = shares.fold(f64::INFINITY, f64::min);
        (own.at(now) - least * BASELINE_FACTOR - BASELINE_SHARE).max(0.0)
    }
}
