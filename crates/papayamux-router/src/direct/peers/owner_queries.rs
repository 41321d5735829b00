//! Queries to the owners of shared parts, answers for the parts that this router owns, and
//! notifications of new holders.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Instant;

use futures_channel::oneshot;
use papayamux_coordination::part_owners::{part_owner, OWNER_LEARNING_DURATION, OWNER_TIMEOUT};
use papayamux_protocol::part_inquiry::{PartAnswer, PartQuery};
use papayamux_protocol::router_report::RouterReport;
use papayamux_state::prompt::PartId;

use super::exchange::reported_prefill;
use super::PeerExchange;
use crate::direct::fleet::PartInquiry;

/// A query without an answer so far.
pub(super) struct OpenQuery {
    owner: IpAddr,
    queried_at: Instant,
    reply: oneshot::Sender<PartAnswer>,
}

impl PeerExchange {
    /// Sends queries about parts to their owners, and notifies owners of new holders.
    pub(super) async fn send_to_owners(self: Rc<Self>) {
        loop {
            let (inquiries, updates) = self.fleet.next_owner_messages().await;
            for inquiry in inquiries {
                self.query_owner(inquiry).await;
            }
            let now = Instant::now();
            for update in updates {
                let Some((part, _)) = update.prefixes.last() else { continue };
                let owner = self.owner_of(*part);
                let Some(prefill) = reported_prefill(&update, now) else { continue };
                if owner != self.own_address() {
                    let report =
                        RouterReport { readings: vec![prefill], ..RouterReport::default() };
                    self.send_partial(report, &[owner]).await;
                }
            }
        }
    }

    fn owner_of(&self, part: PartId) -> IpAddr {
        let own = self.own_address();
        let known = self.peers.borrow().known();
        part_owner(part, known.into_iter().chain([own])).unwrap_or(own)
    }

    async fn query_owner(&self, inquiry: PartInquiry) {
        let PartInquiry { part, reply } = inquiry;
        let owner = self.owner_of(part);
        let now = Instant::now();
        if owner == self.own_address() {
            // The querying request may be gone, and nothing else waits for the answer.
            let _ = reply.send(self.part_answer(0, part));
            return;
        }
        if !self.silent_owners.borrow().allow(owner, now) {
            return;
        }
        let number = self.record_query(owner, reply, now);
        let part_question = Some(PartQuery { number, part });
        let report = RouterReport { part_question, ..RouterReport::default() };
        self.send_partial(report, &[owner]).await;
    }

    /// Records a query that is about to be sent; returns its number.
    fn record_query(&self, owner: IpAddr, reply: oneshot::Sender<PartAnswer>, now: Instant) -> u64 {
        let number = self.last_query_number.get() + 1;
        self.last_query_number.set(number);
        let mut open = self.open_queries.borrow_mut();
        // A late answer still shows how long answers take; an owner without any answer counts as
        // silent.
        open.retain(|_, query| {
            let is_lost = now.saturating_duration_since(query.queried_at) >= OWNER_TIMEOUT;
            if is_lost {
                self.silent_owners.borrow_mut().record(query.owner, now);
            }
            !is_lost
        });
        open.insert(number, OpenQuery { owner, queried_at: now, reply });
        number
    }

    pub(super) fn answer_part_query(self: &Rc<Self>, sender: IpAddr, query: PartQuery) {
        let part_answer = Some(self.part_answer(query.number, query.part));
        let exchange = self.clone();
        monoio::spawn(async move {
            let report = RouterReport { part_answer, ..RouterReport::default() };
            exchange.send_partial(report, &[sender]).await;
        });
    }

    fn part_answer(&self, number: u64, part: PartId) -> PartAnswer {
        let is_sure = self.started.elapsed() >= OWNER_LEARNING_DURATION;
        PartAnswer { number, holders: self.fleet.holders_of(part), is_sure }
    }

    pub(super) fn receive_part_answer(&self, sender: IpAddr, answer: PartAnswer) {
        let open = self.open_queries.borrow_mut().remove(&answer.number);
        let Some(query) = open.filter(|query| query.owner == sender) else { return };
        if query.reply.send(answer).is_err() {
            self.fleet.record_owner_answer(query.queried_at.elapsed());
        }
    }
}
