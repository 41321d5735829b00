//! Graceful shutdowns: waits for the exit and measures the last new work at a draining server.

use std::process::ExitStatus;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use papayamux_testbed::TestbedError;

use super::fault_stage::{FaultStage, FleetMember};

/// Interval at which an exiting process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a process that has not exited is killed.
const EXIT_TIMEOUT: Duration = Duration::from_secs(90);

impl FaultStage {
    /// Shuts a router down gracefully and replaces it.
    pub async fn terminate_router(&self, router: usize) -> Result<(), TestbedError> {
        self.fleet.borrow().routers[router].terminate()?;
        self.shared.ready[router].store(false, Ordering::Relaxed);
        self.wait_exit(FleetMember::Router(router)).await?;
        self.fleet.borrow_mut().replace_router(router)?;
        self.shared.ready[router].store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Shuts an agent down gracefully, watches for new work at its server, and replaces it.
    pub async fn terminate_agent(&self, server: usize) -> Result<(), TestbedError> {
        let notice = Instant::now();
        self.fleet.borrow().servers[server].agent.terminate()?;
        let runs = self.runs_of(server).await?;
        self.watch_new_work(server, notice, runs).await?;
        self.fleet.borrow_mut().replace_agent(server)
    }

    async fn watch_new_work(
        &self,
        server: usize,
        notice: Instant,
        mut runs: u64,
    ) -> Result<(), TestbedError> {
        self.record_new_work(Duration::ZERO);
        while self.exit_of(FleetMember::Agent(server), notice)?.is_none() {
            let runs_now = self.runs_of(server).await?;
            if runs_now > runs {
                self.record_new_work(notice.elapsed());
            }
            runs = runs_now;
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn runs_of(&self, server: usize) -> Result<u64, TestbedError> {
        let reader = self.fleet.borrow().servers[server].runs_reader()?;
        reader.total_runs().await
    }

    async fn wait_exit(&self, member: FleetMember) -> Result<(), TestbedError> {
        let notice = Instant::now();
        while self.exit_of(member, notice)?.is_none() {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the exit status of a process that has exited. Kills one that exceeds
    /// [`EXIT_TIMEOUT`], and counts every unsuccessful exit.
    fn exit_of(
        &self,
        member: FleetMember,
        notice: Instant,
    ) -> Result<Option<ExitStatus>, TestbedError> {
        let mut fleet = self.fleet.borrow_mut();
        let process = match member {
            FleetMember::Router(router) => &mut fleet.routers[router],
            FleetMember::Agent(server) => &mut fleet.servers[server].agent,
        };
        if notice.elapsed() > EXIT_TIMEOUT {
            process.kill()?;
        }
        let exit = process.try_exit()?;
        if exit.is_some_and(|status| !status.success()) {
            self.unclean_exits.set(self.unclean_exits.get() + 1);
        }
        Ok(exit)
    }
}
