//! A fleet for tests of engine orders: engines with their agents and a weight store, without
//! routers.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bon::Builder;
use bytes::Bytes;
use http::Method;
use papayamux_protocol::engine::{EngineOrder, EngineState, ORDERS_PATH, STATE_PATH};
use papayamux_standins::weight_store::{StoreCounters, STORE_COUNTERS_PATH};
use tempfile::TempDir;

use crate::http_reader::read_json;
use crate::process::{ProcessHandle, TestbedError};
use crate::waiting::wait_until;

const ANY_PORT: &str = "127.0.0.1:0";

/// The composition of an [`OrderFleet`].
#[derive(Debug, Clone, Builder)]
pub struct OrderPlan {
    /// The number of engines.
    pub engines: usize,
    /// Models that the engines have loaded at the start, separated by commas.
    #[builder(default)]
    pub loaded: String,
    /// Additional arguments for each engine stand-in.
    #[builder(default)]
    pub engine_arguments: Vec<String>,
    /// Maximum loads per second that the weight store serves. `None` starts no store.
    pub store_rate: Option<u64>,
}

/// Running engines and the addresses reserved for their agents. Dropping it stops the engines and
/// the store.
#[derive(Debug)]
pub struct OrderFleet {
    /// The weight store, if the plan has one.
    pub store: Option<ProcessHandle>,
    /// The running engines.
    pub engines: Vec<ProcessHandle>,
    /// The address at which the agent of each engine is to listen.
    pub addresses: Vec<SocketAddr>,
    plan: OrderPlan,
    folder: TempDir,
}

impl OrderFleet {
    /// Starts the store and the engines, but no agents.
    pub fn start(plan: OrderPlan) -> Result<Self, TestbedError> {
        let store = plan.store_rate.map(start_store).transpose()?;
        let addresses = (0..plan.engines).map(|_| reserve_address());
        let addresses = addresses.collect::<std::io::Result<Vec<_>>>()?;
        let (folder, engines) = (TempDir::new()?, Vec::new());
        let mut fleet = Self { store, engines, addresses, plan, folder };
        for index in 0..fleet.plan.engines {
            let engine = fleet.start_engine(index, ANY_PORT, &fleet.plan.loaded)?;
            fleet.engines.push(engine);
        }
        Ok(fleet)
    }

    fn start_engine(
        &self,
        index: usize,
        listen: &str,
        loaded: &str,
    ) -> Result<ProcessHandle, TestbedError> {
        let name = server_name(index);
        let arguments = ["engine", "--name", &name, "--listen", listen, "--models", loaded];
        let mut arguments: Vec<String> = arguments.map(str::to_string).into();
        if let Some(store) = &self.store {
            arguments.extend(["--weight-store".to_string(), store.listen()?.to_string()]);
        }
        arguments.extend(self.plan.engine_arguments.iter().cloned());
        ProcessHandle::start("papayamux-standins", &arguments)
    }

    /// Kills an engine and starts one without loaded models at the same address.
    pub fn replace_engine(&mut self, index: usize) -> Result<(), TestbedError> {
        self.engines[index].kill()?;
        let listen = self.engines[index].listen()?.to_string();
        self.engines[index] = self.start_engine(index, &listen, "")?;
        Ok(())
    }

    /// Reserves new addresses for agents that are started later, so that they can run beside the
    /// present ones.
    pub fn renew_addresses(&mut self) -> Result<(), TestbedError> {
        for address in &mut self.addresses {
            *address = reserve_address()?;
        }
        Ok(())
    }

    /// Starts an agent for an engine. `orders` are the lines of its `[orders]` section, and
    /// `peer_models` the models that each engine is declared to serve, by engine index; the agent's
    /// own entry is ignored.
    pub fn start_agent(
        &self,
        index: usize,
        orders: &str,
        peer_models: &[&str],
    ) -> Result<ProcessHandle, TestbedError> {
        let (name, listen) = (server_name(index), self.addresses[index]);
        let engine = self.engines[index].listen()?;
        let mut settings = format!(
            "[agent]\nlisten = {listen}\noperations = {ANY_PORT}\nfailure_domain = a\n\
             [server]\nname = {name}\naddress = {engine}\n[orders]\n{orders}\n"
        );
        for (peer, models) in peer_models.iter().enumerate().filter(|(peer, _)| *peer != index) {
            let (peer, address) = (server_name(peer), self.addresses[peer]);
            settings.push_str(&format!("[peer {peer}]\nagent = {address}\nmodels = {models}\n"));
        }
        let file = self.folder.path().join(format!("{name}.ini"));
        std::fs::write(&file, settings)?;
        let arguments = ["--settings".to_string(), file.to_string_lossy().into_owned()];
        ProcessHandle::start("papayamux-agent", &arguments)
    }

    /// Sends an order directly to an engine, like an order that was delayed in the network.
    pub async fn send_order(&self, index: usize, order: &EngineOrder) -> Result<(), TestbedError> {
        let body = Bytes::from(serde_json::to_vec(order)?);
        let address = self.engines[index].listen()?;
        let _: EngineState = read_json(address, Method::POST, ORDERS_PATH, body).await?;
        Ok(())
    }

    /// Reads the state that an engine reports.
    pub async fn engine_state(&self, index: usize) -> Result<EngineState, TestbedError> {
        read_json(self.engines[index].listen()?, Method::GET, STATE_PATH, Bytes::new()).await
    }

    /// Waits until `is_wanted` accepts an engine's state, and returns it.
    pub async fn wait_state(
        &self,
        index: usize,
        within: Duration,
        is_wanted: impl Fn(&EngineState) -> bool,
    ) -> Result<EngineState, TestbedError> {
        wait_until(within, async || self.engine_state(index).await, is_wanted).await
    }

    /// Waits until [`has_models`] is true of an engine's state, and returns the state.
    pub async fn wait_models(
        &self,
        index: usize,
        models: &[&str],
        within: Duration,
    ) -> Result<EngineState, TestbedError> {
        self.wait_state(index, within, |state| has_models(state, models)).await
    }

    /// Reads the counters of the weight store.
    pub async fn store_counters(&self) -> Result<StoreCounters, TestbedError> {
        let no_store = || TestbedError::NoPart("weight store".to_string());
        let address = self.store.as_ref().ok_or_else(no_store)?.listen()?;
        read_json(address, Method::GET, STORE_COUNTERS_PATH, Bytes::new()).await
    }
}

/// Returns whether an engine has loaded exactly these models, given as `NAME@VERSION` in the order
/// of the state, and is loading none.
pub fn has_models(state: &EngineState, models: &[&str]) -> bool {
    let loaded = state.models.iter().map(|model| format!("{}@{}", model.name, model.version));
    state.loading.is_empty() && loaded.eq(models.iter().copied())
}

/// Returns the name of the engine at an index of the fleet.
fn server_name(index: usize) -> String {
    format!("engine-{index}")
}

fn start_store(rate: u64) -> Result<ProcessHandle, TestbedError> {
    let rate = rate.to_string();
    let arguments = ["weight-store", "--listen", ANY_PORT, "--loads-per-s", &rate];
    let mut arguments: Vec<String> = arguments.map(str::to_string).into();
    arguments.extend(["--weight-bytes", "1024"].map(str::to_string));
    ProcessHandle::start("papayamux-standins", &arguments)
}

/// Returns an address that can be configured for an agent before it starts. The port is free, and
/// its loopback address is used by this process only, so that nothing else takes the port in the
/// meantime.
fn reserve_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    let ip = Ipv4Addr::new(127, 64 | high ^ middle >> 1, low, last.max(1));
    TcpListener::bind((ip, 0))?.local_addr()
}
