//! Requests under which servers have ended.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_coordination::crash_quarantine::{NoticeOrigin, HELD_PER_REPORT};
use papayamux_coordination::mechanism::Mechanism;
use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::ids::ServerId;
use papayamux_state::request_fingerprint::RequestFingerprint;

use super::Fleet;

/// Records that one datagram tells others of.
const NOTICES_AT_ONCE: usize = 32;

/// Records that other routers are to be told of.
pub(in crate::direct) struct CrashNews {
    /// What this router has seen itself.
    pub seen: Vec<CrashNotice>,
    /// What it has heard from others, and passes on.
    pub heard: Vec<CrashNotice>,
}

impl Fleet {
    /// Whether any request is suspect. Without one, no request needs a fingerprint.
    pub(in crate::direct) fn has_suspects(&self) -> bool {
        !self.quarantine.borrow().is_empty()
    }

    /// How long a request is still to be kept from servers; `None` where it may be sent.
    pub(in crate::direct) fn hold_left(&self, fingerprint: RequestFingerprint) -> Option<Duration> {
        self.quarantine.borrow().hold_left(fingerprint, Instant::now())
    }

    /// Notes that a request is about to be sent; returns the crashes that it is sent after.
    pub(in crate::direct) fn begin_attempt(&self, fingerprint: RequestFingerprint) -> CrashRecord {
        self.quarantine.borrow_mut().begin_attempt(fingerprint, Instant::now())
    }

    /// Notes that a server ended under a request that was sent with this record.
    pub(in crate::direct) fn note_crash(
        &self,
        fingerprint: RequestFingerprint,
        sent: CrashRecord,
        server: &ServerId,
    ) {
        if !self.uses(Mechanism::CrashQuarantine) {
            return;
        }
        let now = Instant::now();
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.note_end(server, now);
        let Some(record) = quarantine.note_crash(fingerprint, sent, rand::random(), now) else {
            return;
        };
        self.metrics.crash_records.count("crash");
        let held = quarantine.hold_left(fingerprint, now);
        if held.is_some() {
            self.metrics.crash_records.count("held");
        }
        let held = held.unwrap_or_default();
        log::info!(
            fingerprint:% = fingerprint, server:% = server, crashes = record.crashes,
            held_ms = held.as_millis() as u64; "server ended under a request"
        );
        self.crash_noted.take().trigger();
    }

    /// Notes that a server has run a request to its end.
    pub(in crate::direct) fn note_run(&self, fingerprint: RequestFingerprint, sent: CrashRecord) {
        if self.quarantine.borrow_mut().note_run(fingerprint, sent, Instant::now()) {
            self.metrics.crash_records.count("cleared");
            log::info!(fingerprint:% = fingerprint; "suspect request was served");
            self.crash_noted.take().trigger();
        }
    }

    /// Takes in what another router tells of such requests.
    pub(in crate::direct) fn take_crash_notices(&self, peer: IpAddr, notices: &[CrashNotice]) {
        if !self.uses(Mechanism::CrashQuarantine) {
            return;
        }
        let now = Instant::now();
        let mut quarantine = self.quarantine.borrow_mut();
        let mut learnt = false;
        for notice in notices {
            if !quarantine.take_notice(*notice, rand::random(), now) {
                continue;
            }
            learnt = true;
            if let Some(held) = quarantine.hold_left(notice.fingerprint, now) {
                self.metrics.crash_records.count("told");
                log::info!(
                    peer:% = peer, fingerprint:% = notice.fingerprint,
                    crashes = notice.record.crashes, held_ms = held.as_millis() as u64;
                    "request is held by another router's word"
                );
            }
        }
        if learnt {
            self.crash_noted.take().trigger();
        }
    }

    /// Waits until there is something to tell other routers; returns all that fits into a datagram.
    pub(in crate::direct) async fn next_crash_news(&self) -> CrashNews {
        loop {
            let noted = self.crash_noted.borrow().clone();
            let now = Instant::now();
            let news = {
                let mut quarantine = self.quarantine.borrow_mut();
                CrashNews {
                    seen: quarantine.next_untold(NoticeOrigin::Seen, NOTICES_AT_ONCE, now),
                    heard: quarantine.next_untold(NoticeOrigin::Heard, NOTICES_AT_ONCE, now),
                }
            };
            if !news.seen.is_empty() || !news.heard.is_empty() {
                return news;
            }
            noted.triggered().await;
        }
    }

    /// Some of the requests that are held, for the next regular report.
    pub(in crate::direct) fn next_held_requests(&self, now: Instant) -> Vec<CrashNotice> {
        self.quarantine.borrow_mut().next_held(HELD_PER_REPORT, now)
    }
}
