//! The processes of a soak: routers, and fault proxies on their links.

use std::io::Write;
use std::net::UdpSocket;
use std::sync::Arc;

use papayamux_platform_standins::{ServerListing, ServerStandIn, StoreStandIn};
use papayamux_testbed::{LinkControl, ProcessHandle, TestbedError};
use serde_json::Value;

use super::checks::{
    APPLY_WITHIN, DRAIN_WITHIN, RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW, REVOKE_WITHIN,
};
use super::servers::{start_server, RunLog};
use super::workload::CallerState;
use crate::front_settings::FrontSettings;

/// The program under test.
const ROUTER: &str = "papayamux-front";

/// A router's process and its link to the store.
pub(super) struct SoakRouter {
    pub(super) process: Option<ProcessHandle>,
    pub(super) store_link: LinkControl,
    settings: tempfile::NamedTempFile,
}

/// A server and the link through which routers reach it.
pub(super) struct SoakServer {
    pub(super) server: ServerStandIn,
    pub(super) link: LinkControl,
    /// Number of starts, the first included.
    pub(super) starts: u64,
    /// `true` if routers connect to the server directly instead of through the link.
    is_direct: bool,
}

impl SoakServer {
    /// Starts a server and writes its entry into the store with the address of its link, or with
    /// its own address if it may crash.
    pub(super) fn start(
        store: &StoreStandIn,
        run_log: &RunLog,
        service: &str,
        version: &str,
        id: &str,
    ) -> Result<Self, TestbedError> {
        let server = start_server(id, service, version, run_log);
        let link = LinkControl::start(server.address)?;
        let started = Self { server, link, starts: 1, is_direct: run_log.may_crash(service) };
        started.list(store, false)?;
        Ok(started)
    }

    /// Writes the server's entry into the store.
    pub(super) fn list(&self, store: &StoreStandIn, draining: bool) -> Result<(), TestbedError> {
        let address = match self.is_direct {
            true => self.server.address,
            false => self.link.listen()?,
        };
        let address = Some(address);
        let born = Some(self.starts);
        let listing = ServerListing { address, draining, born, ..ServerListing::default() };
        self.server.list(store, listing);
        Ok(())
    }

    /// Cuts the server's connections and lists it as restarted.
    pub(super) async fn restart(&mut self, store: &StoreStandIn) -> Result<(), TestbedError> {
        self.link.cut().await?;
        self.starts += 1;
        self.list(store, false)
    }
}

/// All processes and shared state of a soak.
pub(super) struct SoakFleet {
    pub(super) store: StoreStandIn,
    pub(super) run_log: RunLog,
    pub(super) caller_state: Arc<CallerState>,
    pub(super) routers: Vec<SoakRouter>,
    pub(super) servers: Vec<SoakServer>,
    /// Server that the entries of other writers point to.
    pub(super) foreign: ServerStandIn,
}

impl SoakFleet {
    /// Writes entries that describe no valid server; the last replaces the entry of `server`.
    pub(super) fn write_foreign_entries(&self, server: usize) {
        let proper = self.foreign.entry("ready");
        let changed = [
            ("state", "retired".into()),
            ("slots", "many".into()),
            ("zone", Value::Null),
            ("born", "yesterday".into()),
        ];
        for (field, value) in changed {
            let mut entry = proper.clone();
            entry[field] = value;
            self.store.put(&format!("servers/foreign-{field}"), &entry);
        }
        self.store.put_bytes("servers/no name", proper.to_string().as_bytes());
        self.store.put_bytes(&self.servers[server].server.key(), b"\xff\x00");
    }

    /// Starts the routers, each with its own loopback address and its own link to the store.
    pub(super) fn start_routers(&mut self, count: usize) -> Result<(), TestbedError> {
        let peers_port = UdpSocket::bind("127.0.0.1:0")?.local_addr()?.port();
        for index in 0..count {
            let store_link = LinkControl::start(self.store.address)?;
            let mut settings = tempfile::NamedTempFile::new()?;
            let store = store_link.listen()?;
            let file = FrontSettings { index, count, peers_port, store, further: bounds() };
            settings.write_all(file.text().as_bytes())?;
            self.routers.push(SoakRouter { process: None, store_link, settings });
            self.start_router(index)?;
        }
        Ok(())
    }

    /// Starts a router's process.
    pub(super) fn start_router(&mut self, index: usize) -> Result<(), TestbedError> {
        let router = &mut self.routers[index];
        let file = router.settings.path().to_string_lossy().into_owned();
        let process = ProcessHandle::start(ROUTER, &[file])?;
        self.caller_state.set_router(index, Some(process.listen()?));
        router.process = Some(process);
        Ok(())
    }
}

/// Returns the settings section with the bounds that the checks use.
fn bounds() -> String {
    format!(
        "[bounds]\ngrace = 4s\nrevoke_within = {}ms\napply_within = {}ms\ndrain_within = {}ms\n\
         retry_ratio = {RETRY_RATIO}\nretry_slack = {RETRY_SLACK}\nretry_window = {}s\n",
        REVOKE_WITHIN.as_millis(),
        APPLY_WITHIN.as_millis(),
        DRAIN_WITHIN.as_millis(),
        RETRY_WINDOW.as_secs()
    )
}
