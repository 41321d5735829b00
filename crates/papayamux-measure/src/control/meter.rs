//! Meters the resources that a process uses in an interval.

use std::error::Error;
use std::time::{Duration, Instant};

use papayamux_testbed::{ProcessHandle, ProcessUsage};

use super::slope::CostReading;

/// The resources that a process has used since its start.
struct ResourceTotals {
    bytes_in: f64,
    bytes_out: f64,
    usage: ProcessUsage,
}

/// The role of a process, which is part of its metric names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MeteredRole {
    /// A router.
    Router,
    /// An agent.
    Agent,
}

impl MeteredRole {
    /// Returns the role's name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            MeteredRole::Router => "router",
            MeteredRole::Agent => "agent",
        }
    }
}

async fn read_totals(
    role: MeteredRole,
    process: &ProcessHandle,
) -> Result<ResourceTotals, Box<dyn Error>> {
    let usage = process.usage()?;
    let metrics = process.metrics().await?;
    let sum = |way: &str| {
        metrics.sum(&format!("papayamux_{}_control_bytes_{way}_total", role.name()), "")
    };
    Ok(ResourceTotals { bytes_in: sum("in"), bytes_out: sum("out"), usage })
}

/// Meters `process` for the duration `time`. Its metrics are read before and after that interval,
/// so that the CPU time doesn't include the reading.
pub async fn meter_for(
    role: MeteredRole,
    process: &ProcessHandle,
    time: Duration,
) -> Result<CostReading, Box<dyn Error>> {
    let before = read_totals(role, process).await?;
    let (started, cpu_before) = (Instant::now(), process.usage()?.cpu);
    monoio::time::sleep(time).await;
    let (seconds, usage) = (started.elapsed().as_secs_f64(), process.usage()?);
    let after = read_totals(role, process).await?;
    Ok(CostReading {
        bytes_in_per_s: (after.bytes_in - before.bytes_in) / seconds,
        bytes_out_per_s: (after.bytes_out - before.bytes_out) / seconds,
        cpu_us_per_s: (usage.cpu - cpu_before).as_micros() as f64 / seconds,
        resident_bytes: before.usage.resident.get() as f64,
    })
}
