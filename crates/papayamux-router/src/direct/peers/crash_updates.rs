//! Announces requests under which servers crashed to the other routers at once.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::crash_quarantine::NoticeOrigin;
use papayamux_protocol::router_report::RouterReport;
use papayamux_state::crash_record::CrashNotice;

use super::PeerExchange;
use crate::direct::fleet::CrashUpdate;

/// Maximum bytes per second of such updates, in addition to reports and prefills.
const MAX_CRASH_BYTES_PER_SECOND: f64 = 4_000.0;

impl PeerExchange {
    /// Announces crashes and cleared requests to other routers, indefinitely.
    pub(super) async fn announce_crashes(self: Rc<Self>) {
        loop {
            let CrashUpdate { observed, received } = self.fleet.next_crash_update().await;
            let bytes = self.send_crashes(observed, NoticeOrigin::Observed.fanout()).await
                + self.send_crashes(received, NoticeOrigin::Received.fanout()).await;
            let pause = Duration::from_secs_f64(bytes as f64 / MAX_CRASH_BYTES_PER_SECOND);
            monoio::time::sleep(pause).await;
        }
    }

    async fn send_crashes(&self, crashes: Vec<CrashNotice>, limit: usize) -> usize {
        if crashes.is_empty() {
            return 0;
        }
        let targets = self.sample_alive(limit);
        self.send_partial(RouterReport { crashes, ..RouterReport::default() }, &targets).await
    }

    /// Returns some of the routers that are alive, others each time.
    pub(super) fn sample_alive(&self, limit: usize) -> Vec<IpAddr> {
        let mut alive = self.peers.borrow().alive(Instant::now());
        if alive.len() > limit {
            let first = rand::random_range(0..alive.len());
            alive.rotate_left(first);
            alive.truncate(limit);
        }
        alive
    }
}
