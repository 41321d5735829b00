//! The number of open connections of a listener.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::log_limit::LogLimit;

use super::callers::CallerMemory;
use crate::shutdown::ShutdownSignal;

/// Share of the connection limit above which connections count as scarce: those that have brought no request yet
/// are closed for new ones, and where so many are kept for callers whose requests were answered, each answer asks
/// its caller to close the connection.
const CROWDED_SHARE: f64 = 0.75;
/// Interval at which a connection to evict is looked for while all are taken.
const EVICTION_INTERVAL: Duration = Duration::from_millis(100);

/// Counts the open connections of a listener, and makes room for further ones.
pub(super) struct OpenConnections {
    limit: usize,
    count: Cell<usize>,
    crowded: Cell<bool>,
    log_limit: RefCell<LogLimit>,
    closed: Cell<Option<ShutdownSignal>>,
    memory: Rc<CallerMemory>,
}

impl OpenConnections {
    /// Creates a count of zero, with a limit that also keeps to that of the callers' memory.
    pub(super) fn new(limit: usize, memory: Rc<CallerMemory>) -> Rc<Self> {
        Rc::new(Self {
            limit: limit.min(memory.limits().max_connections()),
            count: Cell::new(0),
            crowded: Cell::new(false),
            log_limit: RefCell::default(),
            closed: Cell::new(None),
            memory,
        })
    }

    /// Counts a new connection. Closes another one for it where connections are scarce.
    pub(super) fn record_open(&self) {
        self.count.set(self.count.get() + 1);
        self.update_crowded();
        if self.crowded.get() {
            self.memory.evict_longest_unserved();
        }
    }

    /// Counts a connection that was closed.
    pub(super) fn record_close(&self) {
        self.count.set(self.count.get() - 1);
        self.update_crowded();
        if let Some(signal) = self.closed.take() {
            signal.trigger();
        }
    }

    /// Returns whether so many connections are kept for callers that they must be closed for new ones.
    pub(super) fn has_too_many_kept(&self) -> bool {
        self.is_crowd(self.memory.served_count())
    }

    fn is_crowd(&self, count: usize) -> bool {
        count as f64 > self.limit as f64 * CROWDED_SHARE
    }

    fn update_crowded(&self) {
        let crowded = self.is_crowd(self.count.get());
        if self.crowded.replace(crowded) == crowded {
            return;
        }
        // A crowd that is kept at the threshold crosses it with each connection.
        let Some(suppressed) = self.log_limit.borrow_mut().next(Instant::now()) else { return };
        log::warn!(
            crowded = crowded, connections = self.count.get(), limit = self.limit,
            suppressed = suppressed; "callers' connections"
        );
    }

    /// Waits until fewer than `limit` connections are open.
    pub(super) async fn wait_below(&self, limit: usize) {
        while self.count.get() >= limit {
            self.next_close().await;
        }
    }

    /// Waits until a connection is free. Evicts stalled ones meanwhile.
    pub(super) async fn wait_for_room(&self) {
        while self.count.get() >= self.limit {
            self.memory.evict_longest_stalled();
            // Without an eviction now, another connection may be stalled by then.
            let _ = monoio::time::timeout(EVICTION_INTERVAL, self.next_close()).await;
        }
    }

    async fn next_close(&self) {
        let signal = ShutdownSignal::new();
        self.closed.set(Some(signal.clone()));
        signal.triggered().await;
    }
}
