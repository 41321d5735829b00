//! Requests under which servers have crashed.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_coordination::crash_quarantine::{NoticeOrigin, QUARANTINED_PER_REPORT};
use papayamux_coordination::mechanism::Mechanism;
use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::ids::ServerId;
use papayamux_state::request_fingerprint::RequestFingerprint;

use super::Fleet;

/// Maximum number of records in one datagram.
const MAX_NOTICES_PER_REPORT: usize = 32;

/// Records to send to other routers.
pub(in crate::direct) struct CrashUpdate {
    /// Crashes observed by this router itself.
    pub observed: Vec<CrashNotice>,
    /// Records received from other routers, to be relayed.
    pub received: Vec<CrashNotice>,
}

impl Fleet {
    /// Returns whether any request is suspected of crashing servers. If none is, no request needs a
    /// fingerprint.
    pub(in crate::direct) fn has_suspects(&self) -> bool {
        !self.quarantine.borrow().is_empty()
    }

    /// Returns the remaining quarantine of a request; `None` if it may be sent.
    pub(in crate::direct) fn quarantine_left(
        &self,
        fingerprint: RequestFingerprint,
    ) -> Option<Duration> {
        self.quarantine.borrow().quarantine_left(fingerprint, Instant::now())
    }

    /// Records that a request is about to be sent; returns the crashes known before.
    pub(in crate::direct) fn begin_attempt(&self, fingerprint: RequestFingerprint) -> CrashRecord {
        self.quarantine.borrow_mut().begin_attempt(fingerprint, Instant::now())
    }

    /// Records that a server crashed under a request that was sent with this record.
    pub(in crate::direct) fn record_request_crash(
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
        quarantine.record_server_crash(server, now);
        let Some(record) = quarantine.record_crash(fingerprint, sent, rand::random(), now) else {
            return;
        };
        self.metrics.crash_records.count("crash");
        let quarantine_left = quarantine.quarantine_left(fingerprint, now);
        if quarantine_left.is_some() {
            self.metrics.crash_records.count("held");
        }
        let quarantine_left = quarantine_left.unwrap_or_default();
        log::info!(
            fingerprint:% = fingerprint, server:% = server, crashes = record.crashes,
            held_ms = quarantine_left.as_millis() as u64; "server ended under a request"
        );
        self.crash_recorded.take().trigger();
    }

    /// Records that a server has run a request to completion. Returns whether the request was
    /// suspect.
    pub(in crate::direct) fn record_completion(
        &self,
        fingerprint: RequestFingerprint,
        sent: CrashRecord,
    ) -> bool {
        let was_suspect =
            self.quarantine.borrow_mut().record_run(fingerprint, sent, Instant::now());
        if was_suspect {
            self.metrics.crash_records.count("cleared");
            self.crash_recorded.take().trigger();
        }
        was_suspect
    }

    /// Applies the crash records of another router.
    pub(in crate::direct) fn receive_crash_notices(&self, peer: IpAddr, notices: &[CrashNotice]) {
        if !self.uses(Mechanism::CrashQuarantine) {
            return;
        }
        let now = Instant::now();
        let mut quarantine = self.quarantine.borrow_mut();
        let mut learnt = false;
        for notice in notices {
            if !quarantine.receive_notice(*notice, rand::random(), now) {
                continue;
            }
            learnt = true;
            if let Some(quarantine_left) = quarantine.quarantine_left(notice.fingerprint, now) {
                self.metrics.crash_records.count("told");
                log::info!(
                    peer:% = peer, fingerprint:% = notice.fingerprint,
                    crashes = notice.record.crashes, held_ms = quarantine_left.as_millis() as u64;
                    "request is held by another router's word"
                );
            }
        }
        if learnt {
            self.crash_recorded.take().trigger();
        }
    }

    /// Waits until there are records to send to other routers; returns as many as fit into a
    /// datagram.
    pub(in crate::direct) async fn next_crash_update(&self) -> CrashUpdate {
        loop {
            let crash_signal = self.crash_recorded.borrow().clone();
            let now = Instant::now();
            let update = {
                let mut quarantine = self.quarantine.borrow_mut();
                CrashUpdate {
                    observed: quarantine.next_unannounced(
                        NoticeOrigin::Observed,
                        MAX_NOTICES_PER_REPORT,
                        now,
                    ),
                    received: quarantine.next_unannounced(
                        NoticeOrigin::Received,
                        MAX_NOTICES_PER_REPORT,
                        now,
                    ),
                }
            };
            if !update.observed.is_empty() || !update.received.is_empty() {
                return update;
            }
            crash_signal.triggered().await;
        }
    }

    /// Returns some of the quarantined requests, for the next regular report.
    pub(in crate::direct) fn next_held_requests(&self, now: Instant) -> Vec<CrashNotice> {
        self.quarantine.borrow_mut().next_quarantined(QUARANTINED_PER_REPORT, now)
    }
}
