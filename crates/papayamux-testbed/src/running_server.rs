//! A backend server of a fleet with its agent, and readers of the runs that the server has counted.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use papayamux_standins::run_tag::TAG_RUNS_PATH;
use papayamux_standins::service::{ServiceRuns, RUNS_PATH};
use serde::de::DeserializeOwned;

use crate::http_reader::read_json;
use crate::link_control::LinkControl;
use crate::process::{ProcessHandle, TestbedError};
use crate::waiting::wait_until;

/// Maximum wait in [`RunningServer::wait_runs`].
const RUNS_TIMEOUT: Duration = Duration::from_secs(30);

/// A running backend server with its agent.
#[derive(Debug)]
pub struct RunningServer {
    /// The name of the server.
    pub name: String,
    /// The stand-in process of the server.
    pub standin: ProcessHandle,
    /// The agent process of the server.
    pub agent: ProcessHandle,
    pub(crate) link: Option<LinkControl>,
    pub(crate) is_engine: bool,
}

impl RunningServer {
    /// Returns the control of the faulty link between the agent and the server; an error if they
    /// are connected directly.
    pub fn link(&self) -> Result<&LinkControl, TestbedError> {
        let name = || format!("faulty link between {} and its agent", self.name);
        self.link.as_ref().ok_or_else(|| TestbedError::NoPart(name()))
    }

    /// Returns the address at which the agent reaches the server: that of the faulty link if there
    /// is one.
    pub(crate) fn server_address(&self) -> Result<SocketAddr, TestbedError> {
        self.link.as_ref().map_or_else(|| self.standin.listen(), LinkControl::listen)
    }

    /// Reads the runs that the server has counted, if it is a plain service.
    pub async fn service_runs(&self) -> Result<ServiceRuns, TestbedError> {
        read_json(self.standin.listen()?, Method::GET, RUNS_PATH, Bytes::new()).await
    }

    /// Reads how often the server has started each request id, if it is an engine.
    pub async fn engine_runs(&self) -> Result<HashMap<String, u64>, TestbedError> {
        read_json(self.standin.listen()?, Method::GET, RUNS_PATH, Bytes::new()).await
    }

    /// Reads how often requests with each tag were started, as counted by the server.
    pub async fn tag_runs(&self) -> Result<HashMap<String, u64>, TestbedError> {
        read_json(self.standin.listen()?, Method::GET, TAG_RUNS_PATH, Bytes::new()).await
    }

    /// Reads the total number of runs, of an engine or a plain service.
    pub async fn total_runs(&self) -> Result<u64, TestbedError> {
        self.runs_reader()?.total_runs().await
    }

    /// Returns a reader of the runs that doesn't borrow the server.
    pub fn runs_reader(&self) -> Result<RunsReader, TestbedError> {
        Ok(RunsReader { address: self.standin.listen()?, is_engine: self.is_engine })
    }

    /// Waits until the server has counted at least `least` runs, and returns the number.
    pub async fn wait_runs(&self, min_runs: u64) -> Result<u64, TestbedError> {
        wait_until(RUNS_TIMEOUT, async || self.total_runs().await, |runs| *runs >= min_runs).await
    }
}

/// Reads the number of runs of a server.
#[derive(Debug, Clone, Copy)]
pub struct RunsReader {
    address: SocketAddr,
    is_engine: bool,
}

impl RunsReader {
    /// Reads the total number of runs.
    pub async fn total_runs(&self) -> Result<u64, TestbedError> {
        if self.is_engine {
            let runs: HashMap<String, u64> = self.read().await?;
            return Ok(runs.values().sum());
        }
        let runs: ServiceRuns = self.read().await?;
        Ok(runs.by_request.values().sum())
    }

    async fn read<T: DeserializeOwned>(&self) -> Result<T, TestbedError> {
        read_json(self.address, Method::GET, RUNS_PATH, Bytes::new()).await
    }
}
