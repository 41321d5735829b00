//! Queries the agents of other servers whether their servers keep serving weights that this server
//! wants to stop serving.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use papayamux_coordination::orders::ServingEvidence;
use papayamux_protocol::link::{AgentMessage, RouterMessage};
use papayamux_protocol::serving::{ServingAnswer, ServingQuery};
use papayamux_state::ids::ServerId;
use papayamux_state::weights::WeightsRef;
use papayamux_transport::agent_link::{open_link, AgentLinkError, LinkIdentity, CONTROL_STREAM};

use super::metrics::OrderMetrics;

/// The time within which another agent must answer, including the opening of the connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of queried servers.
const MAX_QUERIED: usize = 256;

/// Queries other agents on behalf of this agent.
#[derive(Debug, Clone)]
pub struct ServingClient {
    /// The identity that this agent presents.
    pub identity: LinkIdentity,
    /// The server of this agent.
    pub server: ServerId,
    /// The duration for which an answer is valid, from the start of the query.
    pub evidence_for: Duration,
    /// The metrics of the orders.
    pub metrics: OrderMetrics,
}

impl ServingClient {
    /// Queries all `others` concurrently. Returns the evidence of those that confirm on time that
    /// they serve `weights`.
    pub async fn query_all(
        &self,
        weights: &WeightsRef,
        others: &[(ServerId, SocketAddr)],
    ) -> Vec<ServingEvidence> {
        let queries = others.iter().take(MAX_QUERIED);
        let queries = queries.map(|(other, address)| self.query(other, *address, weights));
        join_all(queries).await.into_iter().flatten().collect()
    }

    async fn query(
        &self,
        other: &ServerId,
        address: SocketAddr,
        weights: &WeightsRef,
    ) -> Option<ServingEvidence> {
        let started_at = Instant::now();
        let exchange = self.exchange(other, address, weights);
        let label = match monoio::time::timeout(ANSWER_TIMEOUT, exchange).await {
            Ok(Ok(ServingAnswer::Serves)) => "serves",
            Ok(Ok(ServingAnswer::Refused(refusal))) => refusal.label(),
            Ok(Err(error)) => error.label(),
            Err(_) => "timeout",
        };
        self.metrics.serving_asked.count(label);
        let evidence =
            ServingEvidence { server: other.clone(), until: started_at + self.evidence_for };
        (label == "serves").then_some(evidence)
    }

    async fn exchange(
        &self,
        other: &ServerId,
        address: SocketAddr,
        weights: &WeightsRef,
    ) -> Result<ServingAnswer, AgentLinkError> {
        let mut link = open_link(other, address, &self.identity).await?;
        let (weights, asker) = (weights.clone(), self.server.clone());
        let question = RouterMessage::AskServing(ServingQuery { weights, asker });
        link.sender.send(CONTROL_STREAM, question);
        loop {
            let received = link.receiver.receive().await.ok_or(AgentLinkError::NoWelcome)??;
            if let AgentMessage::Serving(answer) = received.message {
                return Ok(answer);
            }
        }
    }
}
