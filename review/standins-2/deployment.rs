//! A small deployment: a store, runners that renew their entries, and routers on loopback addresses.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::cannot_run;
use crate::router::{free_peers_port, Router};
use crate::runner::Runner;
use crate::store::Store;

/// `heartbeat_interval_ms` of the small deployments.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Writes a runner's entry now and at each heartbeat, until the state is set to another one.
pub fn register(store: &Store, runner: &Runner) -> Arc<AtomicU64> {
    let draining = Arc::new(AtomicU64::new(0));
    store.put(&runner.key(), &runner.entry("ready", 1));
    let (store, runner, state) = (store.clone(), runner.clone(), draining.clone());
    std::thread::spawn(move || {
        for sequence in 2.. {
            std::thread::sleep(HEARTBEAT);
            let state = if state.load(Ordering::SeqCst) > 0 { "draining" } else { "ready" };
            store.put(&runner.key(), &runner.entry(state, sequence));
        }
    });
    draining
}

/// Where the routers of a deployment listen.
pub struct Places {
    folder: PathBuf,
    pub ips: Vec<String>,
    port: u16,
    seeds: String,
}

impl Places {
    pub fn new(folder: &Path, routers: usize) -> Self {
        let ips: Vec<_> = (0..routers).map(|number| format!("127.0.0.{}", 11 + number)).collect();
        let port = free_peers_port(&ips);
        let seeds: Vec<_> = ips.iter().take(3).map(|ip| format!("{ip}:{port}")).collect();
        Self { folder: folder.to_path_buf(), ips, port, seeds: seeds.join(",") }
    }

    pub fn start(&self, store: &Store, ip: &str) -> Router {
        Router::start(&self.folder, store.address, ip, self.port, &self.seeds)
    }

    /// Starts all routers and waits until they are ready.
    pub fn start_all(&self, store: &Store) -> Vec<Router> {
        let routers: Vec<_> = self.ips.iter().map(|ip| self.start(store, ip)).collect();
        for router in &routers {
            if !router.wait_ready() {
                drop(routers);
                cannot_run("a router didn't become ready");
            }
        }
        routers
    }
}
