//! What servers have crashed on.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Instant;

use papayamux_coordination::crash_quarantine::{HeldSuspect, NoticeOrigin, QUARANTINED_PER_REPORT};
use papayamux_coordination::mechanism::Mechanism;
use papayamux_state::backend::BackendServer;
use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::crash_suspect::CrashSuspect;
use papayamux_state::ids::{ServerId, ServiceId};
use papayamux_state::prompt::PromptChain;

use super::server_checks::ServerState;
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

/// A suspect of a request, with its record when the request was sent.
#[derive(Debug, Clone)]
pub(in crate::direct) struct SentSuspect {
    pub suspect: CrashSuspect,
    pub record: CrashRecord,
}

impl Fleet {
    /// Returns whether servers are suspected of crashing on anything. If not, no request needs its
    /// suspects.
    pub(in crate::direct) fn has_suspects(&self) -> bool {
        !self.quarantine.borrow().is_empty()
    }

    /// Returns the suspect that is quarantined longest; `None` if a request with all of them may be
    /// sent.
    pub(in crate::direct) fn held_suspect(&self, suspects: &[CrashSuspect]) -> Option<HeldSuspect> {
        self.quarantine.borrow().held_suspect(suspects, Instant::now())
    }

    /// Records that a request with these suspects is about to be sent; returns the crashes known
    /// before.
    pub(in crate::direct) fn begin_attempt(&self, suspects: Vec<CrashSuspect>) -> Vec<SentSuspect> {
        let (mut quarantine, now) = (self.quarantine.borrow_mut(), Instant::now());
        let sent = suspects.into_iter().map(|suspect| {
            let record = quarantine.begin_attempt(&suspect, now);
            SentSuspect { suspect, record }
        });
        let sent: Vec<_> = sent.collect();
        let trials = sent.iter().filter(|sent| quarantine.is_on_trial(&sent.suspect, now)).count();
        if trials > 0 {
            self.metrics.crash_records.count("trial");
            self.crash_recorded.take().trigger();
        }
        sent
    }

    /// Records that a request with these suspects that was about to be sent did not reach a server.
    pub(in crate::direct) fn withdraw_attempt(&self, sent: &[SentSuspect]) {
        let (mut quarantine, now) = (self.quarantine.borrow_mut(), Instant::now());
        for SentSuspect { suspect, .. } in sent {
            quarantine.withdraw_attempt(suspect, now);
        }
    }

    /// Records that a server crashed under a request with these suspects.
    pub(in crate::direct) fn record_request_crash(&self, sent: &[SentSuspect], server: &ServerId) {
        if !self.uses(Mechanism::CrashQuarantine) {
            return;
        }
        let now = Instant::now();
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.record_server_crash(server, now);
        let mut is_new = false;
        for SentSuspect { suspect, record } in sent {
            let Some(record) = quarantine.record_crash(suspect, *record, rand::random(), now)
            else {
                continue;
            };
            is_new = true;
            self.metrics.crash_records.count("crash");
            let quarantine_left = quarantine.quarantine_left(suspect, now);
            if quarantine_left.is_some() {
                self.metrics.crash_records.count("held");
            }
            let quarantine_left = quarantine_left.unwrap_or_default();
            log::info!(
                suspect:% = suspect, kind = suspect.kind(), server:% = server,
                crashes = record.crashes, cleared = record.cleared,
                held_ms = quarantine_left.as_millis() as u64; "server ended under a request"
            );
        }
        if is_new {
            self.crash_recorded.take().trigger();
        }
    }

    /// Records that a server has run a request with these suspects to completion. Returns those that
    /// this has cleared.
    pub(in crate::direct) fn record_completion(&self, sent: &[SentSuspect]) -> Vec<CrashSuspect> {
        let (mut quarantine, now) = (self.quarantine.borrow_mut(), Instant::now());
        let cleared = sent
            .iter()
            .filter(|SentSuspect { suspect, record }| quarantine.record_run(suspect, *record, now));
        let cleared: Vec<_> = cleared.map(|sent| sent.suspect.clone()).collect();
        if !cleared.is_empty() {
            self.metrics.crash_records.count("cleared");
            self.crash_recorded.take().trigger();
        }
        cleared
    }

    /// Records that a server has served the shared parts of a prompt.
    pub(in crate::direct) fn record_served_parts(&self, service: &ServiceId, prompt: &PromptChain) {
        if self.uses(Mechanism::CrashQuarantine) {
            let parts = prompt.suspect_parts();
            self.quarantine.borrow_mut().record_served_parts(service, parts, Instant::now());
        }
    }

    /// Returns whether a server has crashed recently. The end of a connection is then no sign that
    /// an answer is complete.
    pub(in crate::direct) fn has_recent_crashes(&self) -> bool {
        self.quarantine.borrow().has_recent_crashes(Instant::now())
    }

    /// Records that nothing listens at a server that should be serving.
    pub(in crate::direct) fn record_server_down(&self) {
        self.quarantine.borrow_mut().record_server_down(Instant::now());
    }

    /// Finds out whether a server crashed when it ended an answer with its connection, and records
    /// the crash or the completion.
    pub(in crate::direct) fn check_unmarked_end(
        self: &Rc<Self>,
        server: Rc<BackendServer>,
        sent: Vec<SentSuspect>,
    ) {
        let fleet = self.clone();
        monoio::spawn(async move {
            match fleet.server_state(&server).await {
                ServerState::Crashed => fleet.record_request_crash(&sent, &server.id),
                ServerState::Listening => {
                    fleet.record_completion(&sent);
                }
                ServerState::Unknown => {}
            }
        });
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
            if !quarantine.receive_notice(notice.clone(), rand::random(), now) {
                continue;
            }
            learnt = true;
            if let Some(quarantine_left) = quarantine.quarantine_left(&notice.suspect, now) {
                self.metrics.crash_records.count("told");
                log::info!(
                    peer:% = peer, suspect:% = notice.suspect, kind = notice.suspect.kind(),
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

    /// Returns some of the quarantined suspects, for the next regular report.
    pub(in crate::direct) fn next_held_suspects(&self, now: Instant) -> Vec<CrashNotice> {
        self.quarantine.borrow_mut().next_quarantined(QUARANTINED_PER_REPORT, now)
    }
}
