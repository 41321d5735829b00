//! Measures the cost of idle connections.

use std::error::Error;
use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use papayamux_testbed::{Caller, Fleet, FleetPlan, ProcessHandle};
use tempfile::TempDir;

use super::agent_standin::start_agent_standin;
use super::meter::{meter_for, MeteredRole};
use super::router_standin::open_router_standin;
use super::slope::{CostPoint, CostSeries};

/// The numbers of routers connected to an agent.
const ROUTERS: [usize; 4] = [0, 105, 210, 420];
/// The numbers of agents connected to a router.
const AGENTS: [usize; 4] = [0, 150, 300, 600];
/// Wait for connections to settle.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// The metering period of each count.
const METER_DURATION: Duration = Duration::from_secs(4);

/// Measures an agent with connections from many routers.
pub async fn measure_agent_links() -> Result<Vec<CostSeries>, Box<dyn Error>> {
    let fleet = Fleet::start(FleetPlan::builder().routers(0).engines(0).services(1).build())?;
    let agent = &fleet.servers[0].agent;
    let (mut standins, mut points) = (Vec::new(), Vec::new());
    for count in ROUTERS {
        while standins.len() < count {
            standins.push(open_router_standin(agent.listen()?).await?);
        }
        monoio::time::sleep(SETTLE_TIME).await;
        let cost = meter_for(MeteredRole::Agent, agent, METER_DURATION).await?;
        points.push(CostPoint { count: count as f64, cost });
    }
    Ok(vec![CostSeries { role: MeteredRole::Agent.name(), points }])
}

/// Measures a router with connections to many agents, each of which has refused one call.
pub async fn measure_router_links() -> Result<Vec<CostSeries>, Box<dyn Error>> {
    let max_agents = AGENTS.iter().copied().max().unwrap_or_default();
    let folder = TempDir::new()?;
    let router = start_router(&folder, max_agents)?;
    let caller = Caller::new(router.listen()?, "measure");
    let (mut open, mut points) = (0, Vec::new());
    for count in AGENTS {
        while open < count {
            let path = path_of(open);
            caller.call(Method::GET, &path, &[], Bytes::new()).await?;
            open += 1;
        }
        monoio::time::sleep(SETTLE_TIME).await;
        let cost = meter_for(MeteredRole::Router, &router, METER_DURATION).await?;
        points.push(CostPoint { count: count as f64, cost });
    }
    Ok(vec![CostSeries { role: MeteredRole::Router.name(), points }])
}

fn path_of(agent: usize) -> String {
    format!("/agent-{agent}")
}

/// Starts a router with `agents` declared servers, each with its own path.
fn start_router(folder: &TempDir, agents: usize) -> Result<ProcessHandle, Box<dyn Error>> {
    let mut text = "[router]\nlisten = 127.0.0.1:0\noperations = 127.0.0.1:0\n\
                    failure_domain = a\n"
        .to_string();
    for agent in 0..agents {
        let server = format!("full-{agent}");
        let address = start_agent_standin(&server.parse()?)?;
        let path = path_of(agent);
        write!(text, "[server {server}]\nagent = {address}\npaths = {path}\n")?;
    }
    let file = folder.path().join("router.ini");
    std::fs::write(&file, text)?;
    let arguments = ["--settings".to_string(), file.to_string_lossy().into_owned()];
    Ok(ProcessHandle::start("papayamux-router", &arguments)?)
}
