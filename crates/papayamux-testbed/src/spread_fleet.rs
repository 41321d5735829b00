//! Routers that spread the files of a configuration service stand-in.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use bon::Builder;
use bytes::Bytes;
use http::Method;
use papayamux_protocol::platform::FileRevision;
use papayamux_standins::call_meter::CallCounters;
use papayamux_standins::config_service::{
    standin_file_path, ConfigFaults, COUNTERS_PATH, FAULTS_PATH,
};
use serde::Deserialize;
use tempfile::TempDir;

use crate::http_reader::{read_bytes, read_json};
use crate::process::{ProcessHandle, TestbedError};

/// How often the processes' state is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a fleet of routers that spread files consists of.
#[derive(Debug, Clone, Builder)]
pub struct SpreadPlan {
    /// Routers.
    pub processes: usize,
    /// Failure domains that they are in by turns.
    #[builder(default = 3)]
    pub domains: usize,
    /// Processes that a new one is told of.
    #[builder(default = 3)]
    pub seeds: usize,
    /// Further lines for the `[spread]` section of each.
    #[builder(default)]
    pub spread_lines: String,
    /// Further lines for the `[router]` section of each.
    #[builder(default)]
    pub router_lines: String,
}

/// One router of the fleet.
#[derive(Debug)]
pub struct SpreadProcess {
    /// The process.
    pub handle: ProcessHandle,
    /// Where it listens for peers.
    pub peers: SocketAddr,
    index: usize,
}

/// What a router says of its configuration.
#[derive(Debug, Clone, Deserialize)]
pub struct SpreadStatus {
    /// Whether it has asked its peers.
    pub settled: bool,
    /// The highest revision held.
    pub revision: u64,
    /// Digest of all versions held.
    pub digest: String,
    /// Age of the reading that they reflect.
    pub age_ms: Option<u64>,
    /// Whether it watches the service.
    pub watching: bool,
    /// Connections to peers.
    pub links: u64,
    /// Bytes sent to peers.
    pub sent_bytes: u64,
    /// Bytes received from peers.
    pub received_bytes: u64,
    /// Bytes read from the service.
    pub service_bytes: u64,
    /// What is in force.
    pub in_force: InForceStatus,
}

/// What a router says of what is in force.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct InForceStatus {
    /// The revision of the service that it was derived at.
    pub revision: u64,
    /// Digest of all that is in force.
    pub digest: String,
    /// Models in force.
    pub models: u64,
    /// Files whose newest revision is refused.
    pub refused_files: u64,
}

#[derive(Debug, Deserialize)]
struct ConfigurationStatus {
    configuration: SpreadStatus,
}

/// A running fleet; dropping it stops all of it.
#[derive(Debug)]
pub struct SpreadFleet {
    /// The configuration service.
    pub service: ProcessHandle,
    /// The routers.
    pub processes: Vec<SpreadProcess>,
    /// What the fleet consists of; processes started later follow its present state.
    pub plan: SpreadPlan,
    folder: TempDir,
}

impl SpreadFleet {
    /// Starts a service without files, and routers that each know some of those before them.
    pub fn start(plan: SpreadPlan) -> Result<Self, TestbedError> {
        let service = ProcessHandle::start("papayamux-standins", &["config-service".to_string()])?;
        let folder = TempDir::new()?;
        let mut fleet = Self { service, processes: Vec::new(), folder, plan };
        for _ in 0..fleet.plan.processes {
            fleet.add()?;
        }
        Ok(fleet)
    }

    /// Starts one more router, which knows the first ones.
    pub fn add(&mut self) -> Result<usize, TestbedError> {
        let seeds: Vec<_> =
            self.processes.iter().take(self.plan.seeds).map(|process| process.peers).collect();
        let service = self.service.listen()?;
        self.add_with(service, &seeds)
    }

    /// Starts one more router with the given service and seeds; gives its index.
    pub fn add_with(
        &mut self,
        service: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Result<usize, TestbedError> {
        let index = self.processes.len();
        let process = self.start_process(index, own_address(index), service, seeds)?;
        self.processes.push(process);
        Ok(index)
    }

    fn start_process(
        &self,
        index: usize,
        listen: SocketAddr,
        service: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Result<SpreadProcess, TestbedError> {
        let seeds: Vec<_> = seeds.iter().map(SocketAddr::to_string).collect();
        let settings = format!(
            "[router]\nlisten = 127.0.0.1:0\noperations = 127.0.0.1:0\nfailure_domain = domain-{}\n\
             {}\n[spread]\nservice = {service}\nlisten = {listen}\npeers = {}\n{}\n",
            index % self.plan.domains,
            self.plan.router_lines,
            seeds.join(", "),
            self.plan.spread_lines,
        );
        let file = write_settings(self.folder.path(), index, &settings)?;
        let handle = ProcessHandle::start("papayamux-router", &["--settings".to_string(), file])?;
        let peers = handle.peers()?;
        Ok(SpreadProcess { handle, peers, index })
    }

    /// Kills all routers and starts them again at the same time, at the same addresses.
    pub fn restart_all(&mut self) -> Result<(), TestbedError> {
        let before = std::mem::take(&mut self.processes);
        let places: Vec<_> = before.iter().map(|process| (process.index, process.peers)).collect();
        drop(before);
        let seeds: Vec<_> = places.iter().take(self.plan.seeds).map(|(_, peers)| *peers).collect();
        let service = self.service.listen()?;
        let fleet = &*self;
        let started: Result<Vec<_>, _> = std::thread::scope(|scope| {
            let threads: Vec<_> = places
                .iter()
                .map(|(index, peers)| {
                    let seeds = &seeds;
                    scope.spawn(move || fleet.start_process(*index, *peers, service, seeds))
                })
                .collect();
            threads.into_iter().map(join_start).collect()
        });
        self.processes = started?;
        Ok(())
    }

    /// Puts a file at the service.
    pub async fn put_file(&self, name: &str, text: &str) -> Result<u64, TestbedError> {
        let (address, path) = (self.service.listen()?, standin_file_path(name));
        let body = text.to_string().into();
        let file: FileRevision = read_json(address, Method::PUT, &path, body).await?;
        Ok(file.revision)
    }

    /// Brings faults about at the service.
    pub async fn set_faults(&self, faults: ConfigFaults) -> Result<(), TestbedError> {
        let body = serde_json::to_vec(&faults)?;
        read_bytes(self.service.listen()?, Method::PUT, FAULTS_PATH, body.into()).await?;
        Ok(())
    }

    /// The service's counters.
    pub async fn counters(&self) -> Result<CallCounters, TestbedError> {
        read_json(self.service.listen()?, Method::GET, COUNTERS_PATH, Bytes::new()).await
    }

    /// What one router says of its configuration.
    pub async fn status(&self, index: usize) -> Result<SpreadStatus, TestbedError> {
        let status: ConfigurationStatus = self.processes[index].handle.status().await?;
        Ok(status.configuration)
    }

    /// What all routers say of their configuration.
    pub async fn statuses(&self) -> Result<Vec<SpreadStatus>, TestbedError> {
        let mut statuses = Vec::new();
        for index in 0..self.processes.len() {
            statuses.push(self.status(index).await?);
        }
        Ok(statuses)
    }

    /// Waits until all routers hold the same, up to `revision`, and are settled; `None` when that
    /// takes longer than `within`.
    pub async fn wait_equal(
        &self,
        revision: u64,
        within: Duration,
    ) -> Result<Option<Vec<SpreadStatus>>, TestbedError> {
        let deadline = Instant::now() + within;
        loop {
            let statuses = self.statuses().await?;
            let are_equal = statuses.iter().all(|status| {
                status.settled
                    && status.revision == revision
                    && status.in_force.revision == revision
                    && status.digest == statuses[0].digest
            });
            if are_equal {
                return Ok(Some(statuses));
            }
            if Instant::now() > deadline {
                return Ok(None);
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// A loopback address of a process's own, with a port that the kernel picks: no other process can
/// take that port while this one is started again.
fn own_address(index: usize) -> SocketAddr {
    let [.., high, low] = (index as u32 + 1).to_be_bytes();
    SocketAddr::from(([127, 1, high, low], 0))
}

fn join_start(
    thread: std::thread::ScopedJoinHandle<'_, Result<SpreadProcess, TestbedError>>,
) -> Result<SpreadProcess, TestbedError> {
    let broken = || std::io::Error::other("the thread that starts a process ended early");
    thread.join().unwrap_or_else(|_| Err(broken().into()))
}

fn write_settings(folder: &Path, index: usize, text: &str) -> Result<String, TestbedError> {
    let file = folder.join(format!("router-{index}.ini"));
    std::fs::write(&file, text)?;
    Ok(file.to_string_lossy().into_owned())
}
