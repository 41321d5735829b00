//! A request that is under way at a backend server.

use std::rc::Rc;
use std::time::Instant;

use papayamux_coordination::placement::ServerLoad;
use papayamux_coordination::server_evidence::EvidenceKind;
use papayamux_state::backend::{BackendServer, ReportedQueue};
use papayamux_state::quantities::TokenCount;

use super::attempt_watch::WatchedAttempt;
use super::call_plan::CallPlan;
use super::fleet::{ChosenServer, EndedRequest};
use super::Fleet;

/// Counts a request into its server's load for as long as it lives.
pub(super) struct ActiveRequest {
    fleet: Rc<Fleet>,
    server: Rc<BackendServer>,
    load: ServerLoad,
    work: TokenCount,
    sent: Instant,
    begun: bool,
    watched: Rc<WatchedAttempt>,
}

impl ActiveRequest {
    /// Counts a request that is about to be sent.
    pub(super) fn begin(plan: &CallPlan, chosen: &ChosenServer) -> Self {
        let fleet = plan.fleet.clone();
        let work = plan.work();
        fleet.begin_request(chosen, &plan.call.prompt, work);
        let server = chosen.server.clone();
        let watched = WatchedAttempt::new(server.clone(), plan.give_up);
        fleet.watch().add(&watched);
        Self { fleet, server, load: chosen.load, work, sent: Instant::now(), begun: false, watched }
    }

    /// The attempt as the watch sees it.
    pub(super) fn watched(&self) -> &WatchedAttempt {
        &self.watched
    }

    /// The server.
    pub(super) fn server(&self) -> &Rc<BackendServer> {
        &self.server
    }

    /// Notes that something of the answer has arrived. The prompt has been read then.
    pub(super) fn hear(&mut self) {
        self.fleet.hear_server(&self.server);
    }

    /// Notes the first event: the prompt is no longer part of the server's backlog.
    pub(super) fn prompt_was_read(&mut self) {
        self.begun = true;
        if self.load.backlog > 0 {
            let read = ServerLoad { requests: 0, backlog: self.load.backlog };
            self.fleet.ledger().borrow_mut().end(&self.server.id, read);
            self.load.backlog = 0;
        }
    }

    /// Whether its first event has arrived.
    pub(super) fn has_begun(&self) -> bool {
        self.begun
    }

    /// Notes what the server said of its queue.
    pub(super) fn note_queue(&self, queue: ReportedQueue) {
        self.fleet.note_queue(&self.server, queue);
    }

    /// Notes how the server answered.
    pub(super) fn judge(&self, failed: bool) {
        self.fleet.note_answer(&self.server, failed);
    }

    /// Notes evidence against the server.
    pub(super) fn accuse(&self, kind: EvidenceKind) {
        self.fleet.note_evidence(&self.server, kind);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let ended = EndedRequest { load: self.load, work: self.work, took: self.sent.elapsed() };
        self.fleet.end_request(&self.server, ended);
    }
}
