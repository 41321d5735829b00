//! Injects one kind of fault repeatedly, at times and places sampled from the seed.

use std::time::{Duration, Instant};

use papayamux_standins::fault_proxy::FaultyWays;
use papayamux_testbed::{LinkControl, TestbedError};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::RngExt;

use super::fault_kind::FaultKind;
use super::fault_stage::{FaultRecord, FaultStage, FleetMember};
use super::link_fault_table::LinkPlace;

/// Milliseconds between two faults of a kind.
const GAP_MS: std::ops::Range<u64> = 50..400;
/// Milliseconds between two silenced links; each silence lasts until it is detected.
const SILENT_GAP_MS: std::ops::Range<u64> = 500..2_000;
/// Delay of a slow link's bytes, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 20..300;
/// Duration of a delay fault, in milliseconds.
const DELAY_DURATION_MS: std::ops::Range<u64> = 300..1_500;
/// Number of answer bytes after which a link is cut.
const CUT_AFTER_BYTES: std::ops::Range<u64> = 0..12_000;
/// Duration of a cut fault, in milliseconds.
const CUT_DURATION_MS: std::ops::Range<u64> = 200..800;
/// Duration for which a link is held or an agent paused, in milliseconds; the longest exceed the
/// heartbeat timeout.
const HOLD_DURATION_MS: std::ops::Range<u64> = 200..6_000;
/// Downtime of a killed agent, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 0..400;

/// Injector of one kind of fault.
pub struct FaultInjector<'a> {
    /// The fleet to act on.
    pub stage: &'a FaultStage,
    /// The kind of fault.
    pub kind: FaultKind,
    /// Source of times and places.
    pub random: StdRng,
}

impl FaultInjector<'_> {
    /// Injects faults until the callers have finished.
    pub async fn run(mut self) -> Result<(), TestbedError> {
        while self.kind != FaultKind::ListsDiffer {
            self.sleep(if self.kind.is_silent() { SILENT_GAP_MS } else { GAP_MS }).await;
            if self.stage.is_finished() {
                break;
            }
            self.inject().await?;
        }
        Ok(())
    }

    async fn inject(&mut self) -> Result<(), TestbedError> {
        let (from, met_requests) = (Instant::now(), self.stage.has_requests());
        let (router, server) = match self.kind {
            FaultKind::RouterTerminated => (self.end_router().await?, None),
            FaultKind::AgentKilled | FaultKind::AgentPaused | FaultKind::AgentTerminated => {
                (None, self.act_on_agent().await?)
            }
            _ => {
                let place = self.act_on_link().await?;
                (place.router(), Some(place.server()))
            }
        };
        if router.is_none() && server.is_none() {
            return Ok(());
        }
        let server = server.map(|server| self.stage.server_name(server));
        let (kind, to) = (self.kind, Instant::now());
        let record = FaultRecord { kind, router, server, from, to, met_requests };
        self.stage.records.borrow_mut().push(record);
        Ok(())
    }

    async fn act_on_link(&mut self) -> Result<LinkPlace, TestbedError> {
        let stage = self.stage;
        let places = match self.kind {
            FaultKind::ServerLinkCut | FaultKind::ServerLinkSilent => stage.server_links(),
            _ => stage.agent_links(),
        };
        let no_link = || TestbedError::NoPart("faulty links".to_string());
        let place = *places.choose(&mut self.random).ok_or_else(no_link)?;
        let link = stage.link(place)?;
        match self.kind {
            FaultKind::LinkDelayed => self.delay(place, &link).await?,
            FaultKind::LinkCut | FaultKind::ServerLinkCut => self.cut(place, &link).await?,
            FaultKind::LinkHeld => self.hold(place, &link).await?,
            _ => stage.link_faults.silence(place, &link).await?,
        }
        Ok(place)
    }

    async fn delay(&mut self, place: LinkPlace, link: &LinkControl) -> Result<(), TestbedError> {
        let late = self.random.random_range(DELAY_MS);
        self.stage.link_faults.change(place, link, |faults| faults.delay_ms = late).await?;
        self.sleep(DELAY_DURATION_MS).await;
        self.stage.link_faults.change(place, link, |faults| faults.delay_ms = 0).await
    }

    async fn cut(&mut self, place: LinkPlace, link: &LinkControl) -> Result<(), TestbedError> {
        let after = Some(self.random.random_range(CUT_AFTER_BYTES));
        self.stage.link_faults.change(place, link, |faults| faults.cut_after_bytes = after).await?;
        self.sleep(CUT_DURATION_MS).await;
        self.stage.link_faults.change(place, link, |faults| faults.cut_after_bytes = None).await
    }

    async fn hold(&mut self, place: LinkPlace, link: &LinkControl) -> Result<(), TestbedError> {
        let ways = [FaultyWays::ToTarget, FaultyWays::ToClient, FaultyWays::Both];
        let ways = ways[self.random.random_range(0..ways.len())];
        self.stage.link_faults.change(place, link, |faults| faults.hold = ways).await?;
        self.sleep(HOLD_DURATION_MS).await;
        let none = FaultyWays::None;
        self.stage.link_faults.change(place, link, |faults| faults.hold = none).await
    }

    async fn end_router(&mut self) -> Result<Option<usize>, TestbedError> {
        let stage = self.stage;
        let routers = stage.fleet.borrow().routers.len();
        let router = self.random.random_range(0..routers);
        let Some(_guard) = stage.reserve_member(FleetMember::Router(router)) else {
            return Ok(None);
        };
        stage.terminate_router(router).await?;
        Ok(Some(router))
    }

    async fn act_on_agent(&mut self) -> Result<Option<usize>, TestbedError> {
        let stage = self.stage;
        let servers = stage.fleet.borrow().servers.len();
        let server = self.random.random_range(0..servers);
        if self.kind == FaultKind::AgentPaused {
            return self.pause_agent(server).await.map(Some);
        }
        let Some(_guard) = stage.reserve_member(FleetMember::Agent(server)) else {
            return Ok(None);
        };
        match self.kind {
            FaultKind::AgentTerminated => stage.terminate_agent(server).await?,
            _ => {
                stage.fleet.borrow_mut().servers[server].agent.kill()?;
                self.sleep(DOWNTIME_MS).await;
                stage.fleet.borrow_mut().replace_agent(server)?;
            }
        }
        Ok(Some(server))
    }

    /// Pauses an agent, even one that another injector is shutting down: a shutdown request may
    /// reach a paused agent.
    async fn pause_agent(&mut self, server: usize) -> Result<usize, TestbedError> {
        let paused = self.stage.fleet.borrow().servers[server].agent.id();
        self.stage.fleet.borrow().servers[server].agent.pause()?;
        self.sleep(HOLD_DURATION_MS).await;
        let fleet = self.stage.fleet.borrow();
        let agent = &fleet.servers[server].agent;
        if agent.id() == paused {
            agent.wake()?;
        }
        Ok(server)
    }

    async fn sleep(&mut self, range: std::ops::Range<u64>) {
        let milliseconds = self.random.random_range(range);
        monoio::time::sleep(Duration::from_millis(milliseconds)).await;
    }
}
