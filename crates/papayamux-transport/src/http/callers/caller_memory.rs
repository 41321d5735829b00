//! The memory that all callers of a process hold.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use papayamux_coordination::caller_memory::{
    HolderId, HolderStage, MemoryLedger, MemoryLimits, MemoryShortage, CONNECTION_BYTES,
};
use papayamux_coordination::log_limit::LogLimit;
use papayamux_state::quantities::ByteCount;

use super::caller_connection::CallerConnection;
use super::piece_pacer::PiecePacer;
use crate::shutdown::ShutdownSignal;

/// What callers hold, and what was refused or taken from them so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Bytes that callers hold.
    pub held: ByteCount,
    /// Connections that were closed, or whose body was refused, to free what they held.
    pub evicted: u64,
    /// Claims that were refused.
    pub refused: u64,
}

/// Accounts for what callers hold, and wakes those that are evicted.
#[derive(Debug)]
pub struct CallerMemory {
    ledger: RefCell<MemoryLedger>,
    evictions: RefCell<HashMap<HolderId, ShutdownSignal>>,
    evicted: Cell<u64>,
    refused: Cell<u64>,
    log_limit: RefCell<LogLimit>,
    pub(super) pacer: PiecePacer,
}

impl CallerMemory {
    /// Creates an account for the callers of a process with these limits.
    pub fn new(limits: MemoryLimits) -> Rc<Self> {
        Rc::new(Self {
            ledger: RefCell::new(MemoryLedger::new(limits)),
            evictions: RefCell::default(),
            evicted: Cell::new(0),
            refused: Cell::new(0),
            log_limit: RefCell::default(),
            pacer: PiecePacer::default(),
        })
    }

    /// Returns what callers hold, and what was refused or taken from them so far.
    pub fn usage(&self) -> MemoryUsage {
        let held = self.ledger.borrow().held();
        MemoryUsage { held, evicted: self.evicted.get(), refused: self.refused.get() }
    }

    /// Returns the limits.
    pub fn limits(&self) -> MemoryLimits {
        self.ledger.borrow().limits()
    }

    /// Adds a connection.
    pub(in crate::http) fn open(self: &Rc<Self>) -> Result<Rc<CallerConnection>, MemoryShortage> {
        let id = self.ledger.borrow_mut().open(Instant::now());
        let evicted = ShutdownSignal::new();
        self.evictions.borrow_mut().insert(id, evicted.clone());
        let connection = Rc::new(CallerConnection::new(self.clone(), id, evicted));
        connection.claim(CONNECTION_BYTES).map(|()| connection)
    }

    /// Removes a connection.
    pub(super) fn close(&self, id: HolderId) {
        self.ledger.borrow_mut().close(id);
        self.evictions.borrow_mut().remove(&id);
    }

    pub(super) fn claim(&self, id: HolderId, bytes: ByteCount) -> Result<(), MemoryShortage> {
        let claim = self.ledger.borrow_mut().claim(id, bytes, Instant::now());
        match claim {
            Ok(evicted) => {
                if !evicted.is_empty() {
                    self.log_shortage("callers are evicted for want of memory", evicted.len());
                }
                evicted.into_iter().for_each(|id| self.signal_eviction(id));
                Ok(())
            }
            Err(shortage) => {
                self.refused.set(self.refused.get() + 1);
                self.log_shortage("a caller is refused for want of memory", 0);
                Err(shortage)
            }
        }
    }

    pub(super) fn charge(&self, id: HolderId, bytes: ByteCount) {
        self.ledger.borrow_mut().charge(id, bytes);
    }

    pub(super) fn release(&self, id: HolderId, bytes: ByteCount) {
        self.ledger.borrow_mut().release(id, bytes);
    }

    pub(super) fn set_stage(&self, id: HolderId, stage: HolderStage) {
        self.ledger.borrow_mut().set_stage(id, stage, Instant::now());
    }

    pub(super) fn record_served(&self, id: HolderId) {
        self.ledger.borrow_mut().record_served(id);
    }

    pub(super) fn record_bytes(&self, id: HolderId, bytes: usize) {
        let bytes = ByteCount::new(bytes as u64);
        self.ledger.borrow_mut().record_bytes(id, bytes, Instant::now());
    }

    /// Returns the number of connections of callers that have accepted an answer.
    pub(in crate::http) fn served_count(&self) -> usize {
        self.ledger.borrow().served_count()
    }

    /// Evicts the connection that has waited for longest without a complete head.
    pub(in crate::http) fn evict_longest_unserved(&self) {
        let chosen = self.ledger.borrow().longest_unserved(Instant::now());
        self.evict(chosen);
    }

    /// Evicts the connection that is stalled for longest.
    pub(in crate::http) fn evict_longest_stalled(&self) {
        let chosen = self.ledger.borrow().longest_stalled(Instant::now());
        self.evict(chosen);
    }

    fn evict(&self, chosen: Option<HolderId>) {
        let Some(id) = chosen else { return };
        self.ledger.borrow_mut().evict(id);
        self.log_shortage("a caller is evicted for want of connections", 1);
        self.signal_eviction(id);
    }

    fn signal_eviction(&self, id: HolderId) {
        self.evicted.set(self.evicted.get() + 1);
        // The signal's owner may close the connection at once, which removes it from the map.
        let signal = self.evictions.borrow().get(&id).cloned();
        if let Some(signal) = signal {
            signal.trigger();
        }
    }

    fn log_shortage(&self, message: &str, evicted: usize) {
        let Some(suppressed) = self.log_limit.borrow_mut().next(Instant::now()) else { return };
        let ledger = self.ledger.borrow();
        log::warn!(
            held_bytes = ledger.held().get(), limit_bytes = ledger.limits().total.get(),
            connections = ledger.len(), served = ledger.served_count(), evicted = evicted,
            suppressed = suppressed; "{message}"
        );
    }
}
