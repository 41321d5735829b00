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
const CRASHES_TO_QUARANTINE: u32 = 2;
/// The same where other servers have ended without it. Something else ends them, which may have ended both
/// of those that ran it.
const CRASHES_TO_QUARANTINE_AMONG_OTHERS: u32 = 3;
/// How long the end of a server speaks for such a cause.
const SERVER_CRASH_TTL: Duration = Duration::from_secs(10);
/// Ends of servers that are kept.
const MAX_SERVER_CRASHES: usize = 64;
/// How long the first hold lasts.
const FIRST_QUARANTINE: Duration = Duration::from_secs(30);
/// By how much each further crash lengthens the hold.
const QUARANTINE_GROWTH: u32 = 4;
/// The longest hold.
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);
/// How long the request that tries a server after a hold may take until another one may.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a record is kept after its hold, or its last change.
const RECORD_RETENTION: Duration = Duration::from_secs(600);
/// Records kept. Beyond that the ones with the fewest crashes go first.
const MAX_RECORDS: usize = 4_096;

/// Routers told at once of what this one has seen: all of a small fleet.
const ORIGIN_FANOUT: usize = 16;
/// Routers told at once of what this one has heard, so that news reaches a large fleet in a few steps and
/// makes up for lost datagrams. Regular reports reach whoever was left out.
const RELAY_FANOUT: usize = 4;
/// Held requests that a regular report repeats.
pub const QUARANTINED_PER_REPORT: usize = 4;

/// Where a record comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoticeOrigin {
    /// This router heard of it from another one, which tells others too.
    Received,
    /// This router has seen it itself.
    Observed,
}

impl NoticeOrigin {
    /// To how many routers a record is passed on.
    pub fn fanout(self) -> usize {
        match self {
            NoticeOrigin::Received => RELAY_FANOUT,
            NoticeOrigin::Observed => ORIGIN_FANOUT,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct SuspectRequest {
    record: CrashRecord,
    changed: Instant,
    /// Until when all routers hold it.
    quarantined_until: Instant,
    /// When this router lets it try a server.
    trial_from: Instant,
    /// Whether it is held, or was until its trial.
    is_quarantined: bool,
    /// Whether others are still to be told.
    unannounced: Option<NoticeOrigin>,
}

impl SuspectRequest {
    fn new(record: CrashRecord, held: Duration, jitter: f64, now: Instant) -> Self {
        // Routers let it try again at different times: the first of them finds out for all.
        let trial_from = now + held.mul_f64(1.0 + jitter);
        let (quarantined_until, is_quarantined) = (now + held, !held.is_zero());
        Self {
            record,
            changed: now,
            quarantined_until,
            trial_from,
            is_quarantined,
            unannounced: None,
        }
    }

    fn notice(&self, fingerprint: RequestFingerprint, now: Instant) -> CrashNotice {
        let held = self.quarantined_until.saturating_duration_since(now);
        CrashNotice { fingerprint, record: self.record, held }
    }

    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.changed.max(self.quarantined_until)) >= RECORD_RETENTION
    }
}

/// The requests under which servers have ended, as one router knows them.
#[derive(Debug, Default)]
pub struct CrashQuarantine {
    requests: BTreeMap<RequestFingerprint, SuspectRequest>,
    /// Servers that have ended lately, and when, the latest last.
    server_crashes: VecDeque<(ServerId, Instant)>,
    last_repeated: Option<RequestFingerprint>,
}

impl CrashQuarantine {
    /// Whether no request is suspect.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// How long a request is still to be kept from servers; `None` where it may be sent.
    pub fn quarantine_left(
        &self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Option<Duration> {
        let suspect = self.requests.get(&fingerprint)?;
        let left = suspect.trial_from.saturating_duration_since(now);
        (suspect.is_quarantined && !left.is_zero()).then_some(left)
    }

    /// Notes that a request is about to be sent. The record returned tells which crashes it was sent
    /// after.
    pub fn begin_attempt(&mut self, fingerprint: RequestFingerprint, now: Instant) -> CrashRecord {
        let Some(suspect) = self.requests.get_mut(&fingerprint) else {
            return CrashRecord::default();
        };
        if suspect.is_quarantined {
            suspect.trial_from = suspect.trial_from.max(now + TRIAL_TIMEOUT);
        }
        suspect.record
    }

    /// Notes that a server has ended that should be serving.
    pub fn record_server_crash(&mut self, server: &ServerId, now: Instant) {
        self.server_crashes
            .retain(|(_, crashed)| now.saturating_duration_since(*crashed) < SERVER_CRASH_TTL);
        if self.server_crashes.iter().any(|(crashed, _)| crashed == server) {
            return;
        }
        if self.server_crashes.len() == MAX_SERVER_CRASHES {
            self.server_crashes.pop_front();
        }
        self.server_crashes.push_back((server.clone(), now));
    }

    /// How long a request is held from now on.
    fn quarantine_duration(&self, record: CrashRecord, now: Instant) -> Duration {
        let lately = |crashed: &Instant| now.saturating_duration_since(*crashed) < SERVER_CRASH_TTL;
        let server_crashes =
            self.server_crashes.iter().filter(|(_, crashed)| lately(crashed)).count();
        let enough = match server_crashes > record.crashes as usize {
            true => CRASHES_TO_QUARANTINE_AMONG_OTHERS,
            false => CRASHES_TO_QUARANTINE,
        };
        if record.crashes < enough {
            return Duration::ZERO;
        }
        max_quarantine(record)
    }

    /// Notes that a server ended under a request that was sent with the record `sent`. Servers that ended
    /// at the same time count as one: what ended them together was not this request alone. Returns the new
    /// record, where it tells more than the one before. `draw` is from 0 to 1.
    pub fn record_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        sent: CrashRecord,
        jitter: f64,
        now: Instant,
    ) -> Option<CrashRecord> {
        let record = sent.after_crash();
        let held = self.quarantine_duration(record, now);
        let notice = CrashNotice { fingerprint, record, held };
        self.apply(notice, NoticeOrigin::Observed, jitter, now).then_some(record)
    }

    /// Notes that a server has run a request to its end that was sent with the record `sent`. Returns
    /// whether it was suspect.
    pub fn record_run(
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
        self.apply(notice, NoticeOrigin::Observed, 0.0, now)
    }

    /// Takes in what another router tells. Returns whether that was new.
    pub fn receive_notice(&mut self, notice: CrashNotice, jitter: f64, now: Instant) -> bool {
        let held = notice.held.min(max_quarantine(notice.record));
        self.apply(CrashNotice { held, ..notice }, NoticeOrigin::Received, jitter, now)
    }

    fn apply(
        &mut self,
        notice: CrashNotice,
        origin: NoticeOrigin,
        jitter: f64,
        now: Instant,
    ) -> bool {
        let CrashNotice { fingerprint, record, held } = notice;
        let known = self.requests.get(&fingerprint).map(|suspect| suspect.record);
        if known.unwrap_or_default() >= record {
            return false;
        }
        self.make_room(now);
        let suspect = SuspectRequest::new(record, held, jitter, now);
        self.requests.insert(fingerprint, SuspectRequest { unannounced: Some(origin), ..suspect });
        true
    }

    /// Records that others are still to be told, those with the most crashes first, `most` at a time.
    pub fn next_unannounced(
        &mut self,
        origin: NoticeOrigin,
        limit: usize,
        now: Instant,
    ) -> Vec<CrashNotice> {
        let mut unannounced: Vec<_> = self
            .requests
            .iter_mut()
            .filter(|(_, suspect)| suspect.unannounced == Some(origin))
            .collect();
        unannounced.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.record.crashes));
        unannounced.truncate(limit);
        let notices = unannounced.into_iter().map(|(fingerprint, suspect)| {
            suspect.unannounced = None;
            suspect.notice(*fingerprint, now)
        });
        notices.collect()
    }

    /// Some of the requests that are held, in turn: a router that has just started knows none of them.
    pub fn next_quarantined(&mut self, limit: usize, now: Instant) -> Vec<CrashNotice> {
        let held: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, suspect)| now < suspect.quarantined_until)
            .map(|(fingerprint, suspect)| suspect.notice(*fingerprint, now))
            .collect();
        let start = self
            .last_repeated
            .map_or(0, |last| held.partition_point(|notice| notice.fingerprint <= last));
        let count = limit.min(held.len());
        let batch: Vec<_> = held.iter().cycle().skip(start).take(count).copied().collect();
        self.last_repeated = batch.last().map(|notice| notice.fingerprint);
        batch
    }

    /// Forgets records that no longer matter.
    pub fn forget_old(&mut self, now: Instant) {
        self.requests.retain(|_, suspect| !suspect.is_expired(now));
    }

    fn make_room(&mut self, now: Instant) {
        if self.requests.len() < MAX_RECORDS {
            return;
        }
        self.forget_old(now);
        if self.requests.len() < MAX_RECORDS {
            return;
        }
        let least_crashes = self
            .requests
            .iter()
            .min_by_key(|(_, suspect)| (suspect.record.crashes, suspect.changed))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = least_crashes {
            self.requests.remove(&fingerprint);
        }
    }
}

/// How long a request with this record is kept from servers at most.
fn max_quarantine(record: CrashRecord) -> Duration {
    let Some(further) = record.crashes.checked_sub(CRASHES_TO_QUARANTINE) else {
        return Duration::ZERO;
    };
    let factor = QUARANTINE_GROWTH.saturating_pow(further);
    FIRST_QUARANTINE.saturating_mul(factor).min(MAX_QUARANTINE)
}
