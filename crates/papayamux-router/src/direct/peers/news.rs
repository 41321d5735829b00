//! Follows a router that reads the source, and tells those that follow this one.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_protocol::fleet_update::{FleetUpdate, FollowRequest};
use papayamux_protocol::router_report::RouterReport;

use super::PeerExchange;

/// Pause between two questions to the router that is followed: it tells for 2.5 s, so that one may be lost.
const FOLLOW_EVERY: Duration = Duration::from_secs(1);
/// Pause between two choices of whom to follow, part of what a silent reader may cost.
const CHOOSE_EVERY: Duration = Duration::from_millis(150);

impl PeerExchange {
    /// Chooses again and again whom to follow, and asks there to be told of changes.
    pub(super) async fn follow(self: Rc<Self>) {
        let mut asked: Option<(IpAddr, Instant)> = None;
        loop {
            let now = Instant::now();
            let known = self.peers.borrow().known();
            self.fleet.choose_source_role(&known, now);
            if let Some((followed, request)) = self.fleet.follow_request(self.life) {
                let due = asked.is_none_or(|(router, at)| {
                    router != followed || now.saturating_duration_since(at) >= FOLLOW_EVERY
                });
                if due {
                    asked = Some((followed, now));
                    self.send_partial(
                        RouterReport { follow: Some(request), ..RouterReport::default() },
                        &[followed],
                    )
                    .await;
                }
            }
            monoio::time::sleep(CHOOSE_EVERY).await;
        }
    }

    pub(super) fn take_follower(
        self: &Rc<Self>,
        sender: IpAddr,
        request: FollowRequest,
        now: Instant,
    ) {
        let Some(news) = self.fleet.note_follower(sender, request, now) else { return };
        let exchange = self.clone();
        monoio::spawn(async move { exchange.send_news(sender, news).await });
    }

    /// Tells the followers at once of whatever is newer.
    pub(super) async fn tell_news(self: Rc<Self>) {
        loop {
            for (follower, news) in self.fleet.next_news().await {
                self.send_news(follower, news).await;
            }
        }
    }

    async fn send_news(&self, follower: IpAddr, news: FleetUpdate) {
        let report = RouterReport { news: Some(news), ..RouterReport::default() };
        self.send_partial(report, &[follower]).await;
    }
}
