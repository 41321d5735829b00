//! Distinguishes a crash of a server from the mere loss of a connection.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{FutureExt, LocalBoxFuture, Shared};
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::ids::ServerId;
use papayamux_transport::http::upstream::{probe_listener, ProbeResult};

use super::Fleet;

/// Timeout of a probe. Requests that lost their server wait for it before they are retried.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

type PendingProbe = Shared<LocalBoxFuture<'static, ProbeResult>>;

/// Probes in progress. Requests that lose the same server at the same time share one.
#[derive(Default)]
pub(super) struct ServerChecks(RefCell<HashMap<ServerId, PendingProbe>>);

impl Fleet {
    /// Returns whether a server that should be serving has crashed, after a connection to it broke.
    ///
    /// A server that is draining or no longer listed ends as planned, and no request has caused its
    /// end.
    pub(in crate::direct) async fn has_crashed(self: &Rc<Self>, server: &BackendServer) -> bool {
        if self.has_restarted(server) {
            return true;
        }
        let is_serving = {
            let presence = self.presence.borrow();
            let known = presence.catalog().get(&server.id);
            known.is_some_and(|known| {
                known.phase == ServerPhase::Serving && !self.is_draining(known)
            })
        };
        is_serving && self.pending_probe(server).await == ProbeResult::Refused
    }

    fn pending_probe(self: &Rc<Self>, server: &BackendServer) -> PendingProbe {
        let mut pending = self.checks.0.borrow_mut();
        let probe = pending.entry(server.id.clone()).or_insert_with(|| {
            let probing = self.clone().probe(server.id.clone(), server.address);
            // The probe runs in its own task, since the caller of the first request may disconnect.
            monoio::spawn(probing).boxed_local().shared()
        });
        probe.clone()
    }

    async fn probe(self: Rc<Self>, id: ServerId, address: SocketAddr) -> ProbeResult {
        let result = probe_listener(address, PROBE_TIMEOUT).await;
        self.checks.0.borrow_mut().remove(&id);
        self.metrics.server_checks.count(result.label());
        log::info!(server:% = id, result = result.label(); "server probed");
        result
    }
}
