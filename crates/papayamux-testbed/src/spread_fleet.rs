//! A fleet of routers that spread the files of a stand-in configuration service.

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

/// Interval at which the status of the routers is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The composition and settings of a [`SpreadFleet`].
#[derive(Debug, Clone, Builder)]
pub struct SpreadPlan {
    /// The number of routers.
    pub processes: usize,
    /// The number of failure domains, to which routers are assigned round-robin.
    #[builder(default = 3)]
    pub domains: usize,
    /// The number of running routers that are configured as peers of a new one.
    #[builder(default = 3)]
    pub seeds: usize,
    /// Additional lines for the `[spread]` section of each router.
    #[builder(default)]
    pub spread_lines: String,
    /// Additional lines for the `[router]` section of each router.
    #[builder(default)]
    pub router_lines: String,
}

/// A router of a [`SpreadFleet`].
#[derive(Debug)]
pub struct SpreadProcess {
    /// The running process.
    pub handle: ProcessHandle,
    /// The address at which it accepts peers.
    pub peers: SocketAddr,
    index: usize,
}

/// The parts of a router's `/status` that describe its configuration.
#[derive(Debug, Clone, Deserialize)]
pub struct SpreadStatus {
    /// Whether it has queried its peers since its start or its last pause.
    pub settled: bool,
    /// The highest revision that it holds.
    pub revision: u64,
    /// The digest of all file versions that it holds.
    pub digest: String,
    /// The age, in milliseconds, of the read of the service that these versions reflect.
    pub age_ms: Option<u64>,
    /// Whether it is a watcher of the service.
    pub watching: bool,
    /// The number of connections to peers.
    pub links: u64,
    /// The number of bytes sent to peers.
    pub sent_bytes: u64,
    /// The number of bytes received from peers.
    pub received_bytes: u64,
    /// The number of bytes read from the service.
    pub service_bytes: u64,
    /// The configuration in force.
    pub in_force: InForceStatus,
}

/// The parts of a router's `/status` that describe its configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct InForceStatus {
    /// The service's revision from which it was derived.
    pub revision: u64,
    /// The digest of the whole configuration in force.
    pub digest: String,
    /// The number of models in force.
    pub models: u64,
    /// The number of files whose newest revision is refused.
    pub refused_files: u64,
}

#[derive(Debug, Deserialize)]
struct ConfigurationStatus {
    configuration: SpreadStatus,
}

/// A running fleet of routers and a configuration service. Dropping it stops all of its processes.
#[derive(Debug)]
pub struct SpreadFleet {
    /// The stand-in configuration service.
    pub service: ProcessHandle,
    /// The running routers.
    pub processes: Vec<SpreadProcess>,
    /// The plan of the fleet. Routers that are started later follow changes made to it.
    pub plan: SpreadPlan,
    folder: TempDir,
}

impl SpreadFleet {
    /// Starts a service without files, and the routers, of which each is given the first
    /// [`SpreadPlan::seeds`] routers started before it as peers.
    pub fn start(plan: SpreadPlan) -> Result<Self, TestbedError> {
        let service = ProcessHandle::start("papayamux-standins", &["config-service".to_string()])?;
        let folder = TempDir::new()?;
        let mut fleet = Self { service, processes: Vec::new(), folder, plan };
        for _ in 0..fleet.plan.processes {
            fleet.add()?;
        }
        Ok(fleet)
    }

    /// Starts another router with the first routers of the fleet as peers, and returns its index.
    pub fn add(&mut self) -> Result<usize, TestbedError> {
        let seeds: Vec<_> =
            self.processes.iter().take(self.plan.seeds).map(|process| process.peers).collect();
        let service = self.service.listen()?;
        self.add_with(service, &seeds)
    }

    /// Starts another router with the given service and seeds, and returns its index.
    pub fn add_with(
        &mut self,
        service: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Result<usize, TestbedError> {
        let index = self.processes.len();
        let process = self.start_process(index, loopback_address(index), service, seeds)?;
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

    /// Kills all routers, then starts all of them concurrently at their previous peer addresses.
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

    /// Stores a file in the service and returns its revision.
    pub async fn put_file(&self, name: &str, text: &str) -> Result<u64, TestbedError> {
        let (address, path) = (self.service.listen()?, standin_file_path(name));
        let body = text.to_string().into();
        let file: FileRevision = read_json(address, Method::PUT, &path, body).await?;
        Ok(file.revision)
    }

    /// Replaces the faults that the service simulates.
    pub async fn set_faults(&self, faults: ConfigFaults) -> Result<(), TestbedError> {
        let body = serde_json::to_vec(&faults)?;
        read_bytes(self.service.listen()?, Method::PUT, FAULTS_PATH, body.into()).await?;
        Ok(())
    }

    /// Reads the call counters of the service.
    pub async fn counters(&self) -> Result<CallCounters, TestbedError> {
        read_json(self.service.listen()?, Method::GET, COUNTERS_PATH, Bytes::new()).await
    }

    /// Reads the configuration status of one router.
    pub async fn status(&self, index: usize) -> Result<SpreadStatus, TestbedError> {
        let status: ConfigurationStatus = self.processes[index].handle.status().await?;
        Ok(status.configuration)
    }

    /// Reads the configuration status of all routers.
    pub async fn statuses(&self) -> Result<Vec<SpreadStatus>, TestbedError> {
        let mut statuses = Vec::new();
        for index in 0..self.processes.len() {
            statuses.push(self.status(index).await?);
        }
        Ok(statuses)
    }

    /// Waits until all routers are settled, hold equal versions and have `revision` held and in
    /// force. Returns `None` if that takes longer than `within`.
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

/// Returns a loopback address that only this router uses, with a port that the kernel selects. No
/// other process can take that port while the router restarts.
fn loopback_address(index: usize) -> SocketAddr {
    let [.., high, low] = (index as u32 + 1).to_be_bytes();
    SocketAddr::from(([127, 1, high, low], 0))
}

fn join_start(
    thread: std::thread::ScopedJoinHandle<'_, Result<SpreadProcess, TestbedError>>,
) -> Result<SpreadProcess, TestbedError> {
    let broken = || std::io::Error::other("the thread that starts a process panicked");
    thread.join().unwrap_or_else(|_| Err(broken().into()))
}

fn write_settings(folder: &Path, index: usize, text: &str) -> Result<String, TestbedError> {
    let file = folder.join(format!("router-{index}.ini"));
    std::fs::write(&file, text)?;
    Ok(file.to_string_lossy().into_owned())
}
