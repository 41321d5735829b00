//! What the two ways of one proxied connection share.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use papayamux_transport::shutdown::ShutdownSignal;

use super::chunk_queue::ChunkQueue;
use super::link_faults::{FaultyWays, LinkDirection, LinkFaults};

/// One way's share of a connection.
#[derive(Default)]
struct DirectionState {
    queue: ChunkQueue,
    dropped: Cell<bool>,
    half_closed: Cell<bool>,
    read_ended: ShutdownSignal,
    passed: Cell<u64>,
}

/// One connection through the proxy.
pub struct ProxyConnection {
    faults: Cell<LinkFaults>,
    changed: RefCell<ShutdownSignal>,
    cut: ShutdownSignal,
    directions: [DirectionState; 2],
}

impl ProxyConnection {
    /// A connection that shows `faults`.
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

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.faults.set(faults);
        for direction in [LinkDirection::ToTarget, LinkDirection::ToClient] {
            if faults.drop.include(direction) {
                self.direction(direction).dropped.set(true);
            }
        }
        self.notify_change();
    }

    /// Closes both sides at once; what was not delivered is lost.
    pub fn cut(&self) {
        self.cut.give();
    }

    /// Waits until the connection is cut.
    pub async fn wait_cut(&self) {
        self.cut.given().await;
    }

    /// Ends the given ways as if their senders had closed them, after what waits.
    pub fn half_close(&self, directions: FaultyWays) {
        for direction in [LinkDirection::ToTarget, LinkDirection::ToClient] {
            if directions.include(direction) {
                self.direction(direction).half_closed.set(true);
            }
        }
        self.notify_change();
    }

    /// Whether `way` was ended by [`Self::half_close`].
    pub fn is_half_closed(&self, direction: LinkDirection) -> bool {
        self.direction(direction).half_closed.get()
    }

    /// What waits on `way`.
    pub fn queue(&self, direction: LinkDirection) -> &ChunkQueue {
        &self.direction(direction).queue
    }

    /// Whether what comes on `way` is thrown away.
    pub fn drops(&self, direction: LinkDirection) -> bool {
        self.direction(direction).dropped.get()
    }

    /// Whether the other side may not see what happens on `way`.
    pub fn hides(&self, direction: LinkDirection) -> bool {
        self.drops(direction) || self.faults.get().hold.include(direction)
    }

    /// Waits until `way` is not held, or its bytes are thrown away anyway.
    pub async fn wait_released(&self, direction: LinkDirection) {
        while self.faults.get().hold.include(direction) && !self.drops(direction) {
            self.wait_change().await;
        }
    }

    /// Waits for the next change of faults.
    pub async fn wait_change(&self) {
        let changed = self.changed.borrow().clone();
        changed.given().await;
    }

    /// By how much bytes are late.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.faults.get().delay_ms)
    }

    /// Bytes that may still go to the client before the connection is cut.
    pub fn allowance(&self, direction: LinkDirection) -> Option<u64> {
        self.faults.get().cut_after_bytes.filter(|_| direction == LinkDirection::ToClient)
    }

    /// Notes that bytes were delivered on `way`.
    pub fn record_passed(&self, direction: LinkDirection, bytes: u64) {
        let passed = &self.direction(direction).passed;
        passed.set(passed.get() + bytes);
        if let Some(left) = self.allowance(direction) {
            let cut_after_bytes = Some(left.saturating_sub(bytes));
            self.faults.set(LinkFaults { cut_after_bytes, ..self.faults.get() });
        }
    }

    /// Bytes delivered on `way`.
    pub fn passed(&self, direction: LinkDirection) -> u64 {
        self.direction(direction).passed.get()
    }

    /// Given once the sender on `way` has closed its side or broken off.
    pub fn read_ended(&self, direction: LinkDirection) -> &ShutdownSignal {
        &self.direction(direction).read_ended
    }

    fn notify_change(&self) {
        self.changed.take().give();
    }

    fn direction(&self, direction: LinkDirection) -> &DirectionState {
        &self.directions[direction.index()]
    }
}
