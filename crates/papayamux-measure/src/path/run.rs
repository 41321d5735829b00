//! Runs the measurements of the request path and prints one JSON line each.

use std::error::Error;

use papayamux_testbed::{Fleet, FleetPlan};
use papayamux_transport::runtime;

use super::latency::{measure_calls, measure_first_tokens};
use super::streams::measure_streams;
use super::throughput::measure_throughput;

/// The engine's step in the measurements other than first-token latency, in microseconds.
const FAST_STEP: &str = "1000";
/// The engine's step in the first-token latency measurement. A step would hide the latency,
/// because timers have a resolution of 1 ms.
const NO_STEP: &str = "0";

fn plan(step: &str) -> FleetPlan {
    let engine = ["--step-us", step, "--batch", "4096", "--prefill", "1000000"];
    FleetPlan::builder()
        .routers(1)
        .engines(1)
        .services(1)
        .engine_arguments(engine.map(str::to_string).into())
        .service_arguments(["--call-ms", "0"].map(str::to_string).into())
        .agent_server_lines("capacity = 4096".to_string())
        .build()
}

/// Runs all measurements of the request path, each on a new fleet.
pub fn run_path() -> Result<(), Box<dyn Error>> {
    for line in [
        measure_on_fleet(FAST_STEP, async |fleet| measure_calls(fleet).await)?,
        measure_on_fleet(NO_STEP, async |fleet| measure_first_tokens(fleet).await)?,
        measure_on_fleet(FAST_STEP, async |fleet| measure_throughput(fleet).await)?,
        measure_on_fleet(FAST_STEP, async |fleet| measure_streams(fleet).await)?,
    ] {
        println!("{line}");
    }
    Ok(())
}

type MeasureResult = Result<serde_json::Value, Box<dyn Error>>;

fn measure_on_fleet(
    step: &str,
    measure: impl AsyncFnOnce(&Fleet) -> MeasureResult,
) -> MeasureResult {
    let fleet = Fleet::start(plan(step))?;
    runtime::run(measure(&fleet))?
}
