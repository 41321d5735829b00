//! What the two ways of one proxied connection share.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use papayamux_transport::shutdown::ShutdownSignal;

use super::chunk_queue::ChunkQueue;
use super::link_faults::{FaultyWays, LinkFaults, LinkWay};

/// One way's share of a connection.
#[derive(Default)]
struct WayState {
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
    ways: [WayState; 2],
}

impl ProxyConnection {
    /// A connection that shows `faults`.
    pub fn new(faults: LinkFaults) -> Self {
        let connection = Self {
            faults: Cell::default(),
            changed: RefCell::default(),
            cut: ShutdownSignal::new(),
            ways: Default::default(),
        };
        connection.set_faults(faults);
        connection
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.faults.set(faults);
        for way in [LinkWay::ToTarget, LinkWay::ToClient] {
            if faults.drop.include(way) {
                self.way(way).dropped.set(true);
            }
        }
        self.tell_change();
    }

    /// Closes both sides at once; what was not delivered is lost.
    pub fn cut(&self) {
        self.cut.trigger();
    }

    /// Waits until the connection is cut.
    pub async fn wait_cut(&self) {
        self.cut.triggered().await;
    }

    /// Ends the given ways as if their senders had closed them, after what waits.
    pub fn half_close(&self, ways: FaultyWays) {
        for way in [LinkWay::ToTarget, LinkWay::ToClient] {
            if ways.include(way) {
                self.way(way).half_closed.set(true);
            }
        }
        self.tell_change();
    }

    /// Whether `way` was ended by [`Self::half_close`].
    pub fn is_half_closed(&self, way: LinkWay) -> bool {
        self.way(way).half_closed.get()
    }

    /// What waits on `way`.
    pub fn queue(&self, way: LinkWay) -> &ChunkQueue {
        &self.way(way).queue
    }

    /// Whether what comes on `way` is thrown away.
    pub fn drops(&self, way: LinkWay) -> bool {
        self.way(way).dropped.get()
    }

    /// Whether the other side may not see what happens on `way`.
    pub fn hides(&self, way: LinkWay) -> bool {
        self.drops(way) || self.faults.get().hold.include(way)
    }

    /// Waits until `way` is not held, or its bytes are thrown away anyway.
    pub async fn wait_released(&self, way: LinkWay) {
        while self.faults.get().hold.include(way) && !self.drops(way) {
            self.wait_change().await;
        }
    }

    /// Waits for the next change of faults.
    pub async fn wait_change(&self) {
        let changed = self.changed.borrow().clone();
        changed.triggered().await;
    }

    /// By how much bytes are late.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.faults.get().delay_ms)
    }

    /// Bytes that may still go to the client before the connection is cut.
    pub fn allowance(&self, way: LinkWay) -> Option<u64> {
        self.faults.get().cut_after_bytes.filter(|_| way == LinkWay::ToClient)
    }

    /// Notes that bytes were delivered on `way`.
    pub fn note_passed(&self, way: LinkWay, bytes: u64) {
        let passed = &self.way(way).passed;
        passed.set(passed.get() + bytes);
        if let Some(left) = self.allowance(way) {
            let cut_after_bytes = Some(left.saturating_sub(bytes));
            self.faults.set(LinkFaults { cut_after_bytes, ..self.faults.get() });
        }
    }

    /// Bytes delivered on `way`.
    pub fn passed(&self, way: LinkWay) -> u64 {
        self.way(way).passed.get()
    }

    /// Given once the sender on `way` has closed its side or broken off.
    pub fn read_ended(&self, way: LinkWay) -> &ShutdownSignal {
        &self.way(way).read_ended
    }

    fn tell_change(&self) {
        self.changed.take().trigger();
    }

    fn way(&self, way: LinkWay) -> &WayState {
        &self.ways[way.index()]
    }
}
