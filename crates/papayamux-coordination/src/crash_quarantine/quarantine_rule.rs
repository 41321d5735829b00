//! How many crashes quarantine a suspect, and for how long.

use std::time::Duration;

use papayamux_state::crash_record::CrashRecord;
use papayamux_state::crash_suspect::CrashSuspect;

/// Consecutive crashes after which a request is quarantined. Other requests that were on the same
/// server once must still be able to run elsewhere.
const CONTENT_CRASHES: u32 = 2;
/// Consecutive crashes after which a request is quarantined while other servers crash without it.
/// Those have another cause, which may also have crashed both servers that ran the request.
const CONTENT_CRASHES_AMONG_OTHERS: u32 = 3;
/// Consecutive crashes after which a part is quarantined that no server is known to have served.
/// More requests depend on a part than on a content.
const PART_CRASHES: u32 = 3;
/// The same while most crashes of servers are of others. Rarely used parts are then on several crashed
/// servers in a row by chance.
const PART_CRASHES_AMONG_OTHERS: u32 = 6;
/// Consecutive crashes after which a suspect is quarantined that servers have served. It is on
/// servers that crash on something else, as each request that crashes them has such parts too.
const SERVED_CRASHES: u32 = 5;
/// The same while most crashes of servers are of others, or under a part that no server has served.
const SERVED_CRASHES_AMONG_OTHERS: u32 = 8;
/// Ratio of recent crashes to those under a suspect above which most crashes are of others. Requests
/// with a suspect that are sent at the same time crash several servers, which count as one.
const OTHERS_RATIO: usize = 4;
/// Duration of the first quarantine.
const FIRST_QUARANTINE: Duration = Duration::from_secs(30);
/// Duration of the first quarantine of a suspect that servers have served. Many requests depend on
/// it, and something else on the same servers is the more likely cause, so that a trial follows soon.
const FIRST_SERVED_QUARANTINE: Duration = Duration::from_secs(3);
/// Factor by which each further crash extends the quarantine of a content.
const CONTENT_GROWTH: u32 = 4;
/// Factor by which each further crash extends the quarantine of a part. Requests with it keep
/// coming, so that each end of a quarantine costs a server.
const PART_GROWTH: u32 = 8;
/// Maximum duration of a content's quarantine.
const MAX_CONTENT_QUARANTINE: Duration = Duration::from_secs(3_600);
/// Maximum duration of a part's quarantine.
const MAX_PART_QUARANTINE: Duration = Duration::from_secs(24 * 3_600);

/// Whether servers have served a suspect, as far as a router knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SuspectHistory {
    /// They have.
    Served,
    /// They may have, before this router started.
    Unknown,
    /// They have not.
    Unserved,
}

impl From<CrashRecord> for SuspectHistory {
    /// Returns the history that a record shows.
    fn from(record: CrashRecord) -> Self {
        match record.cleared {
            0 => Self::Unserved,
            _ => Self::Served,
        }
    }
}

/// The rule that a kind of suspect is quarantined by.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuarantineRule {
    /// Consecutive crashes after which the suspect is quarantined.
    crashes: u32,
    /// The same while something else crashes servers too.
    crashes_among_others: u32,
    /// Ratio of recent crashes to those under the suspect above which other servers crash.
    others_ratio: usize,
    /// Duration of the first quarantine.
    first: Duration,
    /// Factor by which each crash beyond `crashes` extends the first quarantine.
    first_growth: u32,
    /// Factor by which each failed trial extends the quarantine.
    growth: u32,
    max: Duration,
}

impl QuarantineRule {
    /// Returns the rule for a suspect.
    pub(super) fn of(suspect: &CrashSuspect, history: SuspectHistory) -> Self {
        let unserved_rule = Self::of_unserved(suspect);
        if history == SuspectHistory::Unserved {
            return unserved_rule;
        }
        let first = match history {
            SuspectHistory::Served => FIRST_SERVED_QUARANTINE,
            SuspectHistory::Unknown | SuspectHistory::Unserved => FIRST_QUARANTINE,
        };
        Self {
            crashes: SERVED_CRASHES,
            crashes_among_others: SERVED_CRASHES_AMONG_OTHERS,
            others_ratio: OTHERS_RATIO,
            first,
            first_growth: 1,
            ..unserved_rule
        }
    }

    fn of_unserved(suspect: &CrashSuspect) -> Self {
        match suspect {
            CrashSuspect::Content(_) => Self {
                crashes: CONTENT_CRASHES,
                crashes_among_others: CONTENT_CRASHES_AMONG_OTHERS,
                others_ratio: 1,
                first: FIRST_QUARANTINE,
                first_growth: CONTENT_GROWTH,
                growth: CONTENT_GROWTH,
                max: MAX_CONTENT_QUARANTINE,
            },
            CrashSuspect::Part(_) => Self {
                crashes: PART_CRASHES,
                crashes_among_others: PART_CRASHES_AMONG_OTHERS,
                others_ratio: OTHERS_RATIO,
                first: FIRST_QUARANTINE,
                first_growth: 1,
                growth: PART_GROWTH,
                max: MAX_PART_QUARANTINE,
            },
        }
    }

    /// Returns the duration of the first quarantine after the last crash of `record`; zero if there
    /// is none. `has_other_cause` is `true` if something else crashes servers too.
    pub(super) fn first_duration(self, record: CrashRecord, has_other_cause: bool) -> Duration {
        let enough = match has_other_cause {
            true => self.crashes_among_others,
            false => self.crashes,
        };
        match record.crashes < enough {
            true => Duration::ZERO,
            false => self.full_first_duration(record),
        }
    }

    /// Returns whether most of the recent crashes of servers, for whatever cause, were of others than
    /// those of `record`.
    pub(super) fn is_among_others(self, record: CrashRecord, server_crashes: usize) -> bool {
        server_crashes > record.crashes as usize * self.others_ratio
    }

    /// Returns the duration of a first quarantine after the last crash of `record`.
    pub(super) fn full_first_duration(self, record: CrashRecord) -> Duration {
        let further = record.crashes.saturating_sub(self.crashes);
        let factor = self.first_growth.saturating_pow(further);
        self.first.saturating_mul(factor).min(self.max)
    }

    /// Returns the duration of the quarantine after a trial has crashed its server too. `last` is
    /// what was left of the quarantine before when this router learnt of it.
    pub(super) fn next_duration(self, last: Duration) -> Duration {
        let mut duration = self.first;
        while duration < last {
            duration *= self.growth;
        }
        (duration * self.growth).min(self.max)
    }

    /// Returns the maximum quarantine of a suspect with this record.
    pub(super) fn max_duration(self, record: CrashRecord) -> Duration {
        let Some(further) = record.crashes.checked_sub(self.crashes) else {
            return Duration::ZERO;
        };
        let factor = self.growth.saturating_pow(further);
        self.first.saturating_mul(factor).min(self.max)
    }
}
