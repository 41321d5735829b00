//! Attributes crashes and completed runs of servers to what a request has in common with others.

use std::rc::Rc;

use http::StatusCode;
use papayamux_coordination::body_end::BodyEnd;
use papayamux_coordination::crash_quarantine::HeldSuspect;
use papayamux_state::backend::BackendServer;
use papayamux_state::crash_record::CrashRecord;
use papayamux_state::crash_suspect::{CrashSuspect, ServicePart};

use super::attempt::LostAttempt;
use super::call_plan::CallPlan;
use super::fleet::SentSuspect;
use super::{CallFailure, NotRunReason};

impl CallPlan {
    /// Returns what servers may crash on if they run the request.
    fn suspects(&self) -> Vec<CrashSuspect> {
        let parts =
            self.call.prompt.suspect_parts().map(|part| {
                CrashSuspect::Part(ServicePart { service: self.service.clone(), part })
            });
        std::iter::once(self.fingerprint().into()).chain(parts).collect()
    }

    /// Refuses a request with a suspect that is in quarantine. Otherwise each call with it would
    /// crash as many servers as its route allows attempts, at any router.
    pub(super) fn check_quarantine(&self) -> Result<(), CallFailure> {
        if !self.fleet.has_suspects() {
            return Ok(());
        }
        let Some(HeldSuspect { suspect, left }) = self.fleet.held_suspect(&self.suspects()) else {
            return Ok(());
        };
        log::info!(
            request:% = self.call.id, fingerprint:% = self.fingerprint(), suspect:% = suspect,
            kind = suspect.kind(), held_ms = left.as_millis() as u64; "request is held"
        );
        if self.history.may_have_run() {
            return Err(self.failure(NotRunReason::Quarantined));
        }
        Err(CallFailure::NotRun { reason: NotRunReason::Quarantined, retry_after: Some(left) })
    }

    /// Records that the request is about to be sent.
    pub(super) fn begin_attempt(&mut self) {
        self.sent = match self.fleet.has_suspects() {
            true => self.fleet.begin_attempt(self.suspects()),
            false => Vec::new(),
        };
    }

    /// Returns the suspects with the crashes that were known when the current attempt was sent.
    fn sent_suspects(&self) -> Vec<SentSuspect> {
        if !self.sent.is_empty() {
            return self.sent.clone();
        }
        let sent = self.suspects().into_iter();
        sent.map(|suspect| SentSuspect { suspect, record: CrashRecord::default() }).collect()
    }

    /// Records a crash if the server of a lost attempt crashed while it ran the request.
    pub(super) fn record_server_crash(&self, lost: &LostAttempt) {
        if let Some(server) = self.tried.last().filter(|_| lost.server_crashed) {
            self.fleet.record_request_crash(&self.sent_suspects(), server);
        }
    }

    /// Returns the parts of the prompt for the log if the server crashed, or else nothing.
    pub(super) fn prompt_of_crash(&self, lost: &LostAttempt) -> String {
        match lost.server_crashed {
            true => self.call.prompt.to_string(),
            false => String::new(),
        }
    }

    /// Records that a server has answered the request, with this status and end of the answer. Only
    /// a success shows that the server ran the whole request. An answer that ended with its
    /// connection shows it only if the server still listens, which is checked while servers crash.
    pub(super) fn record_completion(
        &self,
        server: &Rc<BackendServer>,
        status: StatusCode,
        end: BodyEnd,
    ) {
        if !status.is_success() {
            return;
        }
        if end == BodyEnd::Unmarked {
            if self.fleet.has_recent_crashes() {
                self.fleet.check_unmarked_end(server.clone(), self.sent_suspects());
            }
            return;
        }
        self.fleet.record_served_parts(&self.service, &self.call.prompt);
        if !self.fleet.has_suspects() {
            return;
        }
        for suspect in self.fleet.record_completion(&self.sent_suspects()) {
            log::info!(
                request:% = self.call.id, suspect:% = suspect, kind = suspect.kind(),
                status = status.as_u16(), end = end.label(), prompt:% = self.call.prompt;
                "suspect request was served"
            );
        }
    }
}
