//! State shared by the two directions of a proxied connection.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use papayamux_transport::shutdown::ShutdownSignal;

use super::chunk_queue::ChunkQueue;
use super::link_faults::{FaultyWays, LinkDirection, LinkFaults};

/// State of one direction of a connection.
#[derive(Default)]
struct DirectionState {
    queue: ChunkQueue,
    dropped: Cell<bool>,
    half_closed: Cell<bool>,
    read_ended: ShutdownSignal,
    passed: Cell<u64>,
}

/// A connection through the proxy.
pub struct ProxyConnection {
    faults: Cell<LinkFaults>,
    changed: RefCell<ShutdownSignal>,
    cut: ShutdownSignal,
    directions: [DirectionState; 2],
}

impl ProxyConnection {
    /// Creates a connection with the given faults.
    pub fn new(faults: LinkFaults) -> Self {
        let connection = Self {
            faults: Cell::default(),
            changed: RefCell::default(),
            cut: ShutdownSignal::new(),
            directions: Default::default(),
        };
        connection.set_faults(faults);
        connection
    }

    /// Replaces the faults. A direction that has discarded bytes keeps doing so.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.faults.set(faults);
        for direction in [LinkDirection::ToTarget, LinkDirection::ToClient] {
            if faults.drop.include(direction) {
                self.direction(direction).dropped.set(true);
            }
        }
        self.notify_change();
    }

    /// Closes both sides immediately. Undelivered bytes are lost.
    pub fn cut(&self) {
        self.cut.trigger();
    }

    /// Waits until [`Self::cut`] is called.
    pub async fn wait_cut(&self) {
        self.cut.triggered().await;
    }

    /// Closes the given directions as if their senders had closed them, after the queued bytes.
    pub fn half_close(&self, directions: FaultyWays) {
        for direction in [LinkDirection::ToTarget, LinkDirection::ToClient] {
            if directions.include(direction) {
                self.direction(direction).half_closed.set(true);
            }
        }
        self.notify_change();
    }

    /// Returns `true` if `direction` was closed by [`Self::half_close`].
    pub fn is_half_closed(&self, direction: LinkDirection) -> bool {
        self.direction(direction).half_closed.get()
    }

    /// Returns the queue of `direction`.
    pub fn queue(&self, direction: LinkDirection) -> &ChunkQueue {
        &self.direction(direction).queue
    }

    /// Returns `true` if bytes in `direction` are discarded.
    pub fn drops(&self, direction: LinkDirection) -> bool {
        self.direction(direction).dropped.get()
    }

    /// Returns `true` if bytes and closes in `direction` are withheld or discarded.
    pub fn hides(&self, direction: LinkDirection) -> bool {
        self.drops(direction) || self.faults.get().hold.include(direction)
    }

    /// Waits until bytes in `direction` are not withheld, or are discarded anyway.
    pub async fn wait_released(&self, direction: LinkDirection) {
        while self.faults.get().hold.include(direction) && !self.drops(direction) {
            self.wait_change().await;
        }
    }

    /// Waits for the next change of the faults or half-closes.
    pub async fn wait_change(&self) {
        let changed = self.changed.borrow().clone();
        changed.triggered().await;
    }

    /// Returns the delay of every byte.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.faults.get().delay_ms)
    }

    /// Returns the number of bytes that may still be delivered in `direction` before the connection
    /// is closed, or `None` if unlimited. Only the direction to the client has a limit.
    pub fn allowance(&self, direction: LinkDirection) -> Option<u64> {
        self.faults.get().cut_after_bytes.filter(|_| direction == LinkDirection::ToClient)
    }

    /// Records that bytes were delivered in `direction`.
    pub fn record_passed(&self, direction: LinkDirection, bytes: u64) {
        let passed = &self.direction(direction).passed;
        passed.set(passed.get() + bytes);
        if let Some(left) = self.allowance(direction) {
            let cut_after_bytes = Some(left.saturating_sub(bytes));
            self.faults.set(LinkFaults { cut_after_bytes, ..self.faults.get() });
        }
    }

    /// Returns the number of bytes delivered in `direction`.
    pub fn passed(&self, direction: LinkDirection) -> u64 {
        self.direction(direction).passed.get()
    }

    /// Returns the signal given once the sender in `direction` closed its side or reading failed.
    pub fn read_ended(&self, direction: LinkDirection) -> &ShutdownSignal {
        &self.direction(direction).read_ended
    }

    fn notify_change(&self) {
        self.changed.take().trigger();
    }

    fn direction(&self, direction: LinkDirection) -> &DirectionState {
        &self.directions[direction.index()]
    }
}
