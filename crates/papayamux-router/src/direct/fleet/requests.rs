//! Requests that are under way, and what they show of servers.

use std::time::{Duration, Instant};

use papayamux_coordination::link_delays::LinkChange;
use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::placement::ServerLoad;
use papayamux_coordination::server_evidence::EvidenceKind;
use papayamux_coordination::server_profile::{FirstEvent, StreamEnd};
use papayamux_state::backend::{BackendServer, ReportedQueue};
use papayamux_state::ids::ServiceId;
use papayamux_state::prompt::{PromptChain, WarmParts};
use papayamux_state::quantities::TokenCount;

use super::{ChosenServer, Fleet};

/// Routes whose usual deadlines are kept: many configurations' worth. What is dropped is learnt again
/// from a few requests.
const MOST_ROUTES: usize = 4_096;

/// A request that has ended.
pub(in crate::direct) struct EndedRequest {
    /// What is still counted into its server's load.
    pub load: ServerLoad,
    /// What it cost.
    pub work: TokenCount,
    /// How long it took, from its sending.
    pub took: Duration,
    /// Whether it was sent.
    pub was_awaited: bool,
}

impl Fleet {
    /// The requests that are under way at this router.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    pub(in crate::direct) fn count_in_flight(&self, begun: bool) {
        let count = self.in_flight.get();
        self.in_flight.set(if begun { count + 1 } else { count.saturating_sub(1) });
    }

    /// Counts a request that is sent to a server.
    pub(in crate::direct) fn begin_request(
        &self,
        chosen: &ChosenServer,
        prompt: &PromptChain,
        work: TokenCount,
    ) {
        let server = &chosen.server;
        self.reserve_send(server);
        self.lines
            .borrow_mut()
            .entry(server.service.clone())
            .or_default()
            .note_begin(work, Instant::now());
        self.ledger.borrow_mut().begin(&server.id, chosen.load);
        if !prompt.parts().is_empty() {
            let capacity = self.cache_capacity(&server.service);
            let mut warm = self.warm.borrow_mut();
            let parts = warm.entry(server.id.clone()).or_insert_with(|| WarmParts::new(capacity));
            parts.note_use(prompt);
            self.holders.borrow_mut().note_use(&server.id, prompt, Instant::now());
        }
    }

    /// Notes that a request was sent to a server, which owes a sign of life from now on.
    pub(in crate::direct) fn await_server(&self, server: &BackendServer) {
        let now = Instant::now();
        self.note_send(server, now);
        let mut liveness = self.liveness.borrow_mut();
        liveness.entry(server.service.clone()).or_default().begin(&server.id, now);
    }

    /// Counts that a request at a server has ended.
    pub(in crate::direct) fn end_request(&self, server: &BackendServer, ended: EndedRequest) {
        let EndedRequest { load, work, took, was_awaited } = ended;
        self.ledger.borrow_mut().end(&server.id, load);
        if !was_awaited {
            self.release_send(server);
        }
        if was_awaited {
            if let Some(liveness) = self.liveness.borrow_mut().get_mut(&server.service) {
                liveness.end(&server.id);
            }
        }
        if let Some(line) = self.lines.borrow_mut().get_mut(&server.service) {
            line.note_end(work, took, Instant::now());
        }
        self.call_waiting(&server.service);
    }

    /// Notes a sign of life of a server.
    pub(in crate::direct) fn hear_server(&self, server: &BackendServer) {
        let now = Instant::now();
        if let Some(liveness) = self.liveness.borrow_mut().get_mut(&server.service) {
            liveness.hear(&server.id, now);
        }
        self.evidence.borrow_mut().note_answer(&server.id, now);
    }

    /// Notes evidence against a server.
    pub(in crate::direct) fn note_evidence(&self, server: &BackendServer, kind: EvidenceKind) {
        if self.uses(Mechanism::Evidence) {
            self.evidence.borrow_mut().note(&server.id, kind, Instant::now());
        }
        if kind == EvidenceKind::Unreachable {
            self.pool.close_idle(server.address);
        }
    }

    /// Notes whether an event of a server was held up on its way.
    pub(in crate::direct) fn note_event(&self, server: &BackendServer, held_up: bool) {
        self.links.borrow_mut().note(&server.domain, held_up, Instant::now());
    }

    /// Notes how long it took to open a connection to a server.
    pub(in crate::direct) fn note_connection(&self, server: &BackendServer, took: Duration) {
        if self.uses(Mechanism::LearntProfile) {
            self.round_trips.borrow_mut().note(&server.domain, took);
        }
    }

    /// Notes the first event of an answer.
    pub(in crate::direct) fn note_first_event(&self, server: &BackendServer, first: FirstEvent) {
        if self.uses(Mechanism::LearntProfile) {
            self.profiles.borrow_mut().note_first(&server.service, &server.id, first);
        }
    }

    /// Notes a stream that has ended as it should.
    pub(in crate::direct) fn note_stream(&self, server: &BackendServer, end: StreamEnd) {
        if self.uses(Mechanism::LearntProfile) {
            self.profiles.borrow_mut().note_stream(&server.service, &server.id, end);
        }
    }

    /// Notes how long a plain call took that was answered.
    pub(in crate::direct) fn note_call(&self, server: &BackendServer, took: Duration) {
        if self.uses(Mechanism::LearntProfile) {
            self.profiles.borrow_mut().note_call(&server.service, took);
        }
    }

    /// What a token of an answer costs the engines of a service, in prompt tokens read.
    pub(in crate::direct) fn answer_token_work(&self, service: &ServiceId) -> f64 {
        let slots = self.engine_profile(service).map_or(1, |profile| profile.slots);
        self.profiles.borrow().service_speed(service).answer_token_work(slots)
    }

    /// How long a server of a service takes that has nothing else to do: for a call, or until the first
    /// event where so many tokens are to be read.
    pub(in crate::direct) fn serving_time(
        &self,
        service: &ServiceId,
        tokens: TokenCount,
    ) -> Duration {
        let speed = self.profiles.borrow().service_speed(service);
        match self.engine_profile(service) {
            Some(_) => speed.time_to_first(tokens),
            None => speed.call_time(),
        }
    }

    /// Notes what a server said of its queue.
    pub(in crate::direct) fn note_queue(&self, server: &BackendServer, queue: ReportedQueue) {
        self.queue_reports.borrow_mut().note(&server.id, queue, Instant::now());
    }

    /// Notes whether a server's answer was a failure of its own.
    pub(in crate::direct) fn note_answer(&self, server: &BackendServer, failed: bool) {
        let mut records = self.records.borrow_mut();
        let record = records.entry(server.service.clone()).or_default();
        record.note(&server.id, failed, Instant::now());
    }

    /// Whether a server has owed a sign of life for longer than `limit`, and than is usual among the
    /// servers of its service.
    pub fn is_silent(&self, server: &BackendServer, limit: Duration, now: Instant) -> bool {
        if !self.uses(Mechanism::Liveness) {
            return false;
        }
        let liveness = self.liveness.borrow();
        let Some(liveness) = liveness.get(&server.service) else { return false };
        let silence = liveness.silence(&server.id, now).filter(|silence| *silence >= limit);
        silence.is_some_and(|silence| silence >= liveness.usual_silence(now))
    }

    /// Forgets what is too old to matter.
    pub(in crate::direct) fn forget_old(&self) {
        let now = Instant::now();
        if self.deadlines.borrow().len() > MOST_ROUTES {
            self.deadlines.borrow_mut().clear();
        }
        self.records.borrow_mut().values_mut().for_each(|record| record.forget_faded(now));
        self.queue_reports.borrow_mut().forget_old(now);
        self.flights.borrow_mut().forget_old(now);
        self.quarantine.borrow_mut().forget_old(now);
        self.update_census(now);
        self.update_cold_servers(now);
        for LinkChange { domain, excess } in self.links.borrow_mut().changes(now) {
            log::info!(domain:% = domain, held_up = excess; "link holds messages up");
        }
        self.pool.prune();
    }
}
