//! Typed views of the status and metrics that a process reports to operators.

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
    /// The router's incarnation, which changes at each start.
    pub incarnation: String,
    /// Whether the load balancer should send callers to this router.
    pub ready: bool,
    /// The number of backend servers that the router knows.
    pub servers: u64,
    /// The number of callers' requests since the start.
    pub requests: u64,
    /// The number of requests in flight.
    pub in_flight: u64,
}

/// The parts of an agent's `/status` that tests read.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct AgentStatus {
    /// The agent's incarnation, which changes at each start.
    pub incarnation: String,
    /// The name of the agent's backend server.
    pub server: String,
    /// Whether the agent is draining and takes no new work.
    pub leaving: bool,
    /// The number of admitted requests that aren't finished.
    pub running: u64,
    /// The number of connections from routers.
    pub router_links: u64,
    /// The time, in milliseconds, until the agent as a witness grants claims on keys.
    pub witness_ready_in_ms: u64,
    /// The number of granted keys that the agent remembers.
    pub held_keys: u64,
    /// The state of the agent's orders to its engine, if it sends any.
    #[serde(default)]
    pub orders: Option<OrderStatus>,
}

/// The parts of an agent's `/status` that describe its orders to the engine.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct OrderStatus {
    /// Whether the engine matches its declared target.
    pub as_declared: bool,
    /// Whether a newer agent has taken over the engine.
    pub superseded: bool,
    /// The conditions for which the agent waits.
    pub waits: Vec<String>,
}

/// The text of `/metrics` at one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricsReading(String);

impl MetricsReading {
    /// Returns the sum of the samples with the name `name` and the text `label` in their labels,
    /// for example `reason="closed"`. An empty `label` matches all. Returns 0 if no sample matches.
    pub fn sum(&self, name: &str, label: &str) -> f64 {
        let samples = self.0.lines().filter_map(|line| line.rsplit_once(' '));
        samples
            .filter(|(sample, _)| sample.split('{').next() == Some(name) && sample.contains(label))
            .filter_map(|(_, value)| value.parse::<f64>().ok())
            .sum()
    }
}

impl ProcessHandle {
    /// Reads the metrics of the process.
    pub async fn metrics(&self) -> Result<MetricsReading, TestbedError> {
        let body = read_bytes(self.operations()?, Method::GET, "/metrics", Bytes::new()).await?;
        Ok(MetricsReading(String::from_utf8_lossy(&body).into_owned()))
    }

    /// Reads the status of the process, for example as [`RouterStatus`] or [`AgentStatus`].
    pub async fn status<S: DeserializeOwned>(&self) -> Result<S, TestbedError> {
        read_json(self.operations()?, Method::GET, "/status", Bytes::new()).await
    }

    /// Waits until [`MetricsReading::sum`] for `name` and `label` is at least `least`.
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
