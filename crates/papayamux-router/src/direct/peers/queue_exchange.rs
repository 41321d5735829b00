//! Exchanges messages about shared queues with the other routers.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::select;
use papayamux_protocol::router_report::RouterReport;
use papayamux_state::capacity_class::CapacityClass;

use super::PeerExchange;
use crate::direct::fleet::{KnownOwners, QueueMessage, QueueRound};

/// Number of routers that are told of a shortage of slots at once. Those that didn't know of it
/// tell others.
const NOTICE_FANOUT: usize = 32;
/// Minimum pause between two rounds. What comes meanwhile, from this router or others, is decided on
/// together. The pause doesn't depend on the size of messages: requests that come in groups find
/// fewer places in a full queue, and a router with many callers would be at a disadvantage.
const ROUND_PAUSE: Duration = Duration::from_millis(2);

impl PeerExchange {
    /// Polls the shared queues at each change, or when they are due, indefinitely.
    pub(super) async fn exchange_queues(self: Rc<Self>) {
        loop {
            let changed = self.fleet.shared_queue_change();
            let now = Instant::now();
            let routers = || self.routers_with_capacity();
            let owners = KnownOwners { own: self.own_address(), routers: &routers };
            let round = self.fleet.poll_shared_queues(&owners, now);
            let next_poll = round.next_poll;
            let has_messages = !round.messages.is_empty();
            self.send_queue_round(round).await;
            if has_messages {
                monoio::time::sleep(ROUND_PAUSE).await;
            }
            match next_poll {
                None => changed.triggered().await,
                Some(at) => {
                    let pause = at.saturating_duration_since(Instant::now()).max(ROUND_PAUSE);
                    let due = std::pin::pin!(monoio::time::sleep(pause));
                    select(changed.triggered(), due).await;
                }
            }
        }
    }

    fn routers_with_capacity(&self) -> Vec<(IpAddr, CapacityClass)> {
        let own = (self.own_address(), self.fleet.settings().capacity);
        self.peers.borrow().capacities().chain([own]).collect()
    }

    async fn send_queue_round(&self, round: QueueRound) {
        let QueueRound { messages, contended, .. } = round;
        let mut bytes = 0;
        for (target, message) in messages {
            let report = match message {
                QueueMessage::Report(report) => {
                    self.fleet.metrics().shared_queue.count("report_sent");
                    RouterReport { queue_report: Some(report), ..RouterReport::default() }
                }
                QueueMessage::Answer(answer) => {
                    self.fleet.metrics().shared_queue.count("answer_sent");
                    RouterReport { queue_answer: Some(answer), ..RouterReport::default() }
                }
            };
            bytes += self.send_partial(report, &[target]).await;
        }
        if !contended.is_empty() {
            let targets = self.sample_alive(NOTICE_FANOUT);
            self.fleet.metrics().shared_queue.count("notice_sent");
            let report = RouterReport { contended, ..RouterReport::default() };
            bytes += self.send_partial(report, &targets).await;
        }
        self.fleet.metrics().shared_queue_bytes.inc_by(bytes as u64);
    }
}
