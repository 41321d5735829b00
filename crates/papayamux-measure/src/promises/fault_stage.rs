//! The fleet as the injectors share it, and the record of what they did.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayamux_testbed::{Fleet, LinkControl, TestbedError};

use super::fault_kind::FaultKind;
use super::link_board::{LinkBoard, LinkPlace};

/// What the callers' thread and the injectors tell each other.
#[derive(Debug, Default)]
pub struct SharedState {
    /// For each router, whether the balancer sends callers there.
    pub ready: Vec<AtomicBool>,
    /// Requests in flight.
    pub in_flight: AtomicU64,
    /// Whether all callers have finished.
    pub finished: AtomicBool,
}

/// One fault that was brought about.
#[derive(Debug, Clone)]
pub struct FaultRecord {
    /// Its kind.
    pub kind: FaultKind,
    /// The router that it concerned; none for all.
    pub router: Option<usize>,
    /// The name of the server that it concerned; none for all.
    pub server: Option<String>,
    /// When it began.
    pub from: Instant,
    /// When it was over.
    pub to: Instant,
    /// Whether requests were in flight when it began.
    pub met_requests: bool,
}

/// A process that an injector ends and replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StagePart {
    /// A router.
    Router(usize),
    /// An agent.
    Agent(usize),
}

/// The fleet with what happens to it.
pub struct FaultStage {
    /// The fleet; never borrowed across an await.
    pub fleet: RefCell<Fleet>,
    /// The faults of its links.
    pub board: LinkBoard,
    /// What is shared with the callers.
    pub shared: Arc<SharedState>,
    /// What was done.
    pub records: RefCell<Vec<FaultRecord>>,
    /// The longest time from an agent's notice to new work at its server.
    pub last_new_work: Cell<Option<Duration>>,
    /// Graceful shutdowns that did not end with success.
    pub unclean_exits: Cell<u64>,
    busy: RefCell<BTreeSet<StagePart>>,
}

/// Keeps a part for one injector until it is dropped.
pub struct PartGuard<'a> {
    stage: &'a FaultStage,
    part: StagePart,
}

impl Drop for PartGuard<'_> {
    fn drop(&mut self) {
        self.stage.busy.borrow_mut().remove(&self.part);
    }
}

impl FaultStage {
    /// The stage of a fleet.
    pub fn new(fleet: Fleet, shared: Arc<SharedState>) -> Self {
        Self {
            fleet: RefCell::new(fleet),
            board: LinkBoard::default(),
            shared,
            records: RefCell::default(),
            last_new_work: Cell::default(),
            unclean_exits: Cell::default(),
            busy: RefCell::default(),
        }
    }

    /// Takes a part for one injector; `None` while another has it.
    pub fn take_part(&self, part: StagePart) -> Option<PartGuard<'_>> {
        self.busy.borrow_mut().insert(part).then_some(PartGuard { stage: self, part })
    }

    /// Whether all callers have finished.
    pub fn is_finished(&self) -> bool {
        self.shared.finished.load(Ordering::Relaxed)
    }

    /// Whether requests are in flight.
    pub fn has_requests(&self) -> bool {
        self.shared.in_flight.load(Ordering::Relaxed) > 0
    }

    /// The places of all links between routers and agents.
    pub fn agent_links(&self) -> Vec<LinkPlace> {
        let fleet = self.fleet.borrow();
        let (routers, servers) = (fleet.routers.len(), fleet.servers.len());
        let places = (0..routers * servers).map(|number| (number / servers, number % servers));
        let known = places.filter(|(router, server)| fleet.link(*router, *server).is_ok());
        known.map(|(router, server)| LinkPlace::Agent { router, server }).collect()
    }

    /// The places of all links between agents and servers.
    pub fn server_links(&self) -> Vec<LinkPlace> {
        (0..self.fleet.borrow().servers.len()).map(LinkPlace::Server).collect()
    }

    /// A link's control.
    pub fn link(&self, place: LinkPlace) -> Result<LinkControl, TestbedError> {
        let fleet = self.fleet.borrow();
        match place {
            LinkPlace::Agent { router, server } => fleet.link(router, server).cloned(),
            LinkPlace::Server(server) => fleet.servers[server].link().cloned(),
        }
    }

    /// A server's name.
    pub fn server_name(&self, server: usize) -> String {
        self.fleet.borrow().servers[server].name.clone()
    }

    /// Notes the longest time from a notice to new work.
    pub fn record_new_work(&self, after: Duration) {
        let longest = self.last_new_work.get().unwrap_or_default().max(after);
        self.last_new_work.set(Some(longest));
    }
}
