//! Applies the scheduled faults and records what each of them disturbs.

use std::time::Duration;

use papayamux_platform_standins::{ConfigurationDraft, StoreCopy, StoreMode};
use papayamux_standins::fault_proxy::{FaultyWays, LinkFaults};
use papayamux_testbed::TestbedError;

use super::fault_kind::{FaultKind, PlannedFault};
use super::fleet::{SoakFleet, SoakServer};
use super::history::{ConfigurationRecord, DisturbanceRecord, ListingRecord, SoakHistory, Subject};

/// Delay of a slow link: longer than a retransmission, shorter than the silence that connections
/// tolerate.
const LINK_DELAY_MS: u64 = 120;
/// Time that a router may take to exit after a shutdown request; it exceeds the router's grace
/// period of 4 s.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of keys valid at once.
const MAX_ACTIVE_KEYS: usize = 2;
/// Time for which a removed server stays listed as draining.
const DRAINING_ENTRY_DURATION: Duration = Duration::from_secs(3);

/// A fault in progress.
struct OpenFault {
    planned: PlannedFault,
    until: Duration,
    disturbance: usize,
    /// Process identifier of the affected router when the fault began.
    process: Option<u32>,
    /// Copy from which the store is restored when the fault ends.
    copy: Option<StoreCopy>,
}

/// Injects faults into a fleet.
pub(super) struct FaultInjector {
    pub(super) fleet: SoakFleet,
    pub(super) history: SoakHistory,
    draft: ConfigurationDraft,
    open: Vec<OpenFault>,
    draining_servers: Vec<(SoakServer, Duration)>,
    replaced: u32,
    /// `true` if a replacement has another software version than the server before it.
    versions: bool,
}

/// Number of software versions that replacements take in turn.
const VERSIONS: usize = 3;

/// Returns the name of a software version.
pub(super) fn version_name(index: usize) -> String {
    format!("v{index}")
}

/// Returns the version that follows `version` in a rollout.
fn next_version(version: &str) -> String {
    let names = (0..VERSIONS).map(version_name);
    let index = names.into_iter().position(|name| name == version).unwrap_or_default();
    version_name((index + 1) % VERSIONS)
}

impl FaultInjector {
    /// Creates an injector and writes the first configuration into the store.
    pub(super) fn new(fleet: SoakFleet, draft: ConfigurationDraft, versions: bool) -> Self {
        let engines = fleet.servers.iter().filter(|server| server.server.service() == "llm");
        let listings = engines.map(|engine| ListingRecord {
            version: engine.server.version().to_string(),
            from: Duration::ZERO,
            until: None,
        });
        let history = SoakHistory { listings: listings.collect(), ..SoakHistory::default() };
        let mut injector = Self {
            fleet,
            history,
            draft,
            open: Vec::new(),
            draining_servers: Vec::new(),
            replaced: 0,
            versions,
        };
        injector.write_configuration();
        injector
    }

    /// Starts a fault.
    pub(super) async fn begin(&mut self, planned: PlannedFault) -> Result<(), TestbedError> {
        let now = self.fleet.caller_state.now();
        self.history.disturbances.push(DisturbanceRecord {
            subject: self.subject(planned),
            from: now,
            until: Duration::MAX,
            graceful: planned.kind == FaultKind::EndRouter,
        });
        let disturbance = self.history.disturbances.len() - 1;
        let process = self.process_id(self.router(planned));
        let copy = (planned.kind == FaultKind::RestoreStore).then(|| self.fleet.store.copy());
        self.apply(planned).await?;
        let until = now + planned.length;
        self.open.push(OpenFault { planned, until, disturbance, process, copy });
        Ok(())
    }

    /// Ends the faults whose duration is over.
    pub(super) async fn end_due(&mut self) -> Result<(), TestbedError> {
        let now = self.fleet.caller_state.now();
        let (due, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition::<Vec<_>, _>(|fault| fault.until <= now);
        self.open = open;
        for fault in due {
            self.end(fault).await?;
        }
        self.remove_drained(now);
        Ok(())
    }

    /// Ends all faults in progress.
    pub(super) async fn end_all(&mut self) -> Result<(), TestbedError> {
        for fault in std::mem::take(&mut self.open) {
            self.end(fault).await?;
        }
        self.history.calm_from = self.fleet.caller_state.now();
        Ok(())
    }

    fn subject(&self, planned: PlannedFault) -> Subject {
        match planned.kind {
            FaultKind::KillRouter
            | FaultKind::PauseRouter
            | FaultKind::EndRouter
            | FaultKind::ReloadRouter
            | FaultKind::SilenceStoreLink
            | FaultKind::MuteStoreLink
            | FaultKind::RefuseStoreLink => Subject::Router(self.router(planned)),
            FaultKind::SilenceStore
            | FaultKind::RefuseStore
            | FaultKind::CompactStore
            | FaultKind::RestoreStore => Subject::Store,
            FaultKind::DelayServerLink
            | FaultKind::CutServerLink
            | FaultKind::HoldServerLink
            | FaultKind::MuteServerLink
            | FaultKind::RestartServer
            | FaultKind::WriteEntries => Subject::Servers,
            // Planned work disturbs nothing: the routers' bounds hold during it.
            FaultKind::DrainServer | FaultKind::ChangeConfiguration | FaultKind::ReplaceKey => {
                Subject::Order
            }
        }
    }

    fn router(&self, planned: PlannedFault) -> usize {
        planned.target % self.fleet.routers.len()
    }

    async fn apply(&mut self, planned: PlannedFault) -> Result<(), TestbedError> {
        let router = self.router(planned);
        let server = planned.target % self.fleet.servers.len();
        match planned.kind {
            FaultKind::KillRouter => self.kill(router)?,
            FaultKind::PauseRouter => self.signal_router(router, |process| process.pause())?,
            FaultKind::EndRouter => self.signal_router(router, |process| process.terminate())?,
            FaultKind::ReloadRouter => self.signal_router(router, |process| process.reload())?,
            FaultKind::SilenceStoreLink => {
                self.fleet.routers[router].store_link.silence().await?;
            }
            FaultKind::MuteStoreLink => {
                let faults = LinkFaults { hold: FaultyWays::ToClient, ..LinkFaults::default() };
                self.fleet.routers[router].store_link.set(faults).await?;
            }
            FaultKind::RefuseStoreLink => {
                let link = &self.fleet.routers[router].store_link;
                link.refuse().await?;
                link.cut().await?;
            }
            FaultKind::SilenceStore => self.fleet.store.set_mode(StoreMode::Silent),
            FaultKind::RefuseStore => self.fleet.store.set_mode(StoreMode::Refusing),
            FaultKind::CompactStore => self.fleet.store.set_mode(StoreMode::Compacted),
            FaultKind::DelayServerLink => {
                let faults = LinkFaults { delay_ms: LINK_DELAY_MS, ..LinkFaults::default() };
                self.fleet.servers[server].link.set(faults).await?;
            }
            FaultKind::CutServerLink => {
                self.fleet.servers[server].link.cut().await?;
            }
            FaultKind::HoldServerLink => {
                self.fleet.servers[server].link.hold_ways(FaultyWays::ToTarget).await?;
            }
            FaultKind::MuteServerLink => {
                let faults = LinkFaults { drop: FaultyWays::ToClient, ..LinkFaults::default() };
                self.fleet.servers[server].link.set(faults).await?;
            }
            FaultKind::DrainServer => self.drain(server)?,
            FaultKind::ChangeConfiguration => self.move_routes(),
            FaultKind::ReplaceKey => self.replace_key(),
            FaultKind::RestartServer => {
                self.fleet.servers[server].restart(&self.fleet.store).await?;
            }
            FaultKind::WriteEntries => self.fleet.write_foreign_entries(server),
            // The store is restored when the fault ends.
            FaultKind::RestoreStore => {}
        }
        Ok(())
    }

    async fn end(&mut self, fault: OpenFault) -> Result<(), TestbedError> {
        let planned = fault.planned;
        let router = self.router(planned);
        match planned.kind {
            FaultKind::KillRouter => self.restart(router)?,
            FaultKind::EndRouter => {
                self.fleet.caller_state.set_router(router, None);
                // The end of another fault may have started a new process in the meantime.
                if self.process_id(router) == fault.process {
                    self.wait_for_end(router)?;
                }
                self.restart(router)?;
            }
            FaultKind::PauseRouter => self.signal_router(router, |process| process.wake())?,
            FaultKind::SilenceStoreLink | FaultKind::MuteStoreLink | FaultKind::RefuseStoreLink => {
                self.fleet.routers[router].store_link.heal().await?;
            }
            FaultKind::SilenceStore | FaultKind::RefuseStore | FaultKind::CompactStore => {
                self.fleet.store.set_mode(StoreMode::Up);
            }
            FaultKind::DelayServerLink
            | FaultKind::CutServerLink
            | FaultKind::HoldServerLink
            | FaultKind::MuteServerLink => {
                let server = planned.target % self.fleet.servers.len();
                self.fleet.servers[server].link.heal().await?;
            }
            FaultKind::WriteEntries => {
                let server = planned.target % self.fleet.servers.len();
                self.fleet.servers[server].list(&self.fleet.store, false)?;
            }
            FaultKind::RestoreStore => self.restore_store(fault.copy)?,
            FaultKind::ReloadRouter
            | FaultKind::RestartServer
            | FaultKind::DrainServer
            | FaultKind::ChangeConfiguration
            | FaultKind::ReplaceKey => {}
        }
        self.history.disturbances[fault.disturbance].until = self.fleet.caller_state.now();
        Ok(())
    }

    /// Restores the store from a copy. The operator and the servers then write again what it lacks.
    fn restore_store(&mut self, copy: Option<StoreCopy>) -> Result<(), TestbedError> {
        let Some(copy) = copy else { return Ok(()) };
        let store = &self.fleet.store;
        store.restore(copy);
        store.put_configuration(&self.draft);
        for server in &self.fleet.servers {
            server.list(store, false)?;
        }
        for (server, until) in &self.draining_servers {
            match *until == Duration::MAX {
                true => server.server.unlist(store),
                false => server.list(store, true)?,
            }
        }
        Ok(())
    }

    /// Sends a signal to a router unless another fault has already ended its process.
    fn signal_router(
        &mut self,
        router: usize,
        send: impl Fn(&papayamux_testbed::ProcessHandle) -> Result<(), TestbedError>,
    ) -> Result<(), TestbedError> {
        let Some(process) = &mut self.fleet.routers[router].process else { return Ok(()) };
        match process.try_exit()? {
            None => send(process),
            Some(_) => Ok(()),
        }
    }

    fn kill(&mut self, router: usize) -> Result<(), TestbedError> {
        self.fleet.caller_state.set_router(router, None);
        if let Some(mut process) = self.fleet.routers[router].process.take() {
            process.kill()?;
        }
        Ok(())
    }

    fn process_id(&self, router: usize) -> Option<u32> {
        self.fleet.routers[router].process.as_ref().map(papayamux_testbed::ProcessHandle::id)
    }

    /// Waits for a router to exit after a shutdown request; kills and records one that does not.
    fn wait_for_end(&mut self, router: usize) -> Result<(), TestbedError> {
        let Some(process) = &mut self.fleet.routers[router].process else { return Ok(()) };
        if process.wait_exit(SHUTDOWN_TIMEOUT).is_err() {
            process.kill()?;
            self.history.stuck_ends.push((router, self.fleet.caller_state.now()));
        }
        Ok(())
    }

    /// Restarts a router unless the end of another fault has already done so.
    fn restart(&mut self, router: usize) -> Result<(), TestbedError> {
        let ended = match &mut self.fleet.routers[router].process {
            Some(process) => process.try_exit()?.is_some(),
            None => true,
        };
        if ended {
            self.fleet.start_router(router)?;
            self.history.starts.push((router, self.fleet.caller_state.now()));
        }
        Ok(())
    }

    fn drain(&mut self, index: usize) -> Result<(), TestbedError> {
        self.replaced += 1;
        let old = self.fleet.servers[index].server.clone();
        let id = format!("s-{}", self.replaced);
        let version = match self.versions {
            true => next_version(old.version()),
            false => old.version().to_string(),
        };
        let (store, run_log) = (&self.fleet.store, &self.fleet.run_log);
        let fresh = SoakServer::start(store, run_log, old.service(), &version, &id)?;
        let draining = std::mem::replace(&mut self.fleet.servers[index], fresh);
        draining.list(&self.fleet.store, true)?;
        let now = self.fleet.caller_state.now();
        self.history.drains.push((draining.server.id.clone(), now));
        if old.service() == "llm" {
            self.record_replacement(old.version(), version, now);
        }
        self.draining_servers.push((draining, now + DRAINING_ENTRY_DURATION));
        Ok(())
    }

    fn record_replacement(&mut self, old: &str, version: String, now: Duration) {
        let mut open = self.history.listings.iter_mut().filter(|listing| listing.until.is_none());
        if let Some(listing) = open.find(|listing| listing.version == old) {
            listing.until = Some(now);
        }
        self.history.listings.push(ListingRecord { version, from: now, until: None });
    }

    /// Removes drained servers from the list; they go on serving their requests in flight.
    fn remove_drained(&mut self, now: Duration) {
        for (server, until) in &mut self.draining_servers {
            if *until <= now {
                server.server.unlist(&self.fleet.store);
                *until = Duration::MAX;
            }
        }
    }

    fn move_routes(&mut self) {
        let service = match self.draft.plain_service.as_str() {
            "plain" => "other",
            _ => "plain",
        };
        self.draft.plain_service = service.to_string();
        self.write_configuration();
    }

    /// Adds a key and revokes the oldest one once there are too many.
    fn replace_key(&mut self) {
        let key = format!("key-{}", self.draft.version);
        // The further organisations, which compete for the small service, keep their keys.
        for organisation in self.draft.organisations.iter_mut().take(1) {
            organisation.keys.push(key.clone());
            if organisation.keys.len() > MAX_ACTIVE_KEYS {
                organisation.keys.remove(0);
            }
        }
        self.write_configuration();
        self.fleet.caller_state.add_key(&key);
    }

    fn write_configuration(&mut self) {
        self.draft.version += 2;
        self.fleet.store.put_configuration(&self.draft);
        let record = ConfigurationRecord {
            at: self.fleet.caller_state.now(),
            service: self.draft.plain_service.clone(),
            keys: self.draft.organisations.iter().flat_map(|one| one.keys.clone()).collect(),
        };
        self.history.configurations.push(record);
    }
}
