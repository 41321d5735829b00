//! Tells the other routers at once of requests under which servers ended.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::crash_quarantine::NoticeOrigin;
use papayamux_protocol::router_report::RouterReport;
use papayamux_state::crash_record::CrashNotice;

use super::PeerExchange;
use crate::direct::fleet::CrashNews;

/// Bytes of such news that a router sends in a second at most, beside reports and readings.
const MOST_BYTES_PER_SECOND: f64 = 4_000.0;

impl PeerExchange {
    /// Tells others of crashes, and of requests that are cleared, for ever.
    pub(super) async fn tell_crashes(self: Rc<Self>) {
        loop {
            let CrashNews { seen, heard } = self.fleet.next_crash_news().await;
            let bytes = self.send_crashes(seen, NoticeOrigin::Observed.fanout()).await
                + self.send_crashes(heard, NoticeOrigin::Received.fanout()).await;
            let pause = Duration::from_secs_f64(bytes as f64 / MOST_BYTES_PER_SECOND);
            monoio::time::sleep(pause).await;
        }
    }

    async fn send_crashes(&self, crashes: Vec<CrashNotice>, most: usize) -> usize {
        if crashes.is_empty() {
            return 0;
        }
        let targets = self.some_alive(most);
        self.send_partial(RouterReport { crashes, ..RouterReport::default() }, &targets).await
    }

    /// Some of the routers that are heard, others each time.
    pub(super) fn some_alive(&self, most: usize) -> Vec<IpAddr> {
        let mut alive = self.peers.borrow().alive(Instant::now());
        if alive.len() > most {
            let first = rand::random_range(0..alive.len());
            alive.rotate_left(first);
            alive.truncate(most);
        }
        alive
    }
}
