//! What one router knows of one suspect.

use std::time::{Duration, Instant};

use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::crash_suspect::CrashSuspect;

use super::server_crashes::is_recent;
use super::NoticeOrigin;

/// Time that the trial request after a quarantine has before another one may try.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a record is kept after its quarantine or its last change.
const RECORD_RETENTION: Duration = Duration::from_secs(600);

/// Consecutive crashes after which a suspect that no server has served is the likely cause of others'.
const LIKELY_CAUSE_CRASHES: u32 = 2;
/// Number of crashes from which a record is as urgent for other routers as a completed run. Below it,
/// crashes quarantine hardly anything.
const URGENT_CRASHES: u32 = 3;
/// Time within which one quarantine may explain the crashes that led to another.
const EXPLANATION_TIME: Duration = Duration::from_secs(10);
/// Time within which routers let a request try whose crashes may be explained. Long enough for the
/// first router that does so to notify the others of a further crash.
const EARLY_TRIAL_WINDOW: Duration = Duration::from_secs(3);

/// The crash record of a suspect and its quarantine.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectRecord {
    pub(super) record: CrashRecord,
    pub(super) changed: Instant,
    /// What was left of the quarantine when this router learnt of it; zero if there is none.
    quarantine: Duration,
    /// `true` if no trial has extended the quarantine and the router learnt of it at its beginning.
    is_first: bool,
    /// When the quarantine ends that all routers apply.
    quarantined_until: Instant,
    /// When this router lets a request with the suspect try a server.
    trial_from: Instant,
    /// When a trial ends that is in progress, at this router or another one.
    trial_until: Option<Instant>,
    /// The origin of a record that is not yet announced to other routers.
    pub(super) unannounced: Option<NoticeOrigin>,
}

impl SuspectRecord {
    /// Creates a record that is yet to be announced.
    pub(super) fn new(
        record: CrashRecord,
        origin: NoticeOrigin,
        quarantine_left: Duration,
        jitter: f64,
        now: Instant,
    ) -> Self {
        // Routers allow a trial at different times, so that the first of them finds out for all.
        let trial_from = now + quarantine_left.mul_f64(1.0 + jitter);
        Self {
            record,
            changed: now,
            quarantine: quarantine_left,
            is_first: false,
            quarantined_until: now + quarantine_left,
            trial_from,
            trial_until: None,
            unannounced: Some(origin),
        }
    }

    /// Creates a record without a quarantine that other routers need not be notified of.
    pub(super) fn announced(record: CrashRecord, now: Instant) -> Self {
        let known = Self::new(record, NoticeOrigin::Received, Duration::ZERO, 0.0, now);
        Self { unannounced: None, ..known }
    }

    /// Returns the remaining quarantine, or `None` if a request may be sent.
    pub(super) fn quarantine_left(&self, now: Instant) -> Option<Duration> {
        let left = self.trial_from.saturating_duration_since(now);
        (self.quarantine().is_some() && !left.is_zero()).then_some(left)
    }

    /// Returns the remaining time for which a request may be sent only if nothing else in it may have
    /// crashed servers, or `None` if any may. What servers have served is tried by such a request
    /// first.
    pub(super) fn clean_trial_left(&self, now: Instant) -> Option<Duration> {
        let left = (self.trial_from + TRIAL_TIMEOUT).saturating_duration_since(now);
        let is_served = self.record.cleared > 0;
        (self.quarantine().is_some() && is_served && !left.is_zero()).then_some(left)
    }

    /// Returns whether servers lately crashed on the suspect again and again, and none ever served it.
    pub(super) fn is_likely_cause(&self, now: Instant) -> bool {
        let CrashRecord { cleared, crashes } = self.record;
        cleared == 0 && crashes >= LIKELY_CAUSE_CRASHES && is_recent(self.changed, now)
    }

    /// Returns what was left of the quarantine when this router learnt of it, also after its end;
    /// `None` if there was none.
    pub(super) fn quarantine(&self) -> Option<Duration> {
        (!self.quarantine.is_zero()).then_some(self.quarantine)
    }

    /// Marks a quarantine that no trial has extended yet. `full` is its duration.
    pub(super) fn mark_first(&mut self, full: Duration) {
        let is_complete = self.quarantine <= full && self.quarantine + EXPLANATION_TIME > full;
        self.is_first = !self.quarantine.is_zero() && is_complete;
    }

    /// Returns whether the suspect was quarantined for the first time, within [`EXPLANATION_TIME`].
    pub(super) fn is_newly_quarantined(&self, now: Instant) -> bool {
        self.is_first && now.saturating_duration_since(self.changed) < EXPLANATION_TIME
    }

    /// Lets a request with the suspect try a server soon, at different times for each router.
    pub(super) fn try_soon(&mut self, jitter: f64, now: Instant) {
        self.trial_from = self.trial_from.min(now + EARLY_TRIAL_WINDOW.mul_f64(jitter));
    }

    /// Returns whether the quarantine is in force that all routers apply.
    pub(super) fn is_quarantined(&self, now: Instant) -> bool {
        now < self.quarantined_until
    }

    /// Records that a request with the suspect is about to be sent. If the suspect was quarantined, this
    /// is a trial, which other routers wait for.
    pub(super) fn begin_attempt(&mut self, now: Instant) {
        if self.quarantine().is_some() {
            self.trial_from = self.trial_from.max(now + TRIAL_TIMEOUT);
            self.trial_until = Some(now + TRIAL_TIMEOUT);
            self.unannounced = Some(NoticeOrigin::Observed);
        }
    }

    /// Records that a request that was about to be sent did not reach a server, so that the next one is
    /// the trial.
    pub(super) fn withdraw_attempt(&mut self, now: Instant) {
        if self.is_on_trial(now) {
            self.trial_from = now;
            self.trial_until = None;
        }
    }

    /// Records that another router has begun a trial. Returns whether that was unknown.
    pub(super) fn record_trial(&mut self, jitter: f64, now: Instant) -> bool {
        if self.quarantine().is_none() || self.is_on_trial(now) {
            return false;
        }
        self.trial_from = self.trial_from.max(now + TRIAL_TIMEOUT.mul_f64(1.0 + jitter));
        self.trial_until = Some(now + TRIAL_TIMEOUT);
        self.unannounced = Some(NoticeOrigin::Received);
        true
    }

    /// Returns whether a trial is in progress.
    pub(super) fn is_on_trial(&self, now: Instant) -> bool {
        self.trial_until.is_some_and(|until| now < until)
    }

    /// Returns the notice for other routers.
    pub(super) fn notice(&self, suspect: &CrashSuspect, now: Instant) -> CrashNotice {
        let quarantine_left = self.quarantined_until.saturating_duration_since(now);
        CrashNotice {
            suspect: suspect.clone(),
            record: self.record,
            quarantine_left,
            is_on_trial: self.is_on_trial(now),
        }
    }

    /// Returns how urgent the record is for other routers. Completed runs keep them from a quarantine by
    /// chance, and only records with many crashes go first.
    pub(super) fn announcement_rank(&self) -> (u32, u32) {
        match self.record.crashes {
            0 => (URGENT_CRASHES, 0),
            crashes => (crashes.min(URGENT_CRASHES), crashes),
        }
    }

    /// Returns whether the record is no longer needed.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.changed.max(self.quarantined_until)) >= RECORD_RETENTION
    }
}
