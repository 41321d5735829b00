//! Schedules the reads of the configuration source.

use std::time::Duration;

use crate::fleet_knowledge::SourceRole;

/// Interval between two reads, as a fraction of the shortest bound on changes. The remainder is left
/// for a slow answer of the source.
const CHANGE_BOUND_FRACTION: f64 = 0.5;
/// Interval between two reads, as a fraction of the maximum key age. Two reads may be lost before keys
/// go stale.
const KEY_AGE_FRACTION: f64 = 1.0 / 3.0;
/// Maximum interval between two reads, used if no bound requires less.
const MAX_INTERVAL: Duration = Duration::from_millis(1_500);
/// Minimum interval between two reads. A shorter one would be exceeded by the source's response time.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum interval between two reads while expired servers may come back.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Back-off after the first failure; it grows linearly with further ones.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum back-off after failures. A recovered source is noticed within this time.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Minimum spacing of reads made on request, in solo read intervals. Each router reads a new
/// configuration once it is notified of it; with several in quick succession, it doesn't read once for
/// each.
const REQUESTED_READ_SPACING: f64 = 0.5;
/// Minimum spacing of reads made on request while reads fail, in solo read intervals. Routers that the
/// source refuses are notified of newer configurations several times a second, and each notification
/// would cause a failing call.
const FAILED_READ_SPACING: f64 = 2.0;
/// Minimum wait before a read; shorter ones are skipped, since timers fire later than that.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Maximum fraction by which a pause is randomly shortened, so that routers don't read in lockstep.
const JITTER: f64 = 0.2;
/// Timeout of one read. A source under heavy load answers in hundreds of milliseconds; a connection
/// that is silent for longer is closed.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without an answer after which a read is also sent over a new connection, since the open one may
/// have gone silent while the source serves others. Together with the longest pause between two reads it
/// stays below the time after which the source counts as unavailable.
pub const HEDGE_DELAY: Duration = Duration::from_millis(600);

/// Times within which changes at the source must take effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadBounds {
    /// Bound for a new configuration.
    pub apply_within: Option<Duration>,
    /// Bound for a server that starts draining.
    pub drain_within: Option<Duration>,
    /// Bound for the evacuation of a failure domain.
    pub evacuate_within: Option<Duration>,
    /// Maximum age of the configuration at which keys are accepted.
    pub key_age: Option<Duration>,
}

impl ReadBounds {
    /// Returns the interval between two reads that meets all bounds.
    pub fn interval(self) -> Duration {
        let changes =
            [self.apply_within, self.drain_within, self.evacuate_within].into_iter().flatten();
        let changes = changes.map(|bound| bound.mul_f64(CHANGE_BOUND_FRACTION));
        let keys = self.key_age.map(|age| age.mul_f64(KEY_AGE_FRACTION));
        let shortest = changes.chain(keys).min().unwrap_or(MAX_INTERVAL);
        shortest.clamp(MIN_INTERVAL, MAX_INTERVAL)
    }
}

/// State of a router that determines the time of its next read.
#[derive(Debug, Clone, Copy)]
pub struct PollView {
    /// Role of the router towards the source.
    pub role: SourceRole,
    /// `true` if the router polls an unavailable source frequently.
    pub seeks_source: bool,
    /// `true` if expired servers may still come back.
    pub awaits_renewals: bool,
    /// Time since the last read completed.
    pub since_read: Duration,
    /// Age of the configuration and the list of servers, by the router's own read or by that of a router
    /// it follows. A freshness confirmation doesn't count, since it covers the configuration version but
    /// not the servers.
    pub age: Option<Duration>,
}

/// Schedule of a router's reads, with the back-off after failures.
#[derive(Debug)]
pub struct PollSchedule {
    interval: Duration,
    failures: u32,
}

impl PollSchedule {
    /// Creates a schedule whose interval meets `bounds`.
    pub fn new(bounds: ReadBounds) -> Self {
        Self { interval: bounds.interval(), failures: 0 }
    }

    /// Records a successful read. Returns `true` if the one before had failed.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Records a failed read. Returns `true` if it is the first one in a row.
    pub fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }

    /// Returns the time until the next read, or `None` if it is due. `sample` is a random number from 0 up
    /// to 1 that stays the same between two reads.
    ///
    /// A follower reads once the updates it received are as old as its own last read would be, hence no
    /// later than if it followed nobody. After a failed read it retries as soon as a solo router would:
    /// with a delay of two intervals, it would still use servers that departed long ago when a partition
    /// has just healed.
    pub fn wait(&self, view: PollView, sample: f64) -> Option<Duration> {
        let jittered = |pause: Duration| pause.mul_f64(1.0 - JITTER * sample);
        let remaining = match view.role {
            SourceRole::Reader(interval) if self.failures == 0 => {
                let schedule = Self { interval, failures: 0 };
                schedule.pause(view.awaits_renewals, sample).saturating_sub(view.since_read)
            }
            _ if view.seeks_source => {
                self.pause(view.awaits_renewals, sample).saturating_sub(view.since_read)
            }
            _ => {
                let known_age = view.age.unwrap_or(Duration::MAX);
                let retry = self.interval.min(MAX_BACKOFF);
                let spacing = if self.failures == 0 { self.interval } else { retry };
                let until_due = jittered(self.interval).saturating_sub(known_age);
                until_due.max(jittered(spacing).saturating_sub(view.since_read))
            }
        };
        (remaining >= MIN_WAIT).then_some(remaining)
    }

    /// Returns the minimum time since the last read for a read made on request.
    pub fn requested_read_spacing(&self) -> Duration {
        let intervals =
            if self.failures == 0 { REQUESTED_READ_SPACING } else { FAILED_READ_SPACING };
        self.interval.mul_f64(intervals)
    }

    /// Returns the pause before the next read. `sample` is a random number from 0 up to 1.
    pub fn pause(&self, awaits_renewals: bool, sample: f64) -> Duration {
        let pause = match self.failures {
            0 if awaits_renewals => self.interval.min(RENEWAL_INTERVAL),
            0 => self.interval,
            failures => (INITIAL_BACKOFF * failures.min(5)).min(MAX_BACKOFF),
        };
        pause.mul_f64(1.0 - JITTER * sample)
    }
}
