//! Whether a service is short of slots, as far as a router knows.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::backend::ReportedQueue;
use papayamux_state::ids::ServerKey;

/// Time after the last sign at which a shortage counts as over. Refused callers return within a few
/// seconds, and a shortage that only pauses until then is the same one.
const CONTENTION_DURATION: Duration = Duration::from_secs(3);
/// Age at which a server's report expires. Callers with objectives of 300 ms notice a shortage that
/// is seen later, and reports of before it must not hide it for longer than half of that.
const REPORT_EXPIRY: Duration = Duration::from_millis(150);
/// Minimum time between two notices to the other routers. Two in a row may be lost before a router
/// forgets the shortage.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// The signs of a shortage of slots at one service.
///
/// A queue at a single server is no shortage: its requests could have gone to another server. The
/// service is contended while the servers that report have more requests than slots in total, and
/// for some seconds after the last sign.
#[derive(Debug, Default)]
pub struct ContentionTracker {
    /// What each server reported, and when.
    servers: HashMap<ServerKey, (ReportedQueue, Instant)>,
    last_sign: Option<Instant>,
    last_owned: Option<Instant>,
    last_notice: Option<Instant>,
    relay_due: bool,
}

impl ContentionTracker {
    /// Records the queue of a server of the service, as the server itself reported it.
    pub fn record_occupancy(&mut self, server: ServerKey, queue: ReportedQueue, now: Instant) {
        self.servers.retain(|_, (_, reported_at)| {
            now.saturating_duration_since(*reported_at) < REPORT_EXPIRY
        });
        self.servers.insert(server, (queue, now));
        let queues = self.servers.values().map(|(queue, _)| queue);
        let slots: u64 = queues.clone().map(|queue| u64::from(queue.slots)).sum();
        let requests: u64 =
            queues.map(|queue| u64::from(queue.running) + u64::from(queue.waiting)).sum();
        if queue.waiting > 0 && requests > slots {
            self.last_sign = Some(now);
        }
    }

    /// Records that a server turned a request away because it has no room.
    pub fn record_full(&mut self, now: Instant) {
        self.last_sign = Some(now);
    }

    /// Records what the owner of the shared queue answered.
    pub fn record_owner(&mut self, is_contended: bool, now: Instant) {
        if is_contended {
            self.last_sign = Some(now);
        }
    }

    /// Records that the shared queue that this router itself owns is contended.
    pub fn record_owned(&mut self, now: Instant) {
        self.last_sign = Some(now);
        self.last_owned = Some(now);
    }

    /// Records the notice of another router that the service is contended.
    pub fn record_notice(&mut self, now: Instant) {
        self.relay_due |= !self.is_contended(now);
        self.last_sign = Some(now);
    }

    /// Returns whether the service is contended.
    pub fn is_contended(&self, now: Instant) -> bool {
        is_recent(self.last_sign, CONTENTION_DURATION, now)
    }

    /// Returns whether a notice to other routers is due, and records that it is sent. The owner
    /// sends one at most once a second, and routers that learn of the shortage from it relay it.
    pub fn take_notice(&mut self, now: Instant) -> bool {
        let is_owner = is_recent(self.last_owned, NOTICE_INTERVAL, now);
        let is_repeat = is_recent(self.last_notice, NOTICE_INTERVAL, now);
        let is_due = (is_owner || self.relay_due) && !is_repeat;
        self.relay_due = false;
        if is_due {
            self.last_notice = Some(now);
        }
        is_due
    }
}

fn is_recent(at: Option<Instant>, duration: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < duration)
}
