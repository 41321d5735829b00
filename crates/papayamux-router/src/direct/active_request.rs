//! A request that is under way at a backend server.

use std::rc::Rc;
use std::time::Instant;

use papayamux_coordination::link_delays::{EventRhythm, EventTiming};
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
    rhythm: Option<EventRhythm>,
    watched: Rc<WatchedAttempt>,
}

impl ActiveRequest {
    /// Counts a request that is about to be sent.
    pub(super) fn begin(plan: &CallPlan, chosen: &ChosenServer) -> Self {
        let fleet = plan.fleet.clone();
        let work = plan.work();
        fleet.begin_request(chosen, &plan.call.prompt, work);
        let server = chosen.server.clone();
        let sent = Instant::now();
        let watched = WatchedAttempt::new(server.clone(), plan.give_up);
        fleet.watch().add(&watched);
        Self { fleet, server, load: chosen.load, work, sent, rhythm: None, watched }
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

    /// Notes events of a stream that arrived together. The first ones show that the prompt was read;
    /// the others show how the link delivers.
    pub(super) fn note_events(&mut self, events: u64) {
        let now = Instant::now();
        let Some(rhythm) = &mut self.rhythm else {
            self.rhythm = Some(EventRhythm::new(now));
            self.prompt_was_read();
            return;
        };
        match rhythm.note(events, now) {
            EventTiming::InTime => self.fleet.note_event(&self.server, false),
            EventTiming::HeldUp => self.fleet.note_event(&self.server, true),
            EventTiming::Undecided => {}
        }
    }

    fn prompt_was_read(&mut self) {
        if self.load.backlog > 0 {
            let read = ServerLoad { requests: 0, backlog: self.load.backlog };
            self.fleet.ledger().borrow_mut().end(&self.server.id, read);
            self.load.backlog = 0;
        }
    }

    /// Whether its first event has arrived.
    pub(super) fn has_begun(&self) -> bool {
        self.rhythm.is_some()
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
