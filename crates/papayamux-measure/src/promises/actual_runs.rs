//! The actual runs, as counted by the stand-ins.

use std::collections::HashMap;
use std::time::Duration;

use papayamux_testbed::{wait_until, AgentStatus, Fleet, TestbedError};

/// Time for the fleet to finish the requests in flight after the faults.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The run counts must stay unchanged for this long before they are final.
const QUIET_DURATION: Duration = Duration::from_millis(300);

/// Run counts over all servers.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ActualRuns {
    /// Runs by tag; each tag belongs to one request.
    pub by_tag: HashMap<String, u64>,
    /// Runs by idempotency key.
    pub by_key: HashMap<String, u64>,
    /// Number of requests that agents still waited for when everything else had finished.
    pub stuck: u64,
}

impl ActualRuns {
    /// Lifts all faults, waits until the counts no longer change, and returns them.
    pub async fn settle(fleet: &Fleet) -> Result<Self, TestbedError> {
        for router in 0..fleet.routers.len() {
            for server in 0..fleet.servers.len() {
                if let Ok(link) = fleet.link(router, server) {
                    link.heal().await?;
                    link.wait_report(|report| report.kept_to_target == 0).await?;
                }
            }
        }
        for server in &fleet.servers {
            server.link()?.heal().await?;
        }
        let running = async || {
            let mut running = 0;
            for server in &fleet.servers {
                running += server.agent.status::<AgentStatus>().await?.running;
            }
            Ok(running)
        };
        let stuck = match wait_until(SETTLE_TIMEOUT, running, |running| *running == 0).await {
            Err(TestbedError::NotReached { .. }) => running().await?,
            outcome => outcome?,
        };
        let mut actual_runs = Self::read(fleet).await?;
        loop {
            monoio::time::sleep(QUIET_DURATION).await;
            let later = Self::read(fleet).await?;
            if later == actual_runs {
                return Ok(Self { stuck, ..actual_runs });
            }
            actual_runs = later;
        }
    }

    async fn read(fleet: &Fleet) -> Result<Self, TestbedError> {
        let mut actual_runs = Self::default();
        for server in &fleet.servers {
            add_all(&mut actual_runs.by_tag, server.tag_runs().await?);
            if server.name.starts_with("service") {
                add_all(&mut actual_runs.by_key, server.service_runs().await?.by_key);
            }
        }
        Ok(actual_runs)
    }
}

fn add_all(sums: &mut HashMap<String, u64>, counts: HashMap<String, u64>) {
    for (name, count) in counts {
        *sums.entry(name).or_default() += count;
    }
}
