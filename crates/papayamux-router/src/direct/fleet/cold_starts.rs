//! Servers that have just started, and this router's share of what they bear.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_coordination::cold_servers::{send_room, ColdLimit, ColdSummary, ColdView, SendRoom};
use papayamux_coordination::mechanism::Mechanism;
use papayamux_state::backend::BackendServer;
use papayamux_state::ids::{FailureDomain, ServerId, ServiceId};
use papayamux_state::service_config::ColdStart;

use super::Fleet;

impl Fleet {
    /// Requests that this router may send a server now by what the server bears.
    pub(in crate::direct) fn send_room(&self, server: &BackendServer, now: Instant) -> SendRoom {
        let Some(limit) = self.cold_limit(&server.service) else { return SendRoom::Unbounded };
        let book = self.cold_book.borrow();
        let is_cold = book.is_cold(&server.id, now);
        let view = ColdView { limit, is_cold, used: book.used(&server.id, now) };
        send_room(&server.id, view, &self.census.borrow())
    }

    /// Whether a server is cold and bears only few requests.
    pub(in crate::direct) fn is_cold(&self, server: &BackendServer, now: Instant) -> bool {
        self.cold_limit(&server.service).is_some()
            && self.cold_book.borrow().is_cold(&server.id, now)
    }

    /// Servers that are cold.
    pub(in crate::direct) fn cold_server_count(&self) -> usize {
        self.cold_book.borrow().cold_count(Instant::now())
    }

    /// Whether a service has servers that are cold.
    pub(in crate::direct) fn has_cold_servers(&self, service: &ServiceId) -> bool {
        let now = Instant::now();
        let presence = self.presence.borrow();
        let mut servers = presence.catalog().of_service(service);
        servers.any(|server| self.is_cold(server, now))
    }

    /// Whether a request that has chosen a server may still be sent there.
    pub(in crate::direct) fn may_be_sent(&self, server: &BackendServer) -> bool {
        let now = Instant::now();
        let is_listed = {
            let presence = self.presence.borrow();
            let known = presence.catalog().get(&server.id);
            known.is_some_and(|known| self.takes_requests(known) && !self.rests(known, now))
        };
        // Its own place is among those that are counted.
        let used = self.cold_book.borrow().used(&server.id, now).saturating_sub(1);
        let Some(limit) = self.cold_limit(&server.service) else { return is_listed };
        let view = ColdView { limit, is_cold: self.is_cold(server, now), used };
        is_listed && !send_room(&server.id, view, &self.census.borrow()).is_empty()
    }

    /// What a server of a service bears while it is cold; `None` where nothing bounds it.
    fn cold_limit(&self, service: &ServiceId) -> Option<ColdLimit> {
        if !self.uses(Mechanism::ColdShares) {
            return None;
        }
        let allowance = self.settings.cold_allowance?;
        Some(allowance.limit(self.cold_start(service)?.per_second))
    }

    fn cold_start(&self, service: &ServiceId) -> Option<ColdStart> {
        self.configuration.borrow().as_ref()?.services.get(service)?.cold_start
    }

    /// Notes how much longer a server is cold, as its entry says.
    pub(super) fn note_coldness(&self, id: &ServerId, left: Duration, now: Instant) {
        let is_listed = self.presence.borrow().catalog().get(id).is_some();
        if is_listed && self.cold_book.borrow_mut().note_listed(id, left, now) {
            log::info!(server:% = id, left_ms = left.as_millis() as u64; "server is cold");
        }
    }

    /// Takes the servers of a failure domain for cold: they may have started again while nothing was sent
    /// there, and their entries are from before that.
    pub(super) fn presume_cold(&self, domain: &FailureDomain, now: Instant) {
        let presence = self.presence.borrow();
        let servers = presence.catalog().iter().filter(|server| server.domain == *domain);
        for server in servers {
            let Some(start) = self.cold_start(&server.service) else { continue };
            self.cold_book.borrow_mut().presume(&server.id, start.duration, now);
        }
    }

    /// Counts a request that has chosen a server and was not sent yet.
    pub(super) fn reserve_send(&self, server: &BackendServer) {
        if self.cold_limit(&server.service).is_some() {
            self.cold_book.borrow_mut().reserve(&server.id);
        }
    }

    /// Counts a request that is sent now.
    pub(super) fn note_send(&self, server: &BackendServer, now: Instant) {
        if self.cold_limit(&server.service).is_none() {
            return;
        }
        if self.is_cold(server, now) {
            self.metrics.cold_requests.count("sent");
        }
        self.cold_book.borrow_mut().note_sent(&server.id, now);
    }

    /// Takes back what [`Self::reserve_send`] counted.
    pub(super) fn release_send(&self, server: &BackendServer) {
        self.cold_book.borrow_mut().release(&server.id);
    }

    /// Notes that a choice passed over a server that has no room.
    pub(super) fn note_passed_over(&self, server: &BackendServer) {
        self.metrics.cold_requests.count("passed_over");
        self.cold_book.borrow_mut().note_passed_over(&server.id);
    }

    /// Notes that a router is there, those that it hears, and how many it counts.
    pub(in crate::direct) fn note_routers(
        &self,
        sender: IpAddr,
        known: &[IpAddr],
        counted: u32,
        now: Instant,
    ) {
        let mut census = self.census.borrow_mut();
        census.note(known.iter().chain([&sender]), now);
        census.note_count(counted, now);
    }

    /// How many routers this one has heard of, for the others.
    pub(in crate::direct) fn counted_routers(&self) -> u32 {
        self.census.borrow().heard()
    }

    /// Counts the routers anew, among which cold servers' limits and the slack for repeats are shared out.
    pub(super) fn update_census(&self, now: Instant) {
        let mut census = self.census.borrow_mut();
        census.update(now);
        if census.is_settled() {
            self.budget.borrow_mut().note_routers(census.count());
        }
    }

    /// Notes which servers are no longer cold.
    pub(super) fn update_cold_servers(&self, now: Instant) {
        let mut book = self.cold_book.borrow_mut();
        for ColdSummary { server, sent, passed_over } in book.take_warmed(now) {
            log::info!(
                server:% = server, sent = sent, passed_over = passed_over,
                routers = self.census.borrow().count(); "server is warm"
            );
        }
        let cold = i64::try_from(book.cold_count(now)).unwrap_or(i64::MAX);
        self.metrics.cold_servers.set(cold);
    }
}
