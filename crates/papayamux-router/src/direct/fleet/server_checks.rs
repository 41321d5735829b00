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

/// What is known of a server after a connection to it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServerState {
    /// It has crashed.
    Crashed,
    /// It accepts connections.
    Listening,
    /// It leaves as planned, or can't be asked.
    Unknown,
}

impl Fleet {
    /// Returns whether a server that should be serving has crashed, after a connection to it broke.
    pub(in crate::direct) async fn has_crashed(self: &Rc<Self>, server: &BackendServer) -> bool {
        self.server_state(server).await == ServerState::Crashed
    }

    /// Returns the state of a server that should be serving, after a connection to it ended.
    ///
    /// A server that is draining or no longer listed ends as planned, and no request has caused its
    /// end.
    pub(super) async fn server_state(self: &Rc<Self>, server: &BackendServer) -> ServerState {
        if self.has_restarted(server) {
            return ServerState::Crashed;
        }
        let is_serving = {
            let presence = self.presence.borrow();
            let known = presence.catalog().get(&server.id);
            known.is_some_and(|known| {
                known.phase == ServerPhase::Serving && !self.is_draining(known)
            })
        };
        if !is_serving {
            return ServerState::Unknown;
        }
        match self.pending_probe(server).await {
            ProbeResult::Refused => ServerState::Crashed,
            ProbeResult::Accepted => ServerState::Listening,
            ProbeResult::Unanswered => ServerState::Unknown,
        }
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
