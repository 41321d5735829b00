//! A request that is under way at a backend server.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::link_delays::{DelayDetector, EventTiming};
use papayamux_coordination::part_flights::flight_patience;
use papayamux_coordination::placement::ServerLoad;
use papayamux_coordination::server_evidence::EvidenceKind;
use papayamux_coordination::server_profile::{FirstEvent, StreamEnd};
use papayamux_state::backend::{BackendServer, ReportedQueue, ServerNotice};
use papayamux_state::quantities::TokenCount;

use super::attempt_watch::WatchedAttempt;
use super::call_plan::CallPlan;
use super::fleet::{ChosenServer, EndedRequest, OwnReading};
use super::Fleet;

/// Counts a request into its server's load for as long as it lives.
pub(super) struct ActiveRequest {
    fleet: Rc<Fleet>,
    server: Rc<BackendServer>,
    chosen: ChosenServer,
    load: ServerLoad,
    work: TokenCount,
    sent: Instant,
    /// Whether it was sent, so that its server owes it a sign of life.
    is_awaited: bool,
    rhythm: Option<DelayDetector>,
    reading: Option<OwnReading>,
    /// Tokens that its server had to read first, its own among them.
    ahead: TokenCount,
    /// Whether requests waited at the server when it began to answer.
    queued: Cell<bool>,
    events: u64,
    first_event: Option<Instant>,
    last_event: Option<Instant>,
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
        let load = chosen.load;
        let chosen = chosen.clone();
        Self {
            fleet,
            server,
            chosen,
            load,
            work,
            sent,
            is_awaited: false,
            rhythm: None,
            reading: None,
            ahead: TokenCount::default(),
            queued: Cell::new(false),
            events: 0,
            first_event: None,
            last_event: None,
            watched,
        }
    }

    /// Waits while its server reads the shared parts of its prompt for another request.
    pub(super) async fn wait_for_parts(&mut self, plan: &CallPlan) {
        let prefixes = plan.call.prompt.shared_prefixes();
        if !prefixes.is_empty() {
            let patience = flight_patience(plan.left());
            let waited = self.fleet.wait_for_parts(&self.server.id, &prefixes, patience).await;
            if let Some(waited) = waited {
                self.fleet.metrics().note_part_wait(plan.kind(), waited);
            }
        }
    }

    /// Whether its server still takes it.
    pub(super) fn may_be_sent(&self) -> bool {
        self.fleet.may_be_sent(&self.server)
    }

    /// Notes that it is sent now, and that its server reads what it lacks of the prompt. Until then the
    /// server owes it no sign of life.
    pub(super) fn begin_sending(&mut self, plan: &CallPlan) {
        let prefixes = plan.call.prompt.shared_prefixes();
        if !prefixes.is_empty() {
            self.reading = Some(self.fleet.begin_reading(&self.chosen, &prefixes));
        }
        self.sent = Instant::now();
        let backlog = self.fleet.load_at(&self.server, self.sent).backlog;
        self.ahead = TokenCount::new(backlog);
        self.is_awaited = true;
        self.fleet.await_server(&self.server);
    }

    /// Tokens that its server had to read first, its own among them.
    pub(super) fn ahead(&self) -> TokenCount {
        self.ahead
    }

    fn end_reading(&mut self) {
        if let Some(reading) = self.reading.take() {
            self.fleet.end_reading(reading);
        }
    }

    /// The attempt as the watch sees it.
    pub(super) fn watched(&self) -> &WatchedAttempt {
        &self.watched
    }

    /// How the server was chosen.
    pub(super) fn chosen(&self) -> &ChosenServer {
        &self.chosen
    }

    /// How long ago it was sent.
    pub(super) fn age(&self) -> Duration {
        self.sent.elapsed()
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
        self.events += events;
        self.last_event = Some(now);
        let Some(rhythm) = &mut self.rhythm else {
            self.rhythm = Some(DelayDetector::new(now));
            self.first_event = Some(now);
            self.note_first_event(now);
            self.prompt_was_read();
            return;
        };
        match rhythm.record(events, now) {
            EventTiming::OnTime => self.fleet.note_event(&self.server, false),
            EventTiming::Delayed => self.fleet.note_event(&self.server, true),
            EventTiming::Undecided => {}
        }
    }

    /// Learns from its first event how fast its server reads, where that can be told.
    fn note_first_event(&self, now: Instant) {
        let placement = &self.chosen.placement;
        self.fleet.metrics().note_expectation(self.chosen.expected, now - self.sent);
        let transfer = self.chosen.transfer;
        let is_clear = transfer.is_some() == self.chosen.fetch_from.is_some();
        if is_clear && !self.queued.get() {
            let took = now.saturating_duration_since(self.sent);
            let tokens = self.ahead.saturating_sub(self.chosen.missing);
            let first = FirstEvent { tokens, took, transfer, guessed: placement.guessed };
            self.fleet.note_first_event(&self.server, first);
        }
    }

    /// Learns from a stream that has ended as it should, where its answer was `expected` to have so many
    /// tokens, or that breaks off.
    pub(super) fn note_stream_end(&mut self, expected: Option<TokenCount>) {
        if let (Some(first), Some(last)) = (self.first_event.take(), self.last_event) {
            let lasted = last.saturating_duration_since(first);
            let end = StreamEnd { events: self.events, lasted, expected };
            self.fleet.note_stream(&self.server, end);
        }
    }

    /// Learns from a plain call that was answered.
    pub(super) fn note_call_end(&self) {
        self.fleet.note_call(&self.server, self.sent.elapsed());
    }

    fn prompt_was_read(&mut self) {
        self.end_reading();
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

    /// Notes how long opening a connection to the server took.
    pub(super) fn note_connection(&self, took: Duration) {
        self.fleet.note_connection(&self.server, took);
    }

    /// Notes what the server said of its queue.
    pub(super) fn note_queue(&self, queue: ReportedQueue) {
        self.queued.set(queue.waiting > 0);
        self.fleet.note_queue(&self.server, queue);
    }

    /// Takes in what the server said of itself.
    pub(super) fn take_notice(&self, notice: ServerNotice) {
        self.fleet.take_notice(&self.server, notice);
    }

    /// Notes how the server answered.
    pub(super) fn judge(&self, failed: bool) {
        self.fleet.note_answer(&self.server, failed);
    }

    /// Whether the server has ended that should be serving, after its connection broke.
    pub(super) async fn server_has_ended(&self) -> bool {
        self.fleet.has_ended_unexpectedly(&self.server).await
    }

    /// Whether the server is over for certain, since it has started again.
    pub(super) fn server_has_restarted(&self) -> bool {
        self.fleet.has_restarted(&self.server)
    }

    /// Notes evidence against the server.
    pub(super) fn accuse(&self, kind: EvidenceKind) {
        self.fleet.note_evidence(&self.server, kind);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.end_reading();
        self.note_stream_end(None);
        let (load, work, took) = (self.load, self.work, self.sent.elapsed());
        let ended = EndedRequest { load, work, took, was_awaited: self.is_awaited };
        self.fleet.end_request(&self.server, ended);
    }
}
