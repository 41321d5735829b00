//! Tells a server that has ended from one that only lost a connection.

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

/// How long a probe may take. Requests that lost their server wait for it before they go elsewhere.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

type PendingProbe = Shared<LocalBoxFuture<'static, ProbeResult>>;

/// Probes under way. Requests that lose the same server together share one.
#[derive(Default)]
pub(super) struct ServerChecks(RefCell<HashMap<ServerId, PendingProbe>>);

impl Fleet {
    /// Whether a server has ended that should be serving, after a connection to it broke.
    ///
    /// One that is draining or no longer listed ends as planned, and no request is to blame.
    pub(in crate::direct) async fn has_crashed(self: &Rc<Self>, server: &BackendServer) -> bool {
        if self.has_restarted(server) {
            return true;
        }
        let is_serving = {
            let presence = self.presence.borrow();
            let known = presence.catalog().get(&server.id);
            known.is_some_and(|known| known.phase == ServerPhase::Serving && !self.leaves(known))
        };
        is_serving && self.pending_probe(server).await == ProbeResult::Refused
    }

    fn pending_probe(self: &Rc<Self>, server: &BackendServer) -> PendingProbe {
        let mut pending = self.checks.0.borrow_mut();
        let probe = pending.entry(server.id.clone()).or_insert_with(|| {
            let probing = self.clone().probe(server.id.clone(), server.address);
            // A task of its own: the request that asked first may be dropped by its caller.
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
