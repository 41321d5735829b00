//! The fleet shared by the injectors, and the record of injected faults.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayamux_testbed::{Fleet, LinkControl, TestbedError};

use super::fault_kind::FaultKind;
use super::link_fault_table::{LinkFaultTable, LinkPlace};

/// State shared between the callers' thread and the injectors.
#[derive(Debug, Default)]
pub struct SharedState {
    /// For each router, whether the load balancer sends callers to it.
    pub ready: Vec<AtomicBool>,
    /// Number of requests in flight.
    pub in_flight: AtomicU64,
    /// `true` once all callers have finished.
    pub finished: AtomicBool,
}

/// One injected fault.
#[derive(Debug, Clone)]
pub struct FaultRecord {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Index of the affected router; `None` for all.
    pub router: Option<usize>,
    /// Name of the affected server; `None` for all.
    pub server: Option<String>,
    /// Start of the fault.
    pub from: Instant,
    /// End of the fault.
    pub to: Instant,
    /// `true` if requests were in flight when it began.
    pub met_requests: bool,
}

/// A process that an injector shuts down and replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FleetMember {
    /// A router, by index.
    Router(usize),
    /// An agent, by the index of its server.
    Agent(usize),
}

/// A fleet under fault injection.
pub struct FaultStage {
    /// The fleet; never borrowed across an await.
    pub fleet: RefCell<Fleet>,
    /// Active faults of its links.
    pub link_faults: LinkFaultTable,
    /// State shared with the callers.
    pub shared: Arc<SharedState>,
    /// Faults injected so far.
    pub records: RefCell<Vec<FaultRecord>>,
    /// Longest time from an agent's shutdown notice to new work at its server.
    pub last_new_work: Cell<Option<Duration>>,
    /// Number of graceful shutdowns that did not exit successfully.
    pub unclean_exits: Cell<u64>,
    busy: RefCell<BTreeSet<FleetMember>>,
}

/// Reserves a process for one injector until dropped.
pub struct MemberGuard<'a> {
    stage: &'a FaultStage,
    member: FleetMember,
}

impl Drop for MemberGuard<'_> {
    fn drop(&mut self) {
        self.stage.busy.borrow_mut().remove(&self.member);
    }
}

impl FaultStage {
    /// Creates the stage of a fleet.
    pub fn new(fleet: Fleet, shared: Arc<SharedState>) -> Self {
        Self {
            fleet: RefCell::new(fleet),
            link_faults: LinkFaultTable::default(),
            shared,
            records: RefCell::default(),
            last_new_work: Cell::default(),
            unclean_exits: Cell::default(),
            busy: RefCell::default(),
        }
    }

    /// Reserves a process for one injector; returns `None` while another holds it.
    pub fn reserve_member(&self, member: FleetMember) -> Option<MemberGuard<'_>> {
        self.busy.borrow_mut().insert(member).then_some(MemberGuard { stage: self, member })
    }

    /// Returns whether all callers have finished.
    pub fn is_finished(&self) -> bool {
        self.shared.finished.load(Ordering::Relaxed)
    }

    /// Returns whether requests are in flight.
    pub fn has_requests(&self) -> bool {
        self.shared.in_flight.load(Ordering::Relaxed) > 0
    }

    /// Returns all links between routers and agents.
    pub fn agent_links(&self) -> Vec<LinkPlace> {
        let fleet = self.fleet.borrow();
        let (routers, servers) = (fleet.routers.len(), fleet.servers.len());
        let places = (0..routers * servers).map(|number| (number / servers, number % servers));
        let known = places.filter(|(router, server)| fleet.link(*router, *server).is_ok());
        known.map(|(router, server)| LinkPlace::Agent { router, server }).collect()
    }

    /// Returns all links between agents and servers.
    pub fn server_links(&self) -> Vec<LinkPlace> {
        (0..self.fleet.borrow().servers.len()).map(LinkPlace::Server).collect()
    }

    /// Returns the control of a link.
    pub fn link(&self, place: LinkPlace) -> Result<LinkControl, TestbedError> {
        let fleet = self.fleet.borrow();
        match place {
            LinkPlace::Agent { router, server } => fleet.link(router, server).cloned(),
            LinkPlace::Server(server) => fleet.servers[server].link().cloned(),
        }
    }

    /// Returns the name of a server.
    pub fn server_name(&self, server: usize) -> String {
        self.fleet.borrow().servers[server].name.clone()
    }

    /// Records a time from a shutdown notice to new work if it is the longest so far.
    pub fn record_new_work(&self, after: Duration) {
        let longest = self.last_new_work.get().unwrap_or_default().max(after);
        self.last_new_work.set(Some(longest));
    }
}
