//! What a process shows its operators, as typed values.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::de::DeserializeOwned;
use serde::Deserialize;

use crate::http_reader::{read_bytes, read_json};
use crate::process::{ProcessHandle, TestbedError};
use crate::waiting::wait_until;

/// The parts of a router's `/status` that tests read.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct RouterStatus {
    /// The router's life.
    pub incarnation: String,
    /// Whether the balancer should send callers here.
    pub ready: bool,
    /// Backend servers that the router knows.
    pub servers: u64,
    /// Requests of callers since the start.
    pub requests: u64,
    /// Requests in flight.
    pub in_flight: u64,
}

/// The parts of an agent's `/status` that tests read.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct AgentStatus {
    /// The agent's life.
    pub incarnation: String,
    /// The backend server that it stands beside.
    pub server: String,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests admitted and not finished.
    pub running: u64,
    /// Connections of routers.
    pub router_links: u64,
    /// Milliseconds until the agent grants keys to calls.
    pub witness_ready_in_ms: u64,
    /// Keys that the agent has granted and remembers.
    pub held_keys: u64,
    /// How its orders stand, where it gives any.
    #[serde(default)]
    pub orders: Option<OrderStatus>,
}

/// The parts of an agent's `/status` that tell how its orders stand.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct OrderStatus {
    /// Whether the engine is as its target says.
    pub as_declared: bool,
    /// Whether a newer agent orders the engine.
    pub superseded: bool,
    /// What is waited for.
    pub waits: Vec<String>,
}

/// One reading of `/metrics`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricsReading(String);

impl MetricsReading {
    /// The sum of the samples called `name` whose labels include `label` (for instance
    /// `reason="closed"`, or nothing for all); 0 where there are none.
    pub fn sum(&self, name: &str, label: &str) -> f64 {
        let samples = self.0.lines().filter_map(|line| line.rsplit_once(' '));
        samples
            .filter(|(sample, _)| sample.split('{').next() == Some(name) && sample.contains(label))
            .filter_map(|(_, value)| value.parse::<f64>().ok())
            .sum()
    }
}

impl ProcessHandle {
    /// Reads the process's metrics.
    pub async fn metrics(&self) -> Result<MetricsReading, TestbedError> {
        let body = read_bytes(self.operations()?, Method::GET, "/metrics", Bytes::new()).await?;
        Ok(MetricsReading(String::from_utf8_lossy(&body).into_owned()))
    }

    /// Reads the process's status, [`RouterStatus`] or [`AgentStatus`].
    pub async fn status<S: DeserializeOwned>(&self) -> Result<S, TestbedError> {
        read_json(self.operations()?, Method::GET, "/status", Bytes::new()).await
    }

    /// Waits until [`MetricsReading::sum`] is at least `least`.
    pub async fn wait_metric(
        &self,
        name: &str,
        label: &str,
        least: f64,
        within: Duration,
    ) -> Result<(), TestbedError> {
        let read = async || Ok(self.metrics().await?.sum(name, label));
        wait_until(within, read, |sum| *sum >= least).await?;
        Ok(())
    }
}
