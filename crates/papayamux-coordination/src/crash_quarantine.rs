//! Quarantines queries of death: requests that crash every server that runs them.
//!
//! Such a request is retried like any failed one, through any router, and crashes one server after
//! the other. Crashes are therefore counted by the content of a request and not by call, and all
//! routers share the count. A request that merely ran on a server that crashed is cleared by its
//! next completed run.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::ids::ServerId;
use papayamux_state::request_fingerprint::RequestFingerprint;

/// Consecutive crashes after which a request is quarantined. Other requests that were on the same
/// server once must still be able to run elsewhere.
const CRASHES_TO_QUARANTINE: u32 = 2;
/// Consecutive crashes after which a request is quarantined while other servers crash without it.
/// Those have another cause, which may also have crashed both servers that ran the request.
const CRASHES_TO_QUARANTINE_AMONG_OTHERS: u32 = 3;
/// Time for which the crash of a server counts as a sign of another cause.
const SERVER_CRASH_TTL: Duration = Duration::from_secs(10);
/// Maximum number of server crashes that are kept.
const MAX_SERVER_CRASHES: usize = 64;
/// Duration of the first quarantine.
const FIRST_QUARANTINE: Duration = Duration::from_secs(30);
/// Factor by which each further crash extends the quarantine.
const QUARANTINE_GROWTH: u32 = 4;
/// Maximum duration of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);
/// Time that the trial request after a quarantine has before another one may try.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a record is kept after its quarantine or its last change.
const RECORD_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of records. Those with the fewest crashes are evicted first.
const MAX_RECORDS: usize = 4_096;

/// Number of routers that are notified at once of this router's own observations: all of a small
/// fleet.
const ORIGIN_FANOUT: usize = 16;
/// Number of routers that are notified at once of received records. Records reach a large fleet in
/// a few steps, and lost datagrams are made up for. Regular reports reach the remaining routers.
const RELAY_FANOUT: usize = 4;
/// Number of quarantined requests that a regular report repeats.
pub const QUARANTINED_PER_REPORT: usize = 4;

/// The origin of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoticeOrigin {
    /// The record was received from another router, which notifies others too.
    Received,
    /// This router has observed it.
    Observed,
}

impl NoticeOrigin {
    /// Returns the number of routers to which a record is sent.
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
    /// When the quarantine ends that all routers apply.
    quarantined_until: Instant,
    /// When this router lets the request try a server.
    trial_from: Instant,
    /// `true` if the request is quarantined, or was until its trial.
    is_quarantined: bool,
    /// The origin of a record that is not yet announced to other routers.
    unannounced: Option<NoticeOrigin>,
}

impl SuspectRequest {
    fn new(record: CrashRecord, quarantine_left: Duration, jitter: f64, now: Instant) -> Self {
        // Routers allow a trial at different times, so that the first of them finds out for all.
        let trial_from = now + quarantine_left.mul_f64(1.0 + jitter);
        let (quarantined_until, is_quarantined) =
            (now + quarantine_left, !quarantine_left.is_zero());
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
        let quarantine_left = self.quarantined_until.saturating_duration_since(now);
        CrashNotice { fingerprint, record: self.record, quarantine_left }
    }

    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.changed.max(self.quarantined_until)) >= RECORD_RETENTION
    }
}

/// The requests that servers have crashed under, as one router knows them.
#[derive(Debug, Default)]
pub struct CrashQuarantine {
    requests: BTreeMap<RequestFingerprint, SuspectRequest>,
    /// The servers that have crashed recently and when, the latest last.
    server_crashes: VecDeque<(ServerId, Instant)>,
    last_repeated: Option<RequestFingerprint>,
}

impl CrashQuarantine {
    /// Returns whether no request is suspect.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the remaining quarantine of a request, or `None` if it may be sent.
    pub fn quarantine_left(
        &self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Option<Duration> {
        let suspect = self.requests.get(&fingerprint)?;
        let left = suspect.trial_from.saturating_duration_since(now);
        (suspect.is_quarantined && !left.is_zero()).then_some(left)
    }

    /// Records that a request is about to be sent. Returns the record of the crashes before this
    /// attempt.
    pub fn begin_attempt(&mut self, fingerprint: RequestFingerprint, now: Instant) -> CrashRecord {
        let Some(suspect) = self.requests.get_mut(&fingerprint) else {
            return CrashRecord::default();
        };
        if suspect.is_quarantined {
            suspect.trial_from = suspect.trial_from.max(now + TRIAL_TIMEOUT);
        }
        suspect.record
    }

    /// Records the crash of a server that should be serving.
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

    /// Returns the duration for which a request is quarantined from now on.
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

    /// Records that a server crashed under a request that was sent with the record `sent`.
    /// Simultaneous crashes count as one, since this request alone did not cause them together.
    /// Returns the new record if it adds to the known one. `jitter` is in the range 0 to 1.
    pub fn record_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        sent: CrashRecord,
        jitter: f64,
        now: Instant,
    ) -> Option<CrashRecord> {
        let record = sent.after_crash();
        let quarantine_left = self.quarantine_duration(record, now);
        let notice = CrashNotice { fingerprint, record, quarantine_left };
        self.apply(notice, NoticeOrigin::Observed, jitter, now).then_some(record)
    }

    /// Records that a server has completed a request that was sent with the record `sent`. Returns
    /// whether the request was suspect.
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
        let notice = CrashNotice {
            fingerprint,
            record: record.after_run(),
            quarantine_left: Duration::ZERO,
        };
        self.apply(notice, NoticeOrigin::Observed, 0.0, now)
    }

    /// Applies a notice of another router. Returns whether it was new.
    pub fn receive_notice(&mut self, notice: CrashNotice, jitter: f64, now: Instant) -> bool {
        let quarantine_left = notice.quarantine_left.min(max_quarantine(notice.record));
        self.apply(CrashNotice { quarantine_left, ..notice }, NoticeOrigin::Received, jitter, now)
    }

    fn apply(
        &mut self,
        notice: CrashNotice,
        origin: NoticeOrigin,
        jitter: f64,
        now: Instant,
    ) -> bool {
        let CrashNotice { fingerprint, record, quarantine_left } = notice;
        let known = self.requests.get(&fingerprint).map(|suspect| suspect.record);
        if known.unwrap_or_default() >= record {
            return false;
        }
        self.make_room(now);
        let suspect = SuspectRequest::new(record, quarantine_left, jitter, now);
        self.requests.insert(fingerprint, SuspectRequest { unannounced: Some(origin), ..suspect });
        true
    }

    /// Returns at most `limit` records that are not yet announced, those with the most crashes
    /// first, and marks them as announced.
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

    /// Returns at most `limit` of the quarantined requests, in rotation: a router that has just
    /// started knows none of them.
    pub fn next_quarantined(&mut self, limit: usize, now: Instant) -> Vec<CrashNotice> {
        let quarantined: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, suspect)| now < suspect.quarantined_until)
            .map(|(fingerprint, suspect)| suspect.notice(*fingerprint, now))
            .collect();
        let start = self
            .last_repeated
            .map_or(0, |last| quarantined.partition_point(|notice| notice.fingerprint <= last));
        let count = limit.min(quarantined.len());
        let batch: Vec<_> = quarantined.iter().cycle().skip(start).take(count).copied().collect();
        self.last_repeated = batch.last().map(|notice| notice.fingerprint);
        batch
    }

    /// Removes expired records.
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

/// Returns the maximum quarantine of a request with this record.
fn max_quarantine(record: CrashRecord) -> Duration {
    let Some(further) = record.crashes.checked_sub(CRASHES_TO_QUARANTINE) else {
        return Duration::ZERO;
    };
    let factor = QUARANTINE_GROWTH.saturating_pow(further);
    FIRST_QUARANTINE.saturating_mul(factor).min(MAX_QUARANTINE)
}
