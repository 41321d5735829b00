//! Requests in progress, and what they show about servers.

use std::time::{Duration, Instant};

use papayamux_coordination::link_delays::LinkChange;
use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::placement::ServerLoad;
use papayamux_coordination::server_evidence::EvidenceKind;
use papayamux_coordination::server_profile::{FirstEvent, StreamEnd};
use papayamux_state::backend::{BackendServer, ReportedQueue, ServerSlowdown};
use papayamux_state::ids::ServiceId;
use papayamux_state::prompt::{PromptChain, WarmParts};
use papayamux_state::quantities::TokenCount;

use super::{ChosenServer, Fleet};

/// Maximum number of routes whose usual deadlines are kept, which covers many configurations. A
/// dropped deadline is learnt again from a few requests.
const MAX_ROUTES: usize = 4_096;

/// A request that has ended.
pub(in crate::direct) struct EndedRequest {
    /// The load that is still counted for its server.
    pub load: ServerLoad,
    /// The cost of the request.
    pub work: TokenCount,
    /// The time since it was sent.
    pub elapsed: Duration,
    /// `true` if it was sent.
    pub was_awaited: bool,
}

impl Fleet {
    /// Returns the number of requests in progress at this router.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    pub(in crate::direct) fn count_in_flight(&self, begun: bool) {
        let count = self.in_flight.get();
        self.in_flight.set(if begun { count + 1 } else { count.saturating_sub(1) });
    }

    /// Counts a request that is about to be sent to a server.
    pub(in crate::direct) fn begin_request(
        &self,
        chosen: &ChosenServer,
        prompt: &PromptChain,
        work: TokenCount,
    ) {
        let server = &chosen.server;
        self.reserve_send(server);
        self.queues
            .borrow_mut()
            .entry(server.service.clone())
            .or_insert_with(|| self.new_service_queue())
            .record_dispatch(work, Instant::now());
        self.ledger.borrow_mut().begin(&server.id, chosen.load);
        if !prompt.parts().is_empty() {
            let capacity = self.cache_capacity(&server.service);
            let mut warm = self.warm.borrow_mut();
            let parts = warm.entry(server.id.clone()).or_insert_with(|| WarmParts::new(capacity));
            parts.record_use(prompt);
            self.holders.borrow_mut().record_use(&server.id, prompt, Instant::now());
        }
    }

    /// Records that a request was sent to a server, which owes a response from now on.
    pub(in crate::direct) fn await_server(&self, server: &BackendServer) {
        let now = Instant::now();
        self.record_send(server, now);
        let mut liveness = self.liveness.borrow_mut();
        liveness.entry(server.service.clone()).or_default().begin(&server.id, now);
    }

    /// Counts the end of a request at a server.
    pub(in crate::direct) fn end_request(&self, server: &BackendServer, ended: EndedRequest) {
        let EndedRequest { load, work, elapsed, was_awaited } = ended;
        self.ledger.borrow_mut().end(&server.id, load);
        if !was_awaited {
            self.release_send(server);
        }
        if was_awaited {
            if let Some(liveness) = self.liveness.borrow_mut().get_mut(&server.service) {
                liveness.end(&server.id);
            }
        }
        if let Some(service_queue) = self.queues.borrow_mut().get_mut(&server.service) {
            service_queue.record_completion(work, elapsed, Instant::now());
        }
        self.dispatch_queued(&server.service);
    }

    /// Records a sign of life of a server.
    pub(in crate::direct) fn record_server_contact(&self, server: &BackendServer) {
        let now = Instant::now();
        if let Some(liveness) = self.liveness.borrow_mut().get_mut(&server.service) {
            liveness.record_contact(&server.id, now);
        }
        self.evidence.borrow_mut().record_answer(&server.id, now);
    }

    /// Records failure evidence against a server.
    pub(in crate::direct) fn record_evidence(&self, server: &BackendServer, kind: EvidenceKind) {
        if self.uses(Mechanism::Evidence) {
            self.evidence.borrow_mut().record(&server.id, kind, Instant::now());
        }
        if kind == EvidenceKind::Unreachable {
            self.pool.close_idle(server.address);
        }
    }

    /// Records whether the link delayed an event of a server.
    pub(in crate::direct) fn record_event(&self, server: &BackendServer, held_up: bool) {
        self.links.borrow_mut().record(&server.domain, held_up, Instant::now());
    }

    /// Records the time that it took to connect to a server.
    pub(in crate::direct) fn record_connection(&self, server: &BackendServer, elapsed: Duration) {
        if self.uses(Mechanism::LearntProfile) {
            self.round_trips.borrow_mut().record(&server.domain, elapsed);
        }
    }

    /// Records the first event of an answer.
    pub(in crate::direct) fn record_first_event(
        &self,
        server: &BackendServer,
        first: FirstEvent,
        slowdown: Option<ServerSlowdown>,
    ) {
        if self.uses(Mechanism::LearntProfile) {
            let first = first.at_usual_speed(self.run_factor(server, slowdown, first.took));
            self.profiles.borrow_mut().record_first(&server.service, &server.id, first);
        }
    }

    /// Records the end of a stream.
    pub(in crate::direct) fn record_stream_speed(
        &self,
        server: &BackendServer,
        end: StreamEnd,
        slowdown: Option<ServerSlowdown>,
    ) {
        if self.uses(Mechanism::LearntProfile) {
            let end = end.at_usual_speed(self.run_factor(server, slowdown, end.duration));
            self.profiles.borrow_mut().record_stream(&server.service, &server.id, end);
        }
    }

    /// Records the duration of an answered plain call.
    pub(in crate::direct) fn record_call_duration(
        &self,
        server: &BackendServer,
        elapsed: Duration,
        slowdown: Option<ServerSlowdown>,
    ) {
        if self.uses(Mechanism::LearntProfile) {
            let factor = self.run_factor(server, slowdown, elapsed);
            self.profiles.borrow_mut().record_slowed_call(&server.service, elapsed, factor);
        }
    }

    /// Returns the cost of an answer token for the engines of a service, in prefilled prompt
    /// tokens.
    pub(in crate::direct) fn answer_token_work(&self, service: &ServiceId) -> f64 {
        let slots = self.engine_profile(service).map_or(1, |profile| profile.slots);
        self.profiles.borrow().service_speed(service).answer_token_work(slots)
    }

    /// Returns the time that an idle server of a service takes for a call, or to the first event if
    /// it has to prefill `tokens`.
    pub(in crate::direct) fn serving_time(
        &self,
        service: &ServiceId,
        tokens: TokenCount,
    ) -> Duration {
        let speed = self.profiles.borrow().service_speed(service);
        match self.engine_profile(service) {
            Some(_) => speed.time_to_first_event(tokens),
            None => speed.call_time(),
        }
    }

    /// Records the queue that a server reported.
    pub(in crate::direct) fn record_queue(&self, server: &BackendServer, queue: ReportedQueue) {
        let now = Instant::now();
        self.queue_reports.borrow_mut().record(&server.id, queue, now);
        self.record_shared_occupancy(server, queue, now);
    }

    /// Records whether an answer was a failure of the server.
    pub(in crate::direct) fn record_answer_status(&self, server: &BackendServer, failed: bool) {
        let mut records = self.records.borrow_mut();
        let record = records.entry(server.service.clone()).or_default();
        record.record_answer(&server.id, failed, Instant::now());
    }

    /// Returns whether a server has owed a response for longer than `limit`, and for longer than is
    /// usual among the servers of its service.
    pub fn is_silent(&self, server: &BackendServer, limit: Duration, now: Instant) -> bool {
        if !self.uses(Mechanism::Liveness) {
            return false;
        }
        let liveness = self.liveness.borrow();
        let Some(liveness) = liveness.get(&server.service) else { return false };
        let silence = liveness.silence(&server.id, now).filter(|silence| *silence >= limit);
        silence.is_some_and(|silence| silence >= liveness.silence_threshold(now))
    }

    /// Removes outdated records.
    pub(in crate::direct) fn prune_outdated(&self) {
        let now = Instant::now();
        if self.deadlines.borrow().len() > MAX_ROUTES {
            self.deadlines.borrow_mut().clear();
        }
        self.records.borrow_mut().values_mut().for_each(|record| record.remove_decayed(now));
        self.retry_benefit.borrow_mut().remove_decayed(now);
        self.queue_reports.borrow_mut().forget_old(now);
        self.update_slowdowns(now);
        self.part_prefills.borrow_mut().forget_old(now);
        self.quarantine.borrow_mut().forget_old(now);
        self.update_router_count(now);
        self.update_cold_servers(now);
        self.update_origins(now);
        for LinkChange { domain, excess } in self.links.borrow_mut().changes(now) {
            log::info!(domain:% = domain, held_up = excess; "link holds messages up");
        }
        self.pool.prune();
    }
}
