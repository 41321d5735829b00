//! Graceful shutdowns: their end, and the last new work at a server that leaves.

use std::process::ExitStatus;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use papayamux_testbed::TestbedError;

use super::fault_stage::{FaultStage, StagePart};

/// How often a process that ends is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a process may take to end.
const EXIT_TIMEOUT: Duration = Duration::from_secs(90);

impl FaultStage {
    /// Ends a router gracefully and replaces it.
    pub async fn terminate_router(&self, router: usize) -> Result<(), TestbedError> {
        self.fleet.borrow().routers[router].terminate()?;
        self.shared.ready[router].store(false, Ordering::Relaxed);
        self.wait_exit(StagePart::Router(router)).await?;
        self.fleet.borrow_mut().replace_router(router)?;
        self.shared.ready[router].store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Ends an agent gracefully, watches for new work at its server, and replaces it.
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
        while self.exit_of(StagePart::Agent(server), notice)?.is_none() {
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
        reader.all_runs().await
    }

    async fn wait_exit(&self, part: StagePart) -> Result<(), TestbedError> {
        let notice = Instant::now();
        while self.exit_of(part, notice)?.is_none() {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// How a part ended, if it has; one that does not end at all is killed, and counted.
    fn exit_of(
        &self,
        part: StagePart,
        notice: Instant,
    ) -> Result<Option<ExitStatus>, TestbedError> {
        let mut fleet = self.fleet.borrow_mut();
        let process = match part {
            StagePart::Router(router) => &mut fleet.routers[router],
            StagePart::Agent(server) => &mut fleet.servers[server].agent,
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
