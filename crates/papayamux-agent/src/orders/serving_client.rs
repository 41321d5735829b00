//! Asking other servers' agents whether their servers serve weights on while this one stops.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use papayamux_coordination::orders::ServingEvidence;
use papayamux_protocol::link::{AgentMessage, RouterMessage};
use papayamux_protocol::serving::{ServingAnswer, ServingQuestion};
use papayamux_state::ids::ServerId;
use papayamux_state::weights::WeightsRef;
use papayamux_transport::agent_link::{open_link, AgentLinkError, LinkIdentity, CONTROL_STREAM};

use super::metrics::OrderMetrics;

/// How long another agent may take to answer, with the opening of the connection.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// Servers that are asked at most.
const MOST_ASKED: usize = 256;

/// Asks other agents on behalf of this one.
#[derive(Debug, Clone)]
pub struct ServingClient {
    /// What this agent says of itself.
    pub identity: LinkIdentity,
    /// Its server.
    pub server: ServerId,
    /// How long an answer counts.
    pub evidence_for: Duration,
    /// Its metrics.
    pub metrics: OrderMetrics,
}

impl ServingClient {
    /// Asks all `others` at once; gives the evidence of those that serve and answer in time.
    pub async fn ask_all(
        &self,
        weights: &WeightsRef,
        others: &[(ServerId, SocketAddr)],
    ) -> Vec<ServingEvidence> {
        let asks = others.iter().take(MOST_ASKED);
        let asks = asks.map(|(other, address)| self.ask(other, *address, weights));
        join_all(asks).await.into_iter().flatten().collect()
    }

    async fn ask(
        &self,
        other: &ServerId,
        address: SocketAddr,
        weights: &WeightsRef,
    ) -> Option<ServingEvidence> {
        let asked = Instant::now();
        let exchange = self.exchange(other, address, weights);
        let label = match monoio::time::timeout(ANSWER_WITHIN, exchange).await {
            Ok(Ok(ServingAnswer::Serves)) => "serves",
            Ok(Ok(ServingAnswer::Refused(refusal))) => refusal.label(),
            Ok(Err(error)) => error.label(),
            Err(_) => "timeout",
        };
        self.metrics.serving_asked.count(label);
        let evidence = ServingEvidence { server: other.clone(), until: asked + self.evidence_for };
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
        let question = RouterMessage::AskServing(ServingQuestion { weights, asker });
        link.sender.send(CONTROL_STREAM, question);
        loop {
            let received = link.receiver.receive().await.ok_or(AgentLinkError::NoWelcome)??;
            if let AgentMessage::Serving(answer) = received.message {
                return Ok(answer);
            }
        }
    }
}
