//! Quarantines queries of death: requests under which every server ends that runs them.
//!
//! Such a request is retried as any failed one is, through any router, and ends one server after the other.
//! So crashes count for its content and not for the call, and all routers share the count. A request that
//! only happened to be at a server that ended is cleared by its next whole run.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::ids::ServerId;
use papayamux_state::request_fingerprint::RequestFingerprint;

/// Crashes in a row after which a request is kept from servers. Others that were at the same server once
/// must still be able to go elsewhere.
const CRASHES_TO_HOLD: u32 = 2;
/// The same where other servers have ended without it. Something else ends them, which may have ended both
/// of those that ran it.
const CRASHES_AMONG_OTHERS: u32 = 3;
/// How long the end of a server speaks for such a cause.
const ENDS_COUNT_FOR: Duration = Duration::from_secs(10);
/// Ends of servers that are kept.
const MOST_ENDS: usize = 64;
/// How long the first hold lasts.
const FIRST_HOLD: Duration = Duration::from_secs(30);
/// By how much each further crash lengthens the hold.
const HOLD_GROWTH: u32 = 4;
/// The longest hold.
const LONGEST_HOLD: Duration = Duration::from_secs(3_600);
/// How long the request that tries a server after a hold may take until another one may.
const TRIAL_WITHIN: Duration = Duration::from_secs(30);
/// How long a record is kept after its hold, or its last change.
const KEPT_FOR: Duration = Duration::from_secs(600);
/// Records kept. Beyond that the ones with the fewest crashes go first.
const MOST_RECORDS: usize = 4_096;

/// Routers told at once of what this one has seen: all of a small fleet.
const TOLD_OF_SEEN: usize = 16;
/// Routers told at once of what this one has heard, so that news reaches a large fleet in a few steps and
/// makes up for lost datagrams. Regular reports reach whoever was left out.
const TOLD_OF_HEARD: usize = 4;
/// Held requests that a regular report repeats.
pub const HELD_PER_REPORT: usize = 4;

/// Where a record comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoticeOrigin {
    /// This router heard of it from another one, which tells others too.
    Heard,
    /// This router has seen it itself.
    Seen,
}

impl NoticeOrigin {
    /// To how many routers a record is passed on.
    pub fn fanout(self) -> usize {
        match self {
            NoticeOrigin::Heard => TOLD_OF_HEARD,
            NoticeOrigin::Seen => TOLD_OF_SEEN,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct SuspectRequest {
    record: CrashRecord,
    changed: Instant,
    /// Until when all routers hold it.
    held_until: Instant,
    /// When this router lets it try a server.
    trial_from: Instant,
    /// Whether it is held, or was until its trial.
    is_held: bool,
    /// Whether others are still to be told.
    untold: Option<NoticeOrigin>,
}

impl SuspectRequest {
    fn new(record: CrashRecord, held: Duration, draw: f64, now: Instant) -> Self {
        // Routers let it try again at different times: the first of them finds out for all.
        let trial_from = now + held.mul_f64(1.0 + draw);
        let (held_until, is_held) = (now + held, !held.is_zero());
        Self { record, changed: now, held_until, trial_from, is_held, untold: None }
    }

    fn notice(&self, fingerprint: RequestFingerprint, now: Instant) -> CrashNotice {
        let held = self.held_until.saturating_duration_since(now);
        CrashNotice { fingerprint, record: self.record, held }
    }

    fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.changed.max(self.held_until)) >= KEPT_FOR
    }
}

/// The requests under which servers have ended, as one router knows them.
#[derive(Debug, Default)]
pub struct CrashQuarantine {
    requests: BTreeMap<RequestFingerprint, SuspectRequest>,
    /// Servers that have ended lately, and when, the latest last.
    ends: VecDeque<(ServerId, Instant)>,
    repeated_last: Option<RequestFingerprint>,
}

impl CrashQuarantine {
    /// Whether no request is suspect.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// How long a request is still to be kept from servers; `None` where it may be sent.
    pub fn hold_left(&self, fingerprint: RequestFingerprint, now: Instant) -> Option<Duration> {
        let suspect = self.requests.get(&fingerprint)?;
        let left = suspect.trial_from.saturating_duration_since(now);
        (suspect.is_held && !left.is_zero()).then_some(left)
    }

    /// Notes that a request is about to be sent. The record returned tells which crashes it was sent
    /// after.
    pub fn begin_attempt(&mut self, fingerprint: RequestFingerprint, now: Instant) -> CrashRecord {
        let Some(suspect) = self.requests.get_mut(&fingerprint) else {
            return CrashRecord::default();
        };
        if suspect.is_held {
            suspect.trial_from = suspect.trial_from.max(now + TRIAL_WITHIN);
        }
        suspect.record
    }

    /// Notes that a server has ended that should be serving.
    pub fn note_end(&mut self, server: &ServerId, now: Instant) {
        self.ends.retain(|(_, ended)| now.saturating_duration_since(*ended) < ENDS_COUNT_FOR);
        if self.ends.iter().any(|(ended, _)| ended == server) {
            return;
        }
        if self.ends.len() == MOST_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back((server.clone(), now));
    }

    /// How long a request is held from now on.
    fn hold(&self, record: CrashRecord, now: Instant) -> Duration {
        let lately = |ended: &Instant| now.saturating_duration_since(*ended) < ENDS_COUNT_FOR;
        let ends = self.ends.iter().filter(|(_, ended)| lately(ended)).count();
        let enough = match ends > record.crashes as usize {
            true => CRASHES_AMONG_OTHERS,
            false => CRASHES_TO_HOLD,
        };
        if record.crashes < enough {
            return Duration::ZERO;
        }
        longest_hold(record)
    }

    /// Notes that a server ended under a request that was sent with the record `sent`. Servers that ended
    /// at the same time count as one: what ended them together was not this request alone. Returns the new
    /// record, where it tells more than the one before. `draw` is from 0 to 1.
    pub fn note_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        sent: CrashRecord,
        draw: f64,
        now: Instant,
    ) -> Option<CrashRecord> {
        let record = sent.after_crash();
        let held = self.hold(record, now);
        let notice = CrashNotice { fingerprint, record, held };
        self.take(notice, NoticeOrigin::Seen, draw, now).then_some(record)
    }

    /// Notes that a server has run a request to its end that was sent with the record `sent`. Returns
    /// whether it was suspect.
    pub fn note_run(
        &mut self,
        fingerprint: RequestFingerprint,
        sent: CrashRecord,
        now: Instant,
    ) -> bool {
        let known = self.requests.get(&fingerprint).map(|suspect| suspect.record);
        let record = known.unwrap_or_default().max(sent);
        if record.crashes == 0 {
            return false;
        }
        let notice = CrashNotice { fingerprint, record: record.after_run(), held: Duration::ZERO };
        self.take(notice, NoticeOrigin::Seen, 0.0, now)
    }

    /// Takes in what another router tells. Returns whether that was new.
    pub fn take_notice(&mut self, notice: CrashNotice, draw: f64, now: Instant) -> bool {
        let held = notice.held.min(longest_hold(notice.record));
        self.take(CrashNotice { held, ..notice }, NoticeOrigin::Heard, draw, now)
    }

    fn take(&mut self, notice: CrashNotice, origin: NoticeOrigin, draw: f64, now: Instant) -> bool {
        let CrashNotice { fingerprint, record, held } = notice;
        let known = self.requests.get(&fingerprint).map(|suspect| suspect.record);
        if known.unwrap_or_default() >= record {
            return false;
        }
        self.make_place(now);
        let suspect = SuspectRequest::new(record, held, draw, now);
        self.requests.insert(fingerprint, SuspectRequest { untold: Some(origin), ..suspect });
        true
    }

    /// Records that others are still to be told, those with the most crashes first, `most` at a time.
    pub fn next_untold(
        &mut self,
        origin: NoticeOrigin,
        most: usize,
        now: Instant,
    ) -> Vec<CrashNotice> {
        let mut untold: Vec<_> = self
            .requests
            .iter_mut()
            .filter(|(_, suspect)| suspect.untold == Some(origin))
            .collect();
        untold.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.record.crashes));
        untold.truncate(most);
        let told = untold.into_iter().map(|(fingerprint, suspect)| {
            suspect.untold = None;
            suspect.notice(*fingerprint, now)
        });
        told.collect()
    }

    /// Some of the requests that are held, in turn: a router that has just started knows none of them.
    pub fn next_held(&mut self, most: usize, now: Instant) -> Vec<CrashNotice> {
        let held: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, suspect)| now < suspect.held_until)
            .map(|(fingerprint, suspect)| suspect.notice(*fingerprint, now))
            .collect();
        let start = self
            .repeated_last
            .map_or(0, |last| held.partition_point(|notice| notice.fingerprint <= last));
        let count = most.min(held.len());
        let turn: Vec<_> = held.iter().cycle().skip(start).take(count).copied().collect();
        self.repeated_last = turn.last().map(|notice| notice.fingerprint);
        turn
    }

    /// Forgets records that no longer matter.
    pub fn forget_old(&mut self, now: Instant) {
        self.requests.retain(|_, suspect| !suspect.is_over(now));
    }

    fn make_place(&mut self, now: Instant) {
        if self.requests.len() < MOST_RECORDS {
            return;
        }
        self.forget_old(now);
        if self.requests.len() < MOST_RECORDS {
            return;
        }
        let least = self
            .requests
            .iter()
            .min_by_key(|(_, suspect)| (suspect.record.crashes, suspect.changed))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = least {
            self.requests.remove(&fingerprint);
        }
    }
}

/// How long a request with this record is kept from servers at most.
fn longest_hold(record: CrashRecord) -> Duration {
    let Some(further) = record.crashes.checked_sub(CRASHES_TO_HOLD) else {
        return Duration::ZERO;
    };
    let factor = HOLD_GROWTH.saturating_pow(further);
    FIRST_HOLD.saturating_mul(factor).min(LONGEST_HOLD)
}
