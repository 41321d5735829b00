//! Measures the cost of requests and probes at fixed rates.

use std::error::Error;
use std::fmt::Write;
use std::time::Duration;

use futures_util::future::join;
use monoio::time::MissedTickBehavior;
use papayamux_protocol::chat::ChatMessage;
use papayamux_protocol::link::{LoadProbe, RouterMessage};
use papayamux_state::load::{GroupId, GroupLoad};
use papayamux_testbed::{
    chat_request, Caller, Fleet, FleetPlan, ProcessHandle, TestbedError, FLEET_MODEL,
};

use super::meter::{meter_for, MeteredRole};
use super::router_standin::{open_router_standin, RouterStandin};
use super::slope::{CostPoint, CostReading, CostSeries};

/// Chats per second through the router.
const CHAT_RATES: [u32; 4] = [0, 50, 100, 200];
/// Probes per second at the agent.
const PROBE_RATES: [u32; 4] = [0, 100, 200, 400];
/// The metering period of each rate.
const METER_DURATION: Duration = Duration::from_secs(4);
/// The time at each rate before metering begins.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// The number of engines behind the router.
const ENGINES: usize = 2;
/// The numbers of declared servers of other models.
const DECLARED_SERVERS: [usize; 3] = [0, 300, 600];
/// The number of different models of those servers.
const OTHER_MODELS: usize = 26;
/// Chats per second while the number of declared servers varies.
const DECLARED_RATE: u32 = 50;
/// The number of prompt checkpoints in a probe.
const CHECKPOINTS: u32 = 6;

/// Calls `act` `per_second` times a second for the metering period with a margin before and
/// after it, then waits for the last requests to complete.
async fn at_rate(per_second: u32, mut act: impl FnMut(u32)) {
    if per_second == 0 {
        return;
    }
    let mut ticks = monoio::time::interval(Duration::from_secs(1) / per_second);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let all = (METER_DURATION + 2 * SETTLE_TIME).as_secs() as u32 * per_second;
    for number in 0..all {
        ticks.tick().await;
        act(number);
    }
    monoio::time::sleep(SETTLE_TIME).await;
}

async fn meter_settled(
    role: MeteredRole,
    process: &ProcessHandle,
) -> Result<CostReading, Box<dyn Error>> {
    monoio::time::sleep(SETTLE_TIME).await;
    meter_for(role, process, METER_DURATION).await
}

/// Measures probes at one agent, as routers send them for a placement decision.
pub async fn measure_probes() -> Result<Vec<CostSeries>, Box<dyn Error>> {
    let fleet = Fleet::start(FleetPlan::builder().routers(0).engines(1).services(0).build())?;
    let agent = &fleet.servers[0].agent;
    let router = open_router_standin(agent.listen()?).await?;
    let mut points = Vec::new();
    for rate in PROBE_RATES {
        let probes = at_rate(rate, |number| send_probe(&router, number));
        let (cost, ()) = join(meter_settled(MeteredRole::Agent, agent), probes).await;
        points.push(CostPoint { count: f64::from(rate), cost: cost? });
    }
    Ok(vec![CostSeries { role: MeteredRole::Agent.name(), points }])
}

fn send_probe(router: &RouterStandin, number: u32) {
    let group = GroupId::named(FLEET_MODEL);
    let group_load = GroupLoad { group, mean: 1.0, samples: 1.0, servers: 1 };
    let hash = number.wrapping_mul(0x9e37_79b9);
    let probe = LoadProbe {
        checkpoints: (0..CHECKPOINTS).map(|index| hash.wrapping_add(index)).collect(),
        chat: u64::from(hash),
        group_load: Some(group_load),
    };
    router.send(u64::from(number) + 1, RouterMessage::Probe(probe));
}

fn start_fleet(router_lines: String) -> Result<Fleet, TestbedError> {
    let engine = ["--step-us", "1000", "--batch", "4096", "--prefill", "1000000"];
    let plan = FleetPlan::builder().routers(1).engines(ENGINES).services(0);
    let plan = plan.engine_arguments(engine.map(str::to_string).into());
    let plan = plan.agent_server_lines("capacity = 4096".to_string());
    Fleet::start(plan.router_lines(router_lines).build())
}

/// Measures a fixed rate of chats through routers with increasing numbers of declared servers of
/// other models.
pub async fn measure_declared_servers() -> Result<Vec<CostSeries>, Box<dyn Error>> {
    let mut points = Vec::new();
    for count in DECLARED_SERVERS {
        let mut lines = String::new();
        for server in 0..count {
            let model = server % OTHER_MODELS;
            write!(lines, "\n[server other-{server}]\nagent = 127.0.0.1:9\nmodels = m{model}")?;
        }
        let fleet = start_fleet(lines)?;
        let router = &fleet.routers[0];
        let caller = Caller::new(router.listen()?, "measure");
        let chats = at_rate(DECLARED_RATE, |number| start_chat(&caller, DECLARED_RATE, number));
        let (cost, ()) = join(meter_settled(MeteredRole::Router, router), chats).await;
        points.push(CostPoint { count: count as f64, cost: cost? });
    }
    Ok(vec![CostSeries { role: MeteredRole::Router.name(), points }])
}

/// Measures new chats with one short turn each through one router under `policy`.
pub async fn measure_chat_rates(
    policy: &str,
    roles: [&'static str; 2],
) -> Result<Vec<CostSeries>, Box<dyn Error>> {
    let fleet = start_fleet(format!("policy = {policy}"))?;
    let (router, agent) = (&fleet.routers[0], &fleet.servers[0].agent);
    let caller = Caller::new(router.listen()?, "measure");
    let (mut router_points, mut agent_points) = (Vec::new(), Vec::new());
    for rate in CHAT_RATES {
        let chats = at_rate(rate, |number| start_chat(&caller, rate, number));
        let router_cost = meter_settled(MeteredRole::Router, router);
        let agent_cost = meter_settled(MeteredRole::Agent, agent);
        let ((router_cost, agent_cost), ()) = join(join(router_cost, agent_cost), chats).await;
        let count = f64::from(rate);
        router_points.push(CostPoint { count, cost: router_cost? });
        let at_one = count / ENGINES as f64;
        agent_points.push(CostPoint { count: at_one, cost: agent_cost? });
    }
    let [router_role, agent_role] = roles;
    Ok(vec![
        CostSeries { role: router_role, points: router_points },
        CostSeries { role: agent_role, points: agent_points },
    ])
}

fn start_chat(caller: &Caller, rate: u32, number: u32) {
    let content = format!("question number {number} at {rate} a second");
    let message = ChatMessage { role: "user".to_string(), content };
    let (caller, request) = (caller.clone(), chat_request(FLEET_MODEL, vec![message], 2));
    monoio::spawn(async move {
        if let Err(error) = caller.chat(&request).await {
            eprintln!("chat {number} at {rate} a second: {error}");
        }
    });
}
