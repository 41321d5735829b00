//! Tells the other routers at once of requests under which servers ended.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::crash_quarantine::NoticeOrigin;
use papayamux_protocol::router_report::RouterReport;
use papayamux_state::crash_record::CrashNotice;

use super::PeerExchange;
use crate::direct::fleet::CrashUpdate;

/// Bytes of such news that a router sends in a second at most, beside reports and readings.
const MAX_CRASH_BYTES_PER_SECOND: f64 = 4_000.0;

impl PeerExchange {
    /// Tells others of crashes, and of requests that are cleared, for ever.
    pub(super) async fn announce_crashes(self: Rc<Self>) {
        loop {
            let CrashUpdate { observed, received } = self.fleet.next_crash_update().await;
            let bytes = self.send_crashes(observed, NoticeOrigin::Seen.fanout()).await
                + self.send_crashes(received, NoticeOrigin::Heard.fanout()).await;
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

    /// Some of the routers that are heard, others each time.
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
