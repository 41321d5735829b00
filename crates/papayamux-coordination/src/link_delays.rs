//! Over which links messages are held up.
//!
//! A link that loses packets delivers most messages at once and some only after a retransmission,
//! some 200 ms later. One such pause makes a whole stream late, and a stream of sixty events over a
//! link that loses three packets in a hundred has several. After a retransmission all that was sent
//! meanwhile arrives together, which tells it from a server that paused. It shows in every server
//! behind the link, so that the delays are counted by failure domain.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use papayamux_state::ids::FailureDomain;

/// A pause in a stream from which a retransmission is suspected. TCP sends a lost packet again after
/// 200 ms at the least; most of that is seen.
const MIN_PAUSE: Duration = Duration::from_millis(150);
/// Events that arrive within this time of each other were delivered together: engines make one
/// every 20 ms or so.
const MAX_BATCH_GAP: Duration = Duration::from_millis(4);
/// Events that must arrive together with the one that ended the pause.
const FOLLOWING_EVENTS: u64 = 2;

/// What the arrival of events shows of the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventTiming {
    /// They came as they were made.
    OnTime,
    /// They were held up on the way.
    Delayed,
    /// The next events will tell.
    Undecided,
}

/// The rhythm in which one stream's events arrive.
#[derive(Debug, Clone, Copy)]
pub struct DelayDetector {
    last: Instant,
    /// Events that arrived together since a pause.
    since_pause: Option<u64>,
}

impl DelayDetector {
    /// A stream whose first event arrived at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last: now, since_pause: None }
    }

    /// Notes events that arrived together.
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

/// Events over which the part that is held up is taken: a router gets a hundred from each domain in
/// a fifth of a second, so that a link is found out within some tenths.
const AVERAGED_EVENTS: f64 = 150.0;
/// Time after which what is known of a link counts half: what avoids a link learns nothing new of it,
/// and has to try it again after some seconds.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// The part of events that may be held up without a link being to blame: one alone shows nothing, as
/// a process that stands still for a moment also gets several together.
const BASELINE_SHARE: f64 = 0.007;
/// How many times as often events of one domain may be held up as those of the best one without its
/// link being to blame.
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

/// A link that has begun to hold messages up, or has stopped.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkChange {
    /// The domain behind it.
    pub domain: FailureDomain,
    /// The chance that an event is held up, beyond the usual; zero where it has stopped.
    pub excess: f64,
}

/// How events came from each failure domain lately.
#[derive(Debug, Default)]
pub struct LinkDelays {
    domains: HashMap<FailureDomain, DelayedShare>,
    reported: HashSet<FailureDomain>,
}

impl LinkDelays {
    /// Notes an event from `domain`.
    pub fn record(&mut self, domain: &FailureDomain, delayed: bool, now: Instant) {
        let fresh = DelayedShare { share: 0.0, updated_at: now };
        let known = self.domains.entry(domain.clone()).or_insert(fresh);
        *known = known.with(delayed, now);
    }

    /// What has changed since this was asked last, for the log.
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

    /// The chance that an event from `domain` is held up, beyond the usual.
    pub fn excess(&self, domain: &FailureDomain, now: Instant) -> f64 {
        let Some(own) = self.domains.get(domain) else { return 0.0 };
        let shares = self.domains.values().map(|known| known.at(now));
        let least = shares.fold(f64::INFINITY, f64::min);
        (own.at(now) - least * BASELINE_FACTOR - BASELINE_SHARE).max(0.0)
    }
}
