//! Notices with which servers report their own state in answers.

use std::time::{Duration, Instant};

use papayamux_state::backend::{BackendServer, ServerNotice};
use papayamux_state::ids::ServiceId;

use super::{Fleet, ServerFilter};

impl Fleet {
    /// Records the notice in an answer of a server.
    pub(in crate::direct) fn record_notice(&self, server: &BackendServer, notice: ServerNotice) {
        if notice.is_draining && !self.is_draining(server) {
            self.metrics.server_notices.count("leaves");
            log::info!(server:% = server.id; "server says that it leaves");
        }
        if let Some(backoff) = notice.backoff {
            self.metrics.server_notices.count("rests");
            let rest_ms = u64::try_from(backoff.as_millis()).unwrap_or(u64::MAX);
            log::info!(server:% = server.id, rest_ms = rest_ms; "server asks for rest");
        }
        self.notices.borrow_mut().record(&server.id, notice, Instant::now());
    }

    /// Returns whether a server has announced with an answer that it is draining.
    pub(in crate::direct) fn is_draining(&self, server: &BackendServer) -> bool {
        self.notices.borrow().is_draining(&server.id)
    }

    /// Returns whether a back-off requested by a server is still in effect.
    pub(in crate::direct) fn is_backing_off(&self, server: &BackendServer, now: Instant) -> bool {
        self.notices.borrow().backoff_left(&server.id, now).is_some()
    }

    /// Returns the time until the first server of a service takes a request with these home
    /// regions, if all that could take it have requested a back-off.
    pub(in crate::direct) fn backoff_of_all(
        &self,
        service: &ServiceId,
        filter: ServerFilter<'_>,
        now: Instant,
    ) -> Option<Duration> {
        let (presence, notices) = (self.presence.borrow(), self.notices.borrow());
        let servers = presence.catalog().of_service(service);
        let open = servers.filter(|server| self.takes_requests(server));
        let open = open.filter(|server| self.is_admitted(server, filter));
        let backoffs = open.map(|server| notices.backoff_left(&server.id, now));
        backoffs.min_by_key(|backoff| backoff.unwrap_or_default()).flatten()
    }
}
