//! A fleet on loopback: stand-ins, an agent beside each, and routers before them.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

use bon::Builder;
use tempfile::TempDir;

use crate::process::{ProcessHandle, TestbedError};

/// What a fleet consists of.
#[derive(Debug, Clone, Builder)]
pub struct FleetPlan {
    /// Routers.
    #[builder(default = 2)]
    pub routers: usize,
    /// Model engines.
    #[builder(default = 3)]
    pub engines: usize,
    /// Plain services.
    #[builder(default = 1)]
    pub services: usize,
    /// Further arguments for each engine stand-in.
    #[builder(default)]
    pub engine_arguments: Vec<String>,
    /// Further arguments for each service stand-in.
    #[builder(default)]
    pub service_arguments: Vec<String>,
    /// Further lines for the `[server]` section of each agent.
    #[builder(default)]
    pub agent_server_lines: String,
    /// Further lines for the `[router]` section of each router.
    #[builder(default)]
    pub router_lines: String,
    /// For each router in order, the numbers of the servers that its list lacks.
    #[builder(default)]
    pub hidden_servers: Vec<Vec<usize>>,
}

/// The model that a fleet's engines have loaded.
pub const FLEET_MODEL: &str = "itinerary";
/// The path that leads to a fleet's plain services.
pub const FLEET_PATH: &str = "/tickets";

/// A backend server with its agent.
#[derive(Debug)]
pub struct RunningServer {
    /// The server's name.
    pub name: String,
    /// The stand-in.
    pub standin: ProcessHandle,
    /// The agent.
    pub agent: ProcessHandle,
    is_engine: bool,
}

/// A running fleet; dropping it stops all of it.
#[derive(Debug)]
pub struct Fleet {
    /// The routers.
    pub routers: Vec<ProcessHandle>,
    /// The backend servers.
    pub servers: Vec<RunningServer>,
    folder: TempDir,
    plan: FleetPlan,
}

impl Fleet {
    /// Starts a fleet and waits until all of it has started.
    pub fn start(plan: FleetPlan) -> Result<Self, TestbedError> {
        let folder = TempDir::new()?;
        let mut fleet = Self { routers: Vec::new(), servers: Vec::new(), folder, plan };
        for index in 0..fleet.plan.engines {
            fleet.start_server(&format!("engine-{index}"), true)?;
        }
        for index in 0..fleet.plan.services {
            fleet.start_server(&format!("service-{index}"), false)?;
        }
        for _ in 0..fleet.plan.routers {
            fleet.start_router()?;
        }
        Ok(fleet)
    }

    fn start_server(&mut self, name: &str, is_engine: bool) -> Result<(), TestbedError> {
        let standin = start_standin(&self.plan, name, is_engine, any_port())?;
        let agent = self.start_agent(name, standin.listen()?)?;
        self.servers.push(RunningServer { name: name.to_string(), standin, agent, is_engine });
        Ok(())
    }

    /// Kills server number `index` and its agent, and starts an empty one in its place.
    pub fn replace_server(&mut self, index: usize) -> Result<(), TestbedError> {
        let server = &mut self.servers[index];
        let (standin, agent) = (server.standin.listen()?, server.agent.listen()?);
        server.agent.kill();
        server.standin.kill();
        let (name, is_engine) = (server.name.clone(), server.is_engine);
        let standin = start_standin(&self.plan, &name, is_engine, standin)?;
        let agent = self.start_agent_at(&name, standin.listen()?, agent)?;
        self.servers[index] = RunningServer { name, standin, agent, is_engine };
        Ok(())
    }

    /// Starts an agent for the server called `name` at `address`.
    pub fn start_agent(
        &self,
        name: &str,
        address: SocketAddr,
    ) -> Result<ProcessHandle, TestbedError> {
        self.start_agent_at(name, address, any_port())
    }

    fn start_agent_at(
        &self,
        name: &str,
        address: SocketAddr,
        listen: SocketAddr,
    ) -> Result<ProcessHandle, TestbedError> {
        let settings = format!(
            "[agent]\nlisten = {listen}\noperations = 127.0.0.1:0\nfailure_domain = a\n\
             [server]\nname = {name}\naddress = {address}\n{}\n",
            self.plan.agent_server_lines
        );
        let file = write_settings(self.folder.path(), name, &settings)?;
        ProcessHandle::start("papayamux-agent", &["--settings".to_string(), file])
    }

    /// Starts one more router before the servers as they are now.
    pub fn start_router(&mut self) -> Result<&ProcessHandle, TestbedError> {
        let mut agents = Vec::new();
        let hidden = self.plan.hidden_servers.get(self.routers.len());
        for (index, server) in self.servers.iter().enumerate() {
            if !hidden.is_some_and(|hidden| hidden.contains(&index)) {
                agents.push((server, server.agent.listen()?));
            }
        }
        let settings = router_settings(&self.plan, &agents);
        let name = format!("router-{}", self.routers.len());
        let file = write_settings(self.folder.path(), &name, &settings)?;
        let router = ProcessHandle::start("papayamux-router", &["--settings".to_string(), file])?;
        self.routers.push(router);
        Ok(&self.routers[self.routers.len() - 1])
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The settings of a router before `agents`, each at the address that the router is to use.
fn router_settings(plan: &FleetPlan, agents: &[(&RunningServer, SocketAddr)]) -> String {
    let mut text = format!(
        "[router]\nlisten = 127.0.0.1:0\noperations = 127.0.0.1:0\nfailure_domain = a\n\
         balancer_delay = 100ms\n{}\n",
        plan.router_lines
    );
    for (server, address) in agents {
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
    listen: SocketAddr,
) -> Result<ProcessHandle, TestbedError> {
    let (kind, further) = match is_engine {
        true => ("engine", &plan.engine_arguments),
        false => ("service", &plan.service_arguments),
    };
    let listen = listen.to_string();
    let mut arguments: Vec<String> =
        [kind, "--name", name, "--listen", &listen].map(str::to_string).into();
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
