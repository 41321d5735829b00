//! Servers that have just started, and this router's share of the requests that they sustain.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_coordination::cold_servers::{
    send_quota, ColdLimit, ColdSummary, ColdView, SendQuota,
};
use papayamux_coordination::mechanism::Mechanism;
use papayamux_state::backend::BackendServer;
use papayamux_state::ids::{FailureDomain, ServerId, ServiceId};
use papayamux_state::service_config::ColdStart;

use super::Fleet;

impl Fleet {
    /// Returns how many requests this router may send to a server now, by its share of the limit of
    /// a cold server.
    pub(in crate::direct) fn send_quota(&self, server: &BackendServer, now: Instant) -> SendQuota {
        let Some(limit) = self.cold_limit(&server.service) else { return SendQuota::Unbounded };
        let tracker = self.cold_tracker.borrow();
        let is_cold = tracker.is_cold(&server.id, now);
        let view = ColdView { limit, is_cold, used: tracker.used(&server.id, now) };
        send_quota(&server.id, view, &self.router_count.borrow())
    }

    /// Returns whether a server is cold and takes only few requests.
    pub(in crate::direct) fn is_cold(&self, server: &BackendServer, now: Instant) -> bool {
        self.cold_limit(&server.service).is_some()
            && self.cold_tracker.borrow().is_cold(&server.id, now)
    }

    /// Returns the number of cold servers.
    pub(in crate::direct) fn cold_server_count(&self) -> usize {
        self.cold_tracker.borrow().cold_count(Instant::now())
    }

    /// Returns whether a service has cold servers.
    pub(in crate::direct) fn has_cold_servers(&self, service: &ServiceId) -> bool {
        let now = Instant::now();
        let presence = self.presence.borrow();
        let mut servers = presence.catalog().of_service(service);
        servers.any(|server| self.is_cold(server, now))
    }

    /// Returns whether a request may still be sent to the server that was chosen for it.
    pub(in crate::direct) fn may_be_sent(&self, server: &BackendServer) -> bool {
        let now = Instant::now();
        let is_listed = {
            let presence = self.presence.borrow();
            let known = presence.catalog().get(&server.id);
            known
                .is_some_and(|known| self.takes_requests(known) && !self.is_backing_off(known, now))
        };
        // The reservation of the request itself is among those that are counted.
        let used = self.cold_tracker.borrow().used(&server.id, now).saturating_sub(1);
        let Some(limit) = self.cold_limit(&server.service) else { return is_listed };
        let view = ColdView { limit, is_cold: self.is_cold(server, now), used };
        is_listed && !send_quota(&server.id, view, &self.router_count.borrow()).is_empty()
    }

    /// Returns the limit of the cold servers of a service; `None` if there is none.
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

    /// Records the remaining time for which a server is cold, as given by its entry.
    pub(super) fn record_coldness(&self, id: &ServerId, left: Duration, now: Instant) {
        let is_listed = self.presence.borrow().catalog().get(id).is_some();
        if is_listed && self.cold_tracker.borrow_mut().record_listed(id, left, now) {
            log::info!(server:% = id, left_ms = left.as_millis() as u64; "server is cold");
        }
    }

    /// Assumes that the servers of a failure domain are cold: they may have restarted while nothing
    /// was sent to them, and their entries are older than that.
    pub(super) fn assume_cold(&self, domain: &FailureDomain, now: Instant) {
        let presence = self.presence.borrow();
        let servers = presence.catalog().iter().filter(|server| server.domain == *domain);
        for server in servers {
            let Some(start) = self.cold_start(&server.service) else { continue };
            self.cold_tracker.borrow_mut().assume_cold(&server.id, start.duration, now);
        }
    }

    /// Counts a request that has chosen a server and isn't sent yet.
    pub(super) fn reserve_send(&self, server: &BackendServer) {
        if self.cold_limit(&server.service).is_some() {
            self.cold_tracker.borrow_mut().reserve(&server.id);
        }
    }

    /// Counts a request that is sent now.
    pub(super) fn record_send(&self, server: &BackendServer, now: Instant) {
        if self.cold_limit(&server.service).is_none() {
            return;
        }
        if self.is_cold(server, now) {
            self.metrics.cold_requests.count("sent");
        }
        self.cold_tracker.borrow_mut().record_sent(&server.id, now);
    }

    /// Withdraws what [`Self::reserve_send`] counted.
    pub(super) fn release_send(&self, server: &BackendServer) {
        self.cold_tracker.borrow_mut().release(&server.id);
    }

    /// Records that a choice passed over a server whose send quota is used up.
    pub(super) fn record_passed_over_server(&self, server: &BackendServer) {
        self.metrics.cold_requests.count("passed_over");
        self.cold_tracker.borrow_mut().record_passed_over(&server.id);
    }

    /// Records the sender of a report, the routers that it knows and the number of routers that it
    /// counts.
    pub(in crate::direct) fn record_reported_routers(
        &self,
        sender: IpAddr,
        known: &[IpAddr],
        counted: u32,
        now: Instant,
    ) {
        let mut router_count = self.router_count.borrow_mut();
        router_count.record(known.iter().chain([&sender]), now);
        router_count.record_count(counted, now);
    }

    /// Returns the number of routers known here, for the reports to other routers.
    pub(in crate::direct) fn counted_routers(&self) -> u32 {
        self.router_count.borrow().known_count()
    }

    /// Updates the router count, by which the limits of cold servers and the burst allowance of
    /// retries are divided among the routers.
    pub(super) fn update_router_count(&self, now: Instant) {
        let mut router_count = self.router_count.borrow_mut();
        router_count.update(now);
        if router_count.is_settled() {
            self.budget.borrow_mut().record_routers(router_count.count());
        }
    }

    /// Records which servers have become warm.
    pub(super) fn update_cold_servers(&self, now: Instant) {
        let mut tracker = self.cold_tracker.borrow_mut();
        for ColdSummary { server, sent, passed_over } in tracker.take_warmed(now) {
            log::info!(
                server:% = server, sent = sent, passed_over = passed_over,
                routers = self.router_count.borrow().count(); "server is warm"
            );
        }
        let cold = i64::try_from(tracker.cold_count(now)).unwrap_or(i64::MAX);
        self.metrics.cold_servers.set(cold);
    }
}
