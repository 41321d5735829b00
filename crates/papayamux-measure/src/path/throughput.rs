//! Measures requests per second per core of router and agent.

use std::cell::Cell;
use std::error::Error;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use papayamux_testbed::{Caller, Fleet, ProcessHandle, FLEET_PATH};
use serde_json::json;

/// The number of callers, each with one request in flight.
const CALLERS: usize = 64;
/// The duration of the measurement.
const RUN_DURATION: Duration = Duration::from_secs(4);

/// Meters the CPU time of two processes from a starting point.
pub struct CpuMeter<'a> {
    processes: [&'a ProcessHandle; 2],
    before: [Duration; 2],
    started: Instant,
}

/// The CPU time used in an interval.
pub struct CpuReading {
    /// The length of the interval in seconds.
    pub seconds: f64,
    /// The core seconds used by each of the two processes.
    pub cores: [f64; 2],
}

impl<'a> CpuMeter<'a> {
    /// Starts metering the router and the agent.
    pub fn start(
        router: &'a ProcessHandle,
        agent: &'a ProcessHandle,
    ) -> Result<Self, Box<dyn Error>> {
        let before = [router.usage()?.cpu, agent.usage()?.cpu];
        Ok(Self { processes: [router, agent], before, started: Instant::now() })
    }

    /// Returns the CPU time used since the start.
    pub fn read(&self) -> Result<CpuReading, Box<dyn Error>> {
        let used = |index: usize| -> Result<f64, Box<dyn Error>> {
            Ok((self.processes[index].usage()?.cpu - self.before[index]).as_secs_f64())
        };
        let seconds = self.started.elapsed().as_secs_f64();
        Ok(CpuReading { seconds, cores: [used(0)?, used(1)?] })
    }
}

/// Measures the throughput of plain calls from many concurrent callers.
pub async fn measure_throughput(fleet: &Fleet) -> Result<serde_json::Value, Box<dyn Error>> {
    let service = fleet.servers.iter().find(|server| server.name.starts_with("service"));
    let agent = &service.ok_or("the fleet has no service")?.agent;
    let router = &fleet.routers[0];
    let caller = Caller::new(router.listen()?, "measure");
    let answered = Rc::new(Cell::new(0_u64));
    let deadline = Instant::now() + RUN_DURATION;
    let meter = CpuMeter::start(router, agent)?;
    let mut tasks = Vec::new();
    for _ in 0..CALLERS {
        let (caller, answered) = (caller.clone(), answered.clone());
        tasks.push(monoio::spawn(async move {
            while Instant::now() < deadline {
                let call = caller.call(Method::GET, FLEET_PATH, &[], Bytes::new());
                if call.await.is_ok_and(|(status, _)| status.is_success()) {
                    answered.set(answered.get() + 1);
                }
            }
        }));
    }
    for task in tasks {
        task.await;
    }
    let reading = meter.read()?;
    let requests = answered.get() as f64;
    let [router_cores, agent_cores] = reading.cores;
    Ok(json!({
        "measure": "requests",
        "callers": CALLERS,
        "answered": answered.get(),
        "per_s": requests / reading.seconds,
        "per_s_per_router_core": requests / router_cores,
        "per_s_per_agent_core": requests / agent_cores,
        "per_s_per_core_of_both": requests / (router_cores + agent_cores),
    }))
}
