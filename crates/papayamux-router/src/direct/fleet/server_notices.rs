//! What servers say of themselves with their answers.

use std::time::{Duration, Instant};

use papayamux_state::backend::{BackendServer, ServerNotice};
use papayamux_state::ids::ServiceId;

use super::{Fleet, RequestHomes};

impl Fleet {
    /// Takes in what a server said with an answer.
    pub(in crate::direct) fn take_notice(&self, server: &BackendServer, notice: ServerNotice) {
        if notice.leaves && !self.leaves(server) {
            self.metrics.server_notices.count("leaves");
            log::info!(server:% = server.id; "server says that it leaves");
        }
        if let Some(rest) = notice.rest {
            self.metrics.server_notices.count("rests");
            let rest_ms = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
            log::info!(server:% = server.id, rest_ms = rest_ms; "server asks for rest");
        }
        self.notices.borrow_mut().record(&server.id, notice, Instant::now());
    }

    /// Whether a server has said with an answer that it leaves.
    pub(in crate::direct) fn leaves(&self, server: &BackendServer) -> bool {
        self.notices.borrow().is_draining(&server.id)
    }

    /// Whether a server has asked for a rest that isn't over.
    pub(in crate::direct) fn rests(&self, server: &BackendServer, now: Instant) -> bool {
        self.notices.borrow().backoff_left(&server.id, now).is_some()
    }

    /// How long until the first server of a service takes a request with these homes, where all that would take it
    /// rest.
    pub(in crate::direct) fn rest_of_all(
        &self,
        service: &ServiceId,
        homes: RequestHomes<'_>,
        now: Instant,
    ) -> Option<Duration> {
        let (presence, notices) = (self.presence.borrow(), self.notices.borrow());
        let servers = presence.catalog().of_service(service);
        let open = servers.filter(|server| self.takes_requests(server));
        let open = open.filter(|server| self.is_home(server, homes));
        let rests = open.map(|server| notices.backoff_left(&server.id, now));
        rests.min_by_key(|rest| rest.unwrap_or_default()).flatten()
    }
}
