//! Measures the memory that an agent uses for chats served elsewhere.

use std::error::Error;
use std::time::Duration;

use papayamux_protocol::link::{MovedChat, RouterMessage};
use papayamux_testbed::{Fleet, FleetPlan};

use super::meter::MeteredRole;
use super::router_standin::open_router_standin;
use super::slope::{CostPoint, CostReading, CostSeries};

/// The numbers of chats announced to the agent. The last one is the most that it remembers.
const CHATS: [u64; 3] = [0, 8_000, 16_000];
/// Wait for the agent to process the announcements.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Measures an agent that receives announcements of increasing numbers of moved chats.
pub async fn measure_moved_chats() -> Result<Vec<CostSeries>, Box<dyn Error>> {
    let fleet = Fleet::start(FleetPlan::builder().routers(0).engines(1).services(0).build())?;
    let agent = &fleet.servers[0].agent;
    let router = open_router_standin(agent.listen()?).await?;
    let (mut announced, mut points) = (0_u64, Vec::new());
    for count in CHATS {
        while announced < count {
            let chat = announced.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let moved = MovedChat { chat, server: "engine-17".parse()? };
            router.send(0, RouterMessage::Moved(moved));
            announced += 1;
        }
        monoio::time::sleep(SETTLE_TIME).await;
        let cost = CostReading::of_memory(agent.usage()?);
        points.push(CostPoint { count: count as f64, cost });
    }
    Ok(vec![CostSeries { role: MeteredRole::Agent.name(), points }])
}
