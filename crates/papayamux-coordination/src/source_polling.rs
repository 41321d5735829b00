//! When to ask the source of the configuration again.

use std::time::Duration;

use crate::fleet_knowledge::SourceRole;

/// Part of the bounds on changes that passes between two reads: the other part is for a slow
/// source's answer.
const CHANGE_BOUND_FRACTION: f64 = 0.5;
/// Part of the keys' longest age that passes between two reads: two reads may be lost.
const KEY_AGE_FRACTION: f64 = 1.0 / 3.0;
/// The longest pause between two reads, where no bound asks for less.
const MAX_INTERVAL: Duration = Duration::from_millis(1_500);
/// The shortest pause between two reads: below this the source's own time would be exceeded.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two reads while lapsed servers may come back.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The longest pause after failures: a source that is back is noticed within this time.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Part of the pause of a router that reads by itself that lies at least between two reads which others
/// ask for. Each router reads a new configuration once it hears of it; where several come in quick
/// succession, that is not once for each.
const REQUESTED_READ_SPACING: f64 = 0.5;
/// The same in pauses while reads fail. Routers that the source turns away hear of newer configurations
/// several times in a second, and each would be a call in vain.
const FAILED_READ_SPACING: f64 = 2.0;
/// Waits below this are none: timers fire later than that.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Part of a pause that is drawn at random, so that routers don't ask in step.
const JITTER: f64 = 0.2;
/// How long one read may take. A source under heavy load answers in hundreds of milliseconds; a
/// connection that is silent for longer is given up.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How soon what the source says has to have an effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadBounds {
    /// A new configuration.
    pub apply_within: Option<Duration>,
    /// A server that is draining.
    pub drain_within: Option<Duration>,
    /// The evacuation of a failure domain.
    pub evacuate_within: Option<Duration>,
    /// The longest age of the configuration at which keys are accepted.
    pub key_age: Option<Duration>,
}

impl ReadBounds {
    /// The pause between two reads that keeps all bounds.
    pub fn interval(self) -> Duration {
        let changes =
            [self.apply_within, self.drain_within, self.evacuate_within].into_iter().flatten();
        let changes = changes.map(|bound| bound.mul_f64(CHANGE_BOUND_FRACTION));
        let keys = self.key_age.map(|age| age.mul_f64(KEY_AGE_FRACTION));
        let shortest = changes.chain(keys).min().unwrap_or(MAX_INTERVAL);
        shortest.clamp(MIN_INTERVAL, MAX_INTERVAL)
    }
}

/// What a router knows when it decides whether to read now.
#[derive(Debug, Clone, Copy)]
pub struct PollView {
    /// What it does to know the source.
    pub role: SourceRole,
    /// Whether it looks often for a source that is away.
    pub seeks_source: bool,
    /// Whether lapsed servers may still come back.
    pub awaits_renewals: bool,
    /// Time since its last read ended.
    pub since_read: Duration,
    /// How old its configuration and its list of servers are, by its own read or by that of a router it follows.
    /// Who only vouches for the version of the configuration says nothing of servers.
    pub age: Option<Duration>,
}

/// The pace of reads.
#[derive(Debug)]
pub struct PollSchedule {
    interval: Duration,
    failures: u32,
}

impl PollSchedule {
    /// Reads at the interval that `bounds` ask for.
    pub fn new(bounds: ReadBounds) -> Self {
        Self { interval: bounds.interval(), failures: 0 }
    }

    /// Notes that a read came back; `true` where the source was away before.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Notes that a read failed; `true` where it is the first in a row.
    pub fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }

    /// How long to wait before the next read, as things are now; `None` where it is due. `draw` is from 0
    /// up to 1, the same for all questions between two reads.
    ///
    /// A follower reads by itself once what it was told is as old as its own last read would be: never
    /// later than if it followed nobody. Where that read failed it tries again as soon as a router by
    /// itself would: after twice the pause, behind a cut that has just healed, it would use servers that left
    /// long ago.
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

    /// Time since the last read from which on another one is made because somebody asks for it.
    pub fn requested_read_spacing(&self) -> Duration {
        let intervals =
            if self.failures == 0 { REQUESTED_READ_SPACING } else { FAILED_READ_SPACING };
        self.interval.mul_f64(intervals)
    }

    /// The pause until the next read; `draw` is from 0 up to 1.
    pub fn pause(&self, awaits_renewals: bool, sample: f64) -> Duration {
        let pause = match self.failures {
            0 if awaits_renewals => self.interval.min(RENEWAL_INTERVAL),
            0 => self.interval,
            failures => (INITIAL_BACKOFF * failures.min(5)).min(MAX_BACKOFF),
        };
        pause.mul_f64(1.0 - JITTER * sample)
    }
}
