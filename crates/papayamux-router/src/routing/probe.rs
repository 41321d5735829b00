//! Probes agents for their load and cached prompt blocks during a routing decision.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use papayamux_protocol::link::{LoadProbe, ProbeReply};

use crate::agents::AgentPeer;
use crate::directory::ServerRecord;

/// Maximum time that a decision waits for replies to its probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(40);

/// Probes the agents of all `servers` concurrently. The result is `None` for agents that did not
/// reply on time.
pub async fn probe_all(servers: &[Rc<ServerRecord>], probe: &LoadProbe) -> Vec<Option<ProbeReply>> {
    let probes = servers.iter().map(|record| {
        let (peer, probe) = (record.peer.clone(), probe.clone());
        // The task isn't cancelled by the timeout, so a connection that opens late is available to
        // the next request.
        let answer = monoio::spawn(async move { probe_one(&peer, probe).await });
        async move { monoio::time::timeout(PROBE_TIMEOUT, answer).await.ok().flatten() }
    });
    join_all(probes).await
}

async fn probe_one(peer: &AgentPeer, probe: LoadProbe) -> Option<ProbeReply> {
    let link = peer.link().await.ok()?;
    link.probe(probe).await
}
