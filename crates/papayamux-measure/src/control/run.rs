//! Measures the parts, each several times on new processes.

use std::error::Error;

use papayamux_transport::runtime;

use super::chats::measure_moved_chats;
use super::links::{measure_agent_links, measure_router_links};
use super::options::{ControlOptions, ControlPart};
use super::requests::{measure_chat_rates, measure_declared_servers, measure_probes};
use super::slope::{CostSeries, SlopeReport};

type SeriesResult = Result<Vec<CostSeries>, Box<dyn Error>>;

/// Measures the parts and prints one JSON line per part and role.
pub fn measure_control(options: &ControlOptions) -> Result<(), Box<dyn Error>> {
    for part in &options.parts {
        let mut repetitions = Vec::new();
        for _ in 0..options.repetitions {
            repetitions.push(runtime::run(measure_part(*part))??);
        }
        for report in reports(*part, &repetitions) {
            println!("{}", serde_json::to_string(&report)?);
        }
    }
    Ok(())
}

async fn measure_part(part: ControlPart) -> SeriesResult {
    match part {
        ControlPart::AgentLinks => measure_agent_links().await,
        ControlPart::RouterLinks => measure_router_links().await,
        ControlPart::Probes => measure_probes().await,
        ControlPart::Requests => measure_requests().await,
        ControlPart::DeclaredServers => measure_declared_servers().await,
        ControlPart::MovedChats => measure_moved_chats().await,
    }
}

/// Measures the product's policy and a random choice. The difference is the cost of the placement
/// decision.
async fn measure_requests() -> SeriesResult {
    let mut series = measure_chat_rates("papayamux", ["router", "agent"]).await?;
    let random = ["router, random choice", "agent, random choice"];
    series.extend(measure_chat_rates("random", random).await?);
    Ok(series)
}

fn reports(part: ControlPart, repetitions: &[Vec<CostSeries>]) -> Vec<SlopeReport> {
    let Some(first) = repetitions.first() else { return Vec::new() };
    let report = |(index, series): (usize, &CostSeries)| {
        let points = repetitions.iter().filter_map(|all| Some(all.get(index)?.points.clone()));
        SlopeReport::new(part.to_string(), series.role, points.collect())
    };
    first.iter().enumerate().map(report).collect()
}
