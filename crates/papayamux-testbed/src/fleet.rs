//! A fleet on loopback: stand-in servers, one agent for each of them, and routers.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bon::Builder;
use tempfile::TempDir;

use crate::link_control::LinkControl;
use crate::process::{ProcessHandle, TestbedError};
use crate::process_view::AgentStatus;
use crate::running_server::RunningServer;
use crate::waiting::wait_until;

/// The composition and settings of a [`Fleet`].
#[derive(Debug, Clone, Builder)]
pub struct FleetPlan {
    /// The number of routers.
    #[builder(default = 2)]
    pub routers: usize,
    /// The number of model engines.
    #[builder(default = 3)]
    pub engines: usize,
    /// The number of plain services.
    #[builder(default = 1)]
    pub services: usize,
    /// Whether to put a fault proxy between each router and each agent, and between each agent
    /// and its server.
    #[builder(default)]
    pub faulty_links: bool,
    /// The servers that each router knows, as indexes into [`Fleet::servers`]. A router without an
    /// entry knows all servers.
    #[builder(default)]
    pub known_servers: Vec<Vec<usize>>,
    /// Additional arguments for each engine stand-in.
    #[builder(default)]
    pub engine_arguments: Vec<String>,
    /// Additional arguments for each service stand-in.
    #[builder(default)]
    pub service_arguments: Vec<String>,
    /// Additional lines for the `[agent]` section of each agent.
    #[builder(default)]
    pub agent_lines: String,
    /// Additional lines for the `[server]` section of each agent.
    #[builder(default)]
    pub agent_server_lines: String,
    /// The duration for which witnesses remember a key, as written in the settings.
    #[builder(default = "15m".to_string())]
    pub claim_retention: String,
    /// The time from the fleet's start until witnesses grant claims on idempotency keys. An agent
    /// that takes longer to start grants none until it has run for the retention.
    #[builder(default = Duration::from_secs(3))]
    pub claims_open_in: Duration,
    /// Additional lines for the `[router]` section of each router.
    #[builder(default)]
    pub router_lines: String,
}

impl FleetPlan {
    /// Returns the names of all servers: first the engines, then the plain services.
    fn server_names(&self) -> Vec<String> {
        let engines = (0..self.engines).map(|index| format!("engine-{index}"));
        let services = (0..self.services).map(|index| format!("service-{index}"));
        engines.chain(services).collect()
    }
}

/// Returns a Unix time in whole seconds that is at least `later` from now.
fn seconds_since_epoch(later: Duration) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (now + later).as_secs() + 1
}

/// The model that all engines of a fleet have loaded.
pub const FLEET_MODEL: &str = "itinerary";
/// The path that is routed to the plain services of a fleet.
pub const FLEET_PATH: &str = "/tickets";

/// A running fleet. Dropping it stops all of its processes.
#[derive(Debug)]
pub struct Fleet {
    /// The running routers.
    pub routers: Vec<ProcessHandle>,
    /// The running backend servers: first the engines, then the plain services.
    pub servers: Vec<RunningServer>,
    links: BTreeMap<(usize, usize), LinkControl>,
    folder: TempDir,
    plan: FleetPlan,
    claims_open_at: u64,
}

/// Additional time to wait for the witnesses after [`FleetPlan::claims_open_in`].
const CLAIMS_OPEN_TIMEOUT: Duration = Duration::from_secs(2);

const ANY_PORT: &str = "127.0.0.1:0";

impl Fleet {
    /// Starts all processes of a fleet and waits until each has logged its start.
    pub fn start(plan: FleetPlan) -> Result<Self, TestbedError> {
        let folder = TempDir::new()?;
        let (routers, servers, links) = (Vec::new(), Vec::new(), BTreeMap::new());
        let claims_open_at = seconds_since_epoch(plan.claims_open_in);
        let mut fleet = Self { routers, servers, links, folder, plan, claims_open_at };
        for (index, name) in fleet.plan.server_names().iter().enumerate() {
            fleet.start_server(name, index < fleet.plan.engines)?;
        }
        for _ in 0..fleet.plan.routers {
            fleet.start_router()?;
        }
        Ok(fleet)
    }

    /// Returns the link between a router and a server's agent, by their indexes in the fleet.
    pub fn link(&self, router: usize, server: usize) -> Result<&LinkControl, TestbedError> {
        let name = || format!("faulty link between router {router} and server {server}");
        self.links.get(&(router, server)).ok_or_else(|| TestbedError::NoPart(name()))
    }

    fn start_server(&mut self, name: &str, is_engine: bool) -> Result<(), TestbedError> {
        let standin = start_standin(&self.plan, name, is_engine, ANY_PORT)?;
        let link = self.start_link(standin.listen()?)?;
        let address = link.as_ref().map_or_else(|| standin.listen(), LinkControl::listen)?;
        let agent = self.start_agent(name, address)?;
        let name = name.to_string();
        self.servers.push(RunningServer { name, standin, agent, link, is_engine });
        Ok(())
    }

    fn start_link(&self, target: SocketAddr) -> Result<Option<LinkControl>, TestbedError> {
        self.plan.faulty_links.then(|| LinkControl::start(target)).transpose()
    }

    /// Waits until all agents, as witnesses, are ready to grant claims.
    pub async fn wait_claims_open(&self) -> Result<(), TestbedError> {
        let within = self.plan.claims_open_in + CLAIMS_OPEN_TIMEOUT;
        for server in &self.servers {
            let read = async || server.agent.status::<AgentStatus>().await;
            wait_until(within, read, |status| status.witness_ready_in_ms == 0).await?;
        }
        Ok(())
    }

    /// Starts an agent for the server `name` at `address`.
    pub fn start_agent(
        &self,
        name: &str,
        address: SocketAddr,
    ) -> Result<ProcessHandle, TestbedError> {
        self.start_agent_at(ANY_PORT, name, address)
    }

    fn start_agent_at(
        &self,
        listen: &str,
        name: &str,
        address: SocketAddr,
    ) -> Result<ProcessHandle, TestbedError> {
        let settings = format!(
            "[agent]\nlisten = {listen}\noperations = {ANY_PORT}\nfailure_domain = a\n\
             {}\n[server]\nname = {name}\naddress = {address}\n{}\n\
             [claims]\nretention = {}\nopens_at = {}\nfleet = {}\n",
            self.plan.agent_lines,
            self.plan.agent_server_lines,
            self.plan.claim_retention,
            self.claims_open_at,
            self.plan.server_names().join(", ")
        );
        let file = write_settings(self.folder.path(), name, &settings)?;
        ProcessHandle::start("papayamux-agent", &["--settings".to_string(), file])
    }

    /// Kills a server's agent and starts a new one, without its state, at the same address.
    pub fn restart_agent(&mut self, server: usize) -> Result<(), TestbedError> {
        let no_server = || TestbedError::NoPart(format!("server {server}"));
        let running = self.servers.get_mut(server).ok_or_else(no_server)?;
        running.agent.kill()?;
        self.replace_agent(server)
    }

    /// Starts a new agent at the address of one that has exited.
    pub fn replace_agent(&mut self, server: usize) -> Result<(), TestbedError> {
        let no_server = || TestbedError::NoPart(format!("server {server}"));
        let running = self.servers.get(server).ok_or_else(no_server)?;
        let listen = running.agent.listen()?.to_string();
        let agent = self.start_agent_at(&listen, &running.name, running.server_address()?)?;
        self.servers[server].agent = agent;
        Ok(())
    }

    /// Kills a server and its agent, and starts new ones, without their state, at the same
    /// addresses.
    pub fn replace_server(&mut self, server: usize) -> Result<(), TestbedError> {
        let no_server = || TestbedError::NoPart(format!("server {server}"));
        let running = self.servers.get_mut(server).ok_or_else(no_server)?;
        running.agent.kill()?;
        running.standin.kill()?;
        let listen = running.standin.listen()?.to_string();
        let (name, is_engine) = (running.name.clone(), running.is_engine);
        running.standin = start_standin(&self.plan, &name, is_engine, &listen)?;
        self.replace_agent(server)
    }

    /// Starts another router in front of the servers that it knows according to the plan.
    pub fn start_router(&mut self) -> Result<&ProcessHandle, TestbedError> {
        let index = self.routers.len();
        for server in 0..self.servers.len() {
            let agent = self.servers[server].agent.listen()?;
            if let Some(link) = self.start_link(agent)? {
                self.links.insert((index, server), link);
            }
        }
        let router = self.start_router_at(index, ANY_PORT)?;
        self.routers.push(router);
        Ok(&self.routers[index])
    }

    /// Starts a new router at the address of one that has exited.
    pub fn replace_router(&mut self, index: usize) -> Result<(), TestbedError> {
        let no_router = || TestbedError::NoPart(format!("router {index}"));
        let listen = self.routers.get(index).ok_or_else(no_router)?.listen()?;
        self.routers[index] = self.start_router_at(index, &listen.to_string())?;
        Ok(())
    }

    fn start_router_at(&self, index: usize, listen: &str) -> Result<ProcessHandle, TestbedError> {
        let known = self.plan.known_servers.get(index);
        let mut agents = Vec::new();
        for (place, server) in self.servers.iter().enumerate() {
            let link = self.links.get(&(index, place));
            let address = link.map_or_else(|| server.agent.listen(), LinkControl::listen)?;
            let is_known = known.is_none_or(|known| known.contains(&place));
            agents.push(RouterServer { server, address, is_known });
        }
        let settings = router_settings(&self.plan, listen, &agents);
        let file = write_settings(self.folder.path(), &format!("router-{index}"), &settings)?;
        ProcessHandle::start("papayamux-router", &["--settings".to_string(), file])
    }
}

/// A server in the settings of one router: always listed as a witness, and as a server only if the
/// router knows it.
struct RouterServer<'a> {
    server: &'a RunningServer,
    address: SocketAddr,
    is_known: bool,
}

/// Returns the settings of a router in front of `agents`, each at the address that the router
/// connects to.
fn router_settings(plan: &FleetPlan, listen: &str, agents: &[RouterServer<'_>]) -> String {
    let mut text = format!(
        "[router]\nlisten = {listen}\noperations = {ANY_PORT}\nfailure_domain = a\n\
         balancer_delay = 100ms\n{}\n[claims]\nretention = {}\n",
        plan.router_lines, plan.claim_retention
    );
    for RouterServer { server, address, is_known } in agents {
        let _ = write!(text, "[witness {}]\nagent = {address}\n", server.name);
        if !is_known {
            continue;
        }
        let target = match server.is_engine {
            true => format!("models = {FLEET_MODEL}"),
            false => format!("paths = {FLEET_PATH}"),
        };
        let _ = write!(text, "[server {}]\nagent = {address}\n{target}\n", server.name);
    }
    text
}

fn start_standin(
    plan: &FleetPlan,
    name: &str,
    is_engine: bool,
    listen: &str,
) -> Result<ProcessHandle, TestbedError> {
    let (kind, further) = match is_engine {
        true => ("engine", &plan.engine_arguments),
        false => ("service", &plan.service_arguments),
    };
    let mut arguments: Vec<String> =
        [kind, "--name", name, "--listen", listen].map(str::to_string).into();
    if is_engine {
        arguments.extend(["--models", FLEET_MODEL].map(str::to_string));
    }
    arguments.extend(further.iter().cloned());
    ProcessHandle::start("papayamux-standins", &arguments)
}

fn write_settings(folder: &Path, name: &str, text: &str) -> Result<String, TestbedError> {
    let file = folder.join(format!("{name}.ini"));
    std::fs::write(&file, text)?;
    Ok(file.to_string_lossy().into_owned())
}
