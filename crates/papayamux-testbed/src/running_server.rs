//! A backend server of the fleet with its agent, and what it has run.

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

/// How long runs are waited for.
const RUNS_TIMEOUT: Duration = Duration::from_secs(30);

/// A backend server with its agent.
#[derive(Debug)]
pub struct RunningServer {
    /// The server's name.
    pub name: String,
    /// The stand-in.
    pub standin: ProcessHandle,
    /// The agent.
    pub agent: ProcessHandle,
    pub(crate) link: Option<LinkControl>,
    pub(crate) is_engine: bool,
}

impl RunningServer {
    /// The link between the agent and the server.
    pub fn link(&self) -> Result<&LinkControl, TestbedError> {
        let name = || format!("faulty link between {} and its agent", self.name);
        self.link.as_ref().ok_or_else(|| TestbedError::NoPart(name()))
    }

    /// Where the agent reaches the server.
    pub(crate) fn server_address(&self) -> Result<SocketAddr, TestbedError> {
        self.link.as_ref().map_or_else(|| self.standin.listen(), LinkControl::listen)
    }

    /// What a plain service has run, as it counted itself.
    pub async fn service_runs(&self) -> Result<ServiceRuns, TestbedError> {
        read_json(self.standin.listen()?, Method::GET, RUNS_PATH, Bytes::new()).await
    }

    /// How often an engine has started each request id, as it counted itself.
    pub async fn engine_runs(&self) -> Result<HashMap<String, u64>, TestbedError> {
        read_json(self.standin.listen()?, Method::GET, RUNS_PATH, Bytes::new()).await
    }

    /// How often a request with each tag was started, as the server counted itself.
    pub async fn tag_runs(&self) -> Result<HashMap<String, u64>, TestbedError> {
        read_json(self.standin.listen()?, Method::GET, TAG_RUNS_PATH, Bytes::new()).await
    }

    /// All runs of a server, of whichever kind.
    pub async fn all_runs(&self) -> Result<u64, TestbedError> {
        self.runs_reader()?.all_runs().await
    }

    /// Reads the runs without borrowing the server.
    pub fn runs_reader(&self) -> Result<RunsReader, TestbedError> {
        Ok(RunsReader { address: self.standin.listen()?, is_engine: self.is_engine })
    }

    /// Waits until the server has run at least `least` requests.
    pub async fn wait_runs(&self, least: u64) -> Result<u64, TestbedError> {
        wait_until(RUNS_TIMEOUT, async || self.all_runs().await, |runs| *runs >= least).await
    }
}

/// Reads how much a server has run.
#[derive(Debug, Clone, Copy)]
pub struct RunsReader {
    address: SocketAddr,
    is_engine: bool,
}

impl RunsReader {
    /// All runs of the server.
    pub async fn all_runs(&self) -> Result<u64, TestbedError> {
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
