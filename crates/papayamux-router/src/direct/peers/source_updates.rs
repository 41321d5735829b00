//! Follows a router that reads the source, and sends updates to the followers of this one.

use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_protocol::fleet_update::{FleetUpdate, FollowRequest};
use papayamux_protocol::router_report::RouterReport;

use super::PeerExchange;

/// Interval between two follow requests to the followed router, which sends updates for 2.5 s after
/// each, so that one request may be lost.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two choices of the followed router, which is part of the delay that a silent
/// reader may cause.
const ROLE_CHOICE_INTERVAL: Duration = Duration::from_millis(150);

impl PeerExchange {
    /// Repeatedly chooses the router to follow, and sends it follow requests.
    pub(super) async fn follow(self: Rc<Self>) {
        let mut requests: HashMap<IpAddr, Instant> = HashMap::new();
        loop {
            let now = Instant::now();
            let known = self.peers.borrow().known();
            self.fleet.choose_source_role(&known, now);
            let asked = self.fleet.asked_routers();
            requests.retain(|router, _| asked.contains(router));
            for router in asked {
                let is_due = requests
                    .get(&router)
                    .is_none_or(|sent| now.saturating_duration_since(*sent) >= FOLLOW_INTERVAL);
                let Some(request) = self.fleet.follow_request(self.life).filter(|_| is_due) else {
                    continue;
                };
                requests.insert(router, now);
                let report = RouterReport { follow: Some(request), ..RouterReport::default() };
                self.send_partial(report, &[router]).await;
            }
            monoio::time::sleep(ROLE_CHOICE_INTERVAL).await;
        }
    }

    pub(super) fn receive_follow_request(
        self: &Rc<Self>,
        sender: IpAddr,
        request: FollowRequest,
        now: Instant,
    ) {
        let Some(update) = self.fleet.record_follower(sender, request, now) else { return };
        let exchange = self.clone();
        monoio::spawn(async move { exchange.send_update(sender, update).await });
    }

    /// Sends newer state to the followers at once.
    pub(super) async fn send_updates(self: Rc<Self>) {
        loop {
            for (follower, update) in self.fleet.next_updates().await {
                self.send_update(follower, update).await;
            }
        }
    }

    async fn send_update(&self, follower: IpAddr, update: FleetUpdate) {
        let report = RouterReport { news: Some(update), ..RouterReport::default() };
        self.send_partial(report, &[follower]).await;
    }
}
