//! Asking agents for their load and warmth at the moment of a decision.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use papayamux_protocol::link::{LoadProbe, ProbeReply};

use crate::agents::AgentPeer;
use crate::directory::ServerRecord;

/// How long a decision waits for the answers to its probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(40);

/// Asks the agents of all `servers` at once; `None` stands for those that did not answer in time.
pub async fn probe_all(servers: &[Rc<ServerRecord>], probe: &LoadProbe) -> Vec<Option<ProbeReply>> {
    let asked = servers.iter().map(|record| {
        let (peer, probe) = (record.peer.clone(), probe.clone());
        // The task outlives the wait: a connection that opens late is there for the next request.
        let answer = monoio::spawn(async move { probe_one(&peer, probe).await });
        async move { monoio::time::timeout(PROBE_TIMEOUT, answer).await.ok().flatten() }
    });
    join_all(asked).await
}

async fn probe_one(peer: &AgentPeer, probe: LoadProbe) -> Option<ProbeReply> {
    let link = peer.link().await.ok()?;
    link.probe(probe).await
}
