//! A request in progress at a backend server.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::link_delays::{DelayDetector, EventTiming};
use papayamux_coordination::part_prefills::prefill_wait_budget;
use papayamux_coordination::placement::ServerLoad;
use papayamux_coordination::server_evidence::EvidenceKind;
use papayamux_coordination::server_profile::{FirstEvent, StreamEnd};
use papayamux_state::backend::{BackendServer, ReportedQueue, ServerNotice, ServerSlowdown};
use papayamux_state::quantities::TokenCount;

use super::attempt_watch::WatchedAttempt;
use super::call_plan::CallPlan;
use super::fleet::{ChosenServer, EndedRequest, OwnPrefill};
use super::Fleet;

/// Counts a request into the load of its server until it is dropped.
pub(super) struct ActiveRequest {
    fleet: Rc<Fleet>,
    server: Rc<BackendServer>,
    chosen: ChosenServer,
    load: ServerLoad,
    work: TokenCount,
    sent: Instant,
    /// `true` once the request was sent, so that its server owes a response.
    is_awaited: bool,
    rhythm: Option<DelayDetector>,
    prefill: Option<OwnPrefill>,
    /// Tokens that the server had to prefill before the first event, including those of this
    /// request.
    tokens_ahead: TokenCount,
    /// `true` if requests were queued at the server when it began to answer.
    queued: Cell<bool>,
    /// The slowdown that the server reported with its answer.
    slowdown: Cell<Option<ServerSlowdown>>,
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
        let watched = WatchedAttempt::new(server.clone(), plan.give_up_at);
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
            prefill: None,
            tokens_ahead: TokenCount::default(),
            queued: Cell::new(false),
            slowdown: Cell::new(None),
            events: 0,
            first_event: None,
            last_event: None,
            watched,
        }
    }

    /// Waits while the server prefills the shared parts of the prompt for another request.
    pub(super) async fn wait_for_parts(&mut self, plan: &CallPlan) {
        let prefixes = plan.call.prompt.shared_prefixes();
        if !prefixes.is_empty() {
            let wait_budget = prefill_wait_budget(plan.left());
            let waited = self.fleet.wait_for_parts(&self.server.id, &prefixes, wait_budget).await;
            if let Some(waited) = waited {
                self.fleet.metrics().record_part_wait(plan.kind(), waited);
            }
        }
    }

    /// Returns whether the server still accepts the request.
    pub(super) fn may_be_sent(&self) -> bool {
        self.fleet.may_be_sent(&self.server)
    }

    /// Records that the request is sent now and that the server starts to prefill the missing parts
    /// of the prompt. Before that, the server owes no response.
    pub(super) fn begin_sending(&mut self, plan: &CallPlan) {
        let prefixes = plan.call.prompt.shared_prefixes();
        if !prefixes.is_empty() {
            self.prefill = Some(self.fleet.begin_prefill(&self.chosen, &prefixes));
        }
        self.sent = Instant::now();
        let backlog = self.fleet.load_at(&self.server, self.sent).backlog;
        self.tokens_ahead = TokenCount::new(backlog);
        self.is_awaited = true;
        self.fleet.await_server(&self.server);
    }

    /// Returns the number of tokens that the server had to prefill first, including those of this
    /// request.
    pub(super) fn tokens_ahead(&self) -> TokenCount {
        self.tokens_ahead
    }

    fn end_prefill(&mut self) {
        if let Some(prefill) = self.prefill.take() {
            self.fleet.end_prefill(prefill);
        }
    }

    /// Returns the entry of this attempt in the attempt watch.
    pub(super) fn watched(&self) -> &WatchedAttempt {
        &self.watched
    }

    /// Returns the result of the server choice.
    pub(super) fn chosen(&self) -> &ChosenServer {
        &self.chosen
    }

    /// Returns the time since the request was sent.
    pub(super) fn age(&self) -> Duration {
        self.sent.elapsed()
    }

    pub(super) fn server(&self) -> &Rc<BackendServer> {
        &self.server
    }

    /// Records that a piece of the answer was received.
    pub(super) fn record_contact(&mut self) {
        self.fleet.record_server_contact(&self.server);
    }

    /// Records events of a stream that were received together. The first ones show that the prefill
    /// has ended, later ones show whether the link delays messages.
    pub(super) fn record_events(&mut self, events: u64) {
        let now = Instant::now();
        self.events += events;
        self.last_event = Some(now);
        let Some(rhythm) = &mut self.rhythm else {
            self.rhythm = Some(DelayDetector::new(now));
            self.first_event = Some(now);
            self.record_first_event(now);
            self.finish_own_prefill();
            return;
        };
        match rhythm.record(events, now) {
            EventTiming::OnTime => self.fleet.record_event(&self.server, false),
            EventTiming::Delayed => self.fleet.record_event(&self.server, true),
            EventTiming::Undecided => {}
        }
    }

    /// Updates the prefill speed of the server from the time to the first event. Skipped if requests
    /// were queued at the server or if the duration of a transfer is unknown.
    fn record_first_event(&self, now: Instant) {
        let placement = &self.chosen.placement;
        self.fleet.metrics().record_first_event_ratio(self.chosen.expected, now - self.sent);
        let transfer = self.chosen.transfer;
        let is_clear = transfer.is_some() == self.chosen.fetch_from.is_some();
        if is_clear && !self.queued.get() {
            let took = now.saturating_duration_since(self.sent);
            let tokens = self.tokens_ahead.saturating_sub(self.chosen.missing);
            let first = FirstEvent { tokens, took, transfer, assumed: placement.assumed };
            self.fleet.record_first_event(&self.server, first, self.slowdown.get());
        }
    }

    /// Updates the speed of the server from a stream that has completed, with the `expected` number
    /// of answer tokens, or that was truncated (`None`).
    pub(super) fn record_stream_end(&mut self, expected: Option<TokenCount>) {
        if let (Some(first), Some(last)) = (self.first_event.take(), self.last_event) {
            let duration = last.saturating_duration_since(first);
            let end = StreamEnd { events: self.events, duration, expected };
            self.fleet.record_stream_speed(&self.server, end, self.slowdown.get());
        }
    }

    /// Updates the call duration of the service from a completed plain call.
    pub(super) fn record_call_end(&self) {
        let elapsed = self.sent.elapsed();
        self.fleet.record_call_duration(&self.server, elapsed, self.slowdown.get());
    }

    fn finish_own_prefill(&mut self) {
        self.end_prefill();
        if self.load.backlog > 0 {
            let read = ServerLoad { requests: 0, backlog: self.load.backlog };
            self.fleet.ledger().borrow_mut().end(&self.server.id, read);
            self.load.backlog = 0;
        }
    }

    /// Returns whether the first event was received.
    pub(super) fn has_begun(&self) -> bool {
        self.rhythm.is_some()
    }

    /// Records the time that it took to connect to the server.
    pub(super) fn record_connection(&self, elapsed: Duration) {
        self.fleet.record_connection(&self.server, elapsed);
    }

    /// Records the queue that the server reported.
    pub(super) fn record_queue(&self, queue: ReportedQueue) {
        self.queued.set(queue.waiting > 0);
        self.fleet.record_queue(&self.server, queue);
    }

    /// Records the slowdown that the server reported with its answer; `None` if it reported a queue
    /// without one.
    pub(super) fn record_slowdown(&self, slowdown: Option<ServerSlowdown>) {
        self.slowdown.set(slowdown);
        self.fleet.record_slowdown(&self.server, slowdown);
    }

    /// Returns the slowdown that the server reported with its answer.
    pub(super) fn slowdown(&self) -> Option<ServerSlowdown> {
        self.slowdown.get()
    }

    /// Records what the server reported about its own state.
    pub(super) fn record_notice(&self, notice: ServerNotice) {
        self.fleet.record_notice(&self.server, notice);
    }

    /// Records that the server refused the request because its slots and its queue were full.
    pub(super) fn record_full_server(&self) {
        self.fleet.record_full_server(&self.server);
    }

    /// Records whether the attempt failed by a fault of the server or of the connection to it.
    pub(super) fn record_answer_outcome(&self, failed: bool) {
        self.fleet.record_answer_status(&self.server, failed);
    }

    /// Returns whether the server has crashed, after a connection to it broke.
    pub(super) async fn server_has_crashed(&self) -> bool {
        self.fleet.has_crashed(&self.server).await
    }

    /// Returns whether this run of the server has ended for certain, because a later one has
    /// started.
    pub(super) fn server_has_restarted(&self) -> bool {
        self.fleet.has_restarted(&self.server)
    }

    /// Records that no connection to the server could be made.
    pub(super) fn record_server_down(&self) {
        self.fleet.record_server_down();
    }

    /// Records failure evidence against the server.
    pub(super) fn record_failure_evidence(&self, kind: EvidenceKind) {
        self.fleet.record_evidence(&self.server, kind);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.end_prefill();
        self.record_stream_end(None);
        let (load, work, elapsed) = (self.load, self.work, self.sent.elapsed());
        let ended = EndedRequest { load, work, elapsed, was_awaited: self.is_awaited };
        self.fleet.end_request(&self.server, ended);
    }
}
