//! When to ask the source of the configuration again.

use std::time::Duration;

/// Pause between two reads of changes. A new configuration has to be in force within two seconds,
/// and a draining server has to be left within two: a read takes up to a few hundred milliseconds
/// of a slow source's time, which leaves one read to be lost.
const READ_EVERY: Duration = Duration::from_millis(700);
/// Pause after the first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after failures: a source that is back is noticed within this time.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Part of a pause that is drawn at random, so that routers don't ask in step.
const JITTER: f64 = 0.2;
/// How long one read may take. A source under heavy load answers in hundreds of milliseconds; a
/// connection that is silent for longer is given up.
pub const READ_WITHIN: Duration = Duration::from_millis(1_500);

/// The pace of reads.
#[derive(Debug, Default)]
pub struct SourcePace {
    failures: u32,
}

impl SourcePace {
    /// Notes that a read came back; `true` where the source was away before.
    pub fn note_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Notes that a read failed; `true` where it is the first in a row.
    pub fn note_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }

    /// The pause until the next read; `draw` is from 0 up to 1.
    pub fn pause(&self, draw: f64) -> Duration {
        let pause = match self.failures {
            0 => READ_EVERY,
            failures => (FIRST_PAUSE * failures.min(5)).min(LONGEST_PAUSE),
        };
        pause.mul_f64(1.0 - JITTER * draw)
    }
}
