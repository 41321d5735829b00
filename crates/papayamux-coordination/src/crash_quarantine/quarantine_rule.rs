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
/// Consecutive crashes after which a part is quarantined that servers have served. Each request that
/// crashes servers has such parts too, and is recognised by another part first.
const SERVED_PART_CRASHES: u32 = 5;
/// Duration of the first quarantine.
const FIRST_QUARANTINE: Duration = Duration::from_secs(30);
/// Factor by which each further crash extends the quarantine of a content.
const CONTENT_GROWTH: u32 = 4;
/// Factor by which each further crash extends the quarantine of a part. Requests with it keep
/// coming, so that each end of a quarantine costs a server.
const PART_GROWTH: u32 = 8;
/// Maximum duration of a content's quarantine.
const MAX_CONTENT_QUARANTINE: Duration = Duration::from_secs(3_600);
/// Maximum duration of a part's quarantine.
const MAX_PART_QUARANTINE: Duration = Duration::from_secs(24 * 3_600);

/// The rule that a kind of suspect is quarantined by.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuarantineRule {
    /// Consecutive crashes after which the suspect is quarantined.
    crashes: u32,
    /// The same while other servers crash without the suspect.
    crashes_among_others: u32,
    growth: u32,
    max: Duration,
}

impl QuarantineRule {
    /// Returns the rule for a suspect with this record.
    pub(super) fn of(suspect: &CrashSuspect, record: CrashRecord) -> Self {
        let (crashes, crashes_among_others) = match suspect {
            CrashSuspect::Content(_) => (CONTENT_CRASHES, CONTENT_CRASHES_AMONG_OTHERS),
            CrashSuspect::Part(_) if record.cleared == 0 => (PART_CRASHES, PART_CRASHES),
            CrashSuspect::Part(_) => (SERVED_PART_CRASHES, SERVED_PART_CRASHES),
        };
        let (growth, max) = match suspect {
            CrashSuspect::Content(_) => (CONTENT_GROWTH, MAX_CONTENT_QUARANTINE),
            CrashSuspect::Part(_) => (PART_GROWTH, MAX_PART_QUARANTINE),
        };
        Self { crashes, crashes_among_others, growth, max }
    }

    /// Returns the duration of the quarantine after the last crash of `record`; zero if there is
    /// none. `server_crashes` is the number of recent crashes of servers, for whatever cause.
    pub(super) fn duration(self, record: CrashRecord, server_crashes: usize) -> Duration {
        let enough = match server_crashes > record.crashes as usize {
            true => self.crashes_among_others,
            false => self.crashes,
        };
        match record.crashes < enough {
            true => Duration::ZERO,
            false => self.max_duration(record),
        }
    }

    /// Returns the maximum quarantine of a suspect with this record.
    pub(super) fn max_duration(self, record: CrashRecord) -> Duration {
        let Some(further) = record.crashes.checked_sub(self.crashes) else {
            return Duration::ZERO;
        };
        let factor = self.growth.saturating_pow(further);
        FIRST_QUARANTINE.saturating_mul(factor).min(self.max)
    }
}
