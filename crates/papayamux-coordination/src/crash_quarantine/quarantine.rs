//! The suspects and their quarantine, as one router knows them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::crash_suspect::CrashSuspect;
use papayamux_state::ids::{ServerId, ServiceId};
use papayamux_state::prompt::PartId;

use super::quarantine_rule::{QuarantineRule, SuspectHistory};
use super::served_parts::ServedParts;
use super::server_crashes::{is_recent, ServerCrashes};
use super::suspect_record::SuspectRecord;
use super::{HeldSuspect, NoticeOrigin};

/// Maximum number of records. Those with the fewest crashes are evicted first.
const MAX_RECORDS: usize = 4_096;
/// Number of quarantined suspects that a regular report repeats.
pub const QUARANTINED_PER_REPORT: usize = 4;

/// What servers have crashed on, as one router knows it.
#[derive(Debug, Default)]
pub struct CrashQuarantine {
    suspects: BTreeMap<CrashSuspect, SuspectRecord>,
    server_crashes: ServerCrashes,
    served_parts: ServedParts,
    /// When a server last crashed or was found to be down.
    last_crash: Option<Instant>,
    last_repeated: Option<CrashSuspect>,
}

impl CrashQuarantine {
    /// Returns whether nothing is suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether a server has crashed recently or was found to be down, by this router's
    /// observation or a notice.
    pub fn has_recent_crashes(&self, now: Instant) -> bool {
        self.last_crash.is_some_and(|crashed| is_recent(crashed, now))
    }

    /// Returns the remaining quarantine of a suspect, or `None` if requests with it may be sent.
    pub fn quarantine_left(&self, suspect: &CrashSuspect, now: Instant) -> Option<Duration> {
        self.suspects.get(suspect)?.quarantine_left(now)
    }

    /// Returns the suspect that is quarantined longest, or `None` if a request with these suspects may
    /// be sent.
    pub fn held_suspect(&self, suspects: &[CrashSuspect], now: Instant) -> Option<HeldSuspect> {
        let held = suspects.iter().filter_map(|suspect| {
            let left = self
                .quarantine_left(suspect, now)
                .or_else(|| self.clean_trial_left(suspect, suspects, now))?;
            Some(HeldSuspect { suspect: suspect.clone(), left })
        });
        held.max_by_key(|held| held.left)
    }

    /// Returns the time for which a request can't try a suspect that servers have served, since
    /// another one of its suspects may crash the server too.
    fn clean_trial_left(
        &self,
        suspect: &CrashSuspect,
        suspects: &[CrashSuspect],
        now: Instant,
    ) -> Option<Duration> {
        let left = self.suspects.get(suspect)?.clean_trial_left(now)?;
        let others = suspects.iter().filter(|other| *other != suspect);
        let mut others = others.filter_map(|other| self.suspects.get(other));
        others.any(|other| other.record.crashes > 0).then_some(left)
    }

    /// Records that a request with the suspect is about to be sent. Returns the record of the
    /// crashes before this attempt.
    pub fn begin_attempt(&mut self, suspect: &CrashSuspect, now: Instant) -> CrashRecord {
        let Some(known) = self.suspects.get_mut(suspect) else {
            return CrashRecord::default();
        };
        known.begin_attempt(now);
        known.record
    }

    /// Records that a request with the suspect that was about to be sent did not reach a server.
    pub fn withdraw_attempt(&mut self, suspect: &CrashSuspect, now: Instant) {
        if let Some(known) = self.suspects.get_mut(suspect) {
            known.withdraw_attempt(now);
        }
    }

    /// Returns whether a request with a quarantined suspect is on trial, at this router or another one.
    pub fn is_on_trial(&self, suspect: &CrashSuspect, now: Instant) -> bool {
        self.suspects.get(suspect).is_some_and(|known| known.is_on_trial(now))
    }

    /// Records the crash of a server that should be serving.
    pub fn record_server_crash(&mut self, server: &ServerId, now: Instant) {
        self.server_crashes.record(server, now);
    }

    /// Records that a server that should be serving is down. Its crash may have passed for the end of
    /// an answer.
    pub fn record_server_down(&mut self, now: Instant) {
        self.last_crash = Some(now);
    }

    /// Records that a server crashed under a request that was sent with the record `sent` of the
    /// suspect. Simultaneous crashes count as one, since the suspect alone did not cause them
    /// together. Returns the new record if it adds to the known one. `jitter` is in the range 0 to
    /// 1.
    pub fn record_crash(
        &mut self,
        suspect: &CrashSuspect,
        sent: CrashRecord,
        jitter: f64,
        now: Instant,
    ) -> Option<CrashRecord> {
        let known = self.suspects.get(suspect);
        let sent = match known {
            Some(_) => sent,
            None => sent.max(self.record_before_crashes(suspect)),
        };
        let record = sent.after_crash();
        let rule = QuarantineRule::of(suspect, self.history(suspect, record, now));
        let has_other_cause = rule.is_among_others(record, self.server_crashes.count(now))
            || record.cleared > 0 && self.has_likely_cause(now);
        let quarantine_left = match known.and_then(SuspectRecord::quarantine) {
            Some(last) => rule.next_duration(last),
            None => rule.first_duration(record, has_other_cause),
        };
        let notice =
            CrashNotice { suspect: suspect.clone(), record, quarantine_left, is_on_trial: false };
        self.apply(notice, NoticeOrigin::Observed, jitter, now).then_some(record)
    }

    /// Returns the record of a suspect that no server has crashed on.
    fn record_before_crashes(&self, suspect: &CrashSuspect) -> CrashRecord {
        match suspect {
            CrashSuspect::Part(part) if self.served_parts.contains(part) => {
                CrashRecord::default().after_run()
            }
            _ => CrashRecord::default(),
        }
    }

    /// Returns whether servers have served a suspect with this record.
    fn history(&self, suspect: &CrashSuspect, record: CrashRecord, now: Instant) -> SuspectHistory {
        let is_known = match suspect {
            CrashSuspect::Content(_) => true,
            CrashSuspect::Part(_) => self.served_parts.are_representative(now),
        };
        match SuspectHistory::from(record) {
            SuspectHistory::Unserved if !is_known => SuspectHistory::Unknown,
            history => history,
        }
    }

    /// Returns whether servers crash on a part that none has served, though not often enough yet for
    /// its quarantine. Its requests have other parts too, which servers have served.
    fn has_likely_cause(&self, now: Instant) -> bool {
        let mut suspects = self.suspects.iter();
        suspects.any(|(suspect, known)| {
            matches!(suspect, CrashSuspect::Part(_)) && known.is_likely_cause(now)
        })
    }

    /// Records that a server has completed a request that was sent with the record `sent` of the
    /// suspect. Returns whether there was anything to clear.
    pub fn record_run(&mut self, suspect: &CrashSuspect, sent: CrashRecord, now: Instant) -> bool {
        let known = self.suspects.get(suspect).map(|known| known.record);
        let record = known.unwrap_or_default().max(sent);
        if record.crashes == 0 {
            return false;
        }
        let notice = CrashNotice {
            suspect: suspect.clone(),
            record: record.after_run(),
            quarantine_left: Duration::ZERO,
            is_on_trial: false,
        };
        self.apply(notice, NoticeOrigin::Observed, 0.0, now)
    }

    /// Records that a server has served a request whose prompt has these parts.
    pub fn record_served_parts(
        &mut self,
        service: &ServiceId,
        parts: impl Iterator<Item = PartId>,
        now: Instant,
    ) {
        self.served_parts.record(service, parts, now);
    }

    /// Applies a notice of another router. Returns whether it was new. A part that this router
    /// knows to be served is cleared if the other router doesn't know that.
    pub fn receive_notice(&mut self, notice: CrashNotice, jitter: f64, now: Instant) -> bool {
        let rule = QuarantineRule::of(&notice.suspect, notice.record.into());
        let quarantine_left = notice.quarantine_left.min(rule.max_duration(notice.record));
        let before = self.record_before_crashes(&notice.suspect);
        if before > notice.record && notice.record.crashes > 0 {
            let cleared = CrashNotice { record: before, quarantine_left: Duration::ZERO, ..notice };
            return self.apply(cleared, NoticeOrigin::Received, jitter, now);
        }
        let trial = notice.is_on_trial.then(|| (notice.suspect.clone(), notice.record));
        let notice = CrashNotice { quarantine_left, ..notice };
        let is_new = self.apply(notice, NoticeOrigin::Received, jitter, now);
        let known = trial.and_then(|(suspect, record)| {
            self.suspects.get_mut(&suspect).filter(|known| known.record == record)
        });
        is_new | known.is_some_and(|known| known.record_trial(jitter, now))
    }

    fn apply(
        &mut self,
        notice: CrashNotice,
        origin: NoticeOrigin,
        jitter: f64,
        now: Instant,
    ) -> bool {
        let CrashNotice { suspect, record, quarantine_left, .. } = notice;
        if !self.is_news(&suspect, record, quarantine_left) {
            return false;
        }
        if record.crashes > 0 {
            self.last_crash = Some(now);
        }
        self.make_room(now);
        let last = self.suspects.get(&suspect).and_then(SuspectRecord::quarantine);
        let mut known = SuspectRecord::new(record, origin, quarantine_left, jitter, now);
        if last.is_none() {
            let rule = QuarantineRule::of(&suspect, record.into());
            known.mark_first(rule.full_first_duration(record));
        }
        if record.cleared == 0 && known.is_newly_quarantined(now) {
            self.explain_crashes(&suspect, jitter, now);
        }
        self.suspects.insert(suspect, known);
        true
    }

    /// Reconsiders the crashes of others that a newly quarantined suspect may explain. What servers
    /// have served is cleared, what they have not is tried again soon. Each router does so when it
    /// learns of the quarantine.
    ///
    /// A content explains no crashes of parts: each request with a part that crashes servers has a
    /// content of its own.
    fn explain_crashes(&mut self, explanation: &CrashSuspect, jitter: f64, now: Instant) {
        let explains_parts = matches!(explanation, CrashSuspect::Part(_));
        let explained = self
            .suspects
            .iter_mut()
            .filter(|(suspect, _)| explains_parts || matches!(suspect, CrashSuspect::Content(_)));
        for (_, known) in explained {
            if known.record.cleared > 0 && known.record.crashes > 0 {
                *known = SuspectRecord::announced(known.record.after_run(), now);
            } else if explains_parts && known.is_newly_quarantined(now) {
                known.try_soon(jitter, now);
            }
        }
    }

    /// Returns whether a record adds to the known one. Of two routers with the same record, only one
    /// may have seen enough for a quarantine.
    fn is_news(
        &self,
        suspect: &CrashSuspect,
        record: CrashRecord,
        quarantine_left: Duration,
    ) -> bool {
        match self.suspects.get(suspect) {
            Some(known) if known.record == record => {
                known.quarantine().is_none() && !quarantine_left.is_zero()
            }
            Some(known) => known.record < record,
            None => record > CrashRecord::default(),
        }
    }

    /// Returns at most `limit` records that are not yet announced, the most urgent first, and marks
    /// them as announced.
    pub fn next_unannounced(
        &mut self,
        origin: NoticeOrigin,
        limit: usize,
        now: Instant,
    ) -> Vec<CrashNotice> {
        let mut unannounced: Vec<_> = self
            .suspects
            .iter_mut()
            .filter(|(_, known)| known.unannounced == Some(origin))
            .collect();
        unannounced.sort_by_key(|(_, known)| Reverse(known.announcement_rank()));
        unannounced.truncate(limit);
        let notices = unannounced.into_iter().map(|(suspect, known)| {
            known.unannounced = None;
            known.notice(suspect, now)
        });
        notices.collect()
    }

    /// Returns at most `limit` of the quarantined suspects, in rotation: a router that has just
    /// started knows none of them. Removes expired records.
    pub fn next_quarantined(&mut self, limit: usize, now: Instant) -> Vec<CrashNotice> {
        self.forget_old(now);
        let quarantined: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, known)| known.is_quarantined(now))
            .map(|(suspect, known)| known.notice(suspect, now))
            .collect();
        let start = self
            .last_repeated
            .as_ref()
            .map_or(0, |last| quarantined.partition_point(|notice| notice.suspect <= *last));
        let count = limit.min(quarantined.len());
        let batch: Vec<_> = quarantined.iter().cycle().skip(start).take(count).cloned().collect();
        self.last_repeated = batch.last().map(|notice| notice.suspect.clone());
        batch
    }

    /// Removes expired records.
    pub fn forget_old(&mut self, now: Instant) {
        self.suspects.retain(|_, known| !known.is_expired(now));
    }

    fn make_room(&mut self, now: Instant) {
        if self.suspects.len() < MAX_RECORDS {
            return;
        }
        self.forget_old(now);
        if self.suspects.len() < MAX_RECORDS {
            return;
        }
        let least_crashes = self
            .suspects
            .iter()
            .min_by_key(|(_, known)| (known.record.crashes, known.changed))
            .map(|(suspect, _)| suspect.clone());
        if let Some(suspect) = least_crashes {
            self.suspects.remove(&suspect);
        }
    }
}
