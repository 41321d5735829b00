//! Questions to the owners of shared parts, answers for the parts that this router owns, and word of new
//! holders.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Instant;

use futures_channel::oneshot;
use papayamux_coordination::part_owners::{part_owner, OWNER_LEARNS_FOR, SILENT_AFTER};
use papayamux_protocol::part_inquiry::{PartAnswer, PartQuery};
use papayamux_protocol::router_report::RouterReport;
use papayamux_state::prompt::PartId;

use super::exchange::reported_reading;
use super::PeerExchange;
use crate::direct::fleet::PartInquiry;

/// A question that was asked.
pub(super) struct OpenQuestion {
    owner: IpAddr,
    asked: Instant,
    reply: oneshot::Sender<PartAnswer>,
}

impl PeerExchange {
    /// Puts questions about parts to their owners, and tells owners of new holders.
    pub(super) async fn write_to_owners(self: Rc<Self>) {
        loop {
            let (inquiries, notes) = self.fleet.next_mail().await;
            for inquiry in inquiries {
                self.ask_owner(inquiry).await;
            }
            let now = Instant::now();
            for started in notes {
                let Some((part, _)) = started.prefixes.last() else { continue };
                let owner = self.owner_of(*part);
                let Some(reading) = reported_reading(&started, now) else { continue };
                if owner != self.own_address() {
                    let report =
                        RouterReport { readings: vec![reading], ..RouterReport::default() };
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

    async fn ask_owner(&self, inquiry: PartInquiry) {
        let PartInquiry { part, reply } = inquiry;
        let owner = self.owner_of(part);
        let now = Instant::now();
        if owner == self.own_address() {
            // Whoever asked may have gone; nobody else waits for the answer.
            let _ = reply.send(self.part_answer(0, part));
            return;
        }
        if !self.silent_owners.borrow().allow(owner, now) {
            return;
        }
        let number = self.note_question(owner, reply, now);
        let part_question = Some(PartQuery { number, part });
        let report = RouterReport { part_question, ..RouterReport::default() };
        self.send_partial(report, &[owner]).await;
    }

    /// Notes a question that is about to be asked; returns its number.
    fn note_question(
        &self,
        owner: IpAddr,
        reply: oneshot::Sender<PartAnswer>,
        now: Instant,
    ) -> u64 {
        let number = self.asked.get() + 1;
        self.asked.set(number);
        let mut open = self.open_questions.borrow_mut();
        // What is answered late still tells how long answers take; what isn't answered at all, who is gone.
        open.retain(|_, question| {
            let is_lost = now.saturating_duration_since(question.asked) >= SILENT_AFTER;
            if is_lost {
                self.silent_owners.borrow_mut().note(question.owner, now);
            }
            !is_lost
        });
        open.insert(number, OpenQuestion { owner, asked: now, reply });
        number
    }

    pub(super) fn answer_part_question(self: &Rc<Self>, sender: IpAddr, question: PartQuery) {
        let part_answer = Some(self.part_answer(question.number, question.part));
        let exchange = self.clone();
        monoio::spawn(async move {
            let report = RouterReport { part_answer, ..RouterReport::default() };
            exchange.send_partial(report, &[sender]).await;
        });
    }

    fn part_answer(&self, number: u64, part: PartId) -> PartAnswer {
        let is_sure = self.started.elapsed() >= OWNER_LEARNS_FOR;
        PartAnswer { number, holders: self.fleet.holders_of(part), is_sure }
    }

    pub(super) fn take_part_answer(&self, sender: IpAddr, answer: PartAnswer) {
        let open = self.open_questions.borrow_mut().remove(&answer.number);
        let Some(question) = open.filter(|question| question.owner == sender) else { return };
        if question.reply.send(answer).is_err() {
            self.fleet.note_owner_answer(question.asked.elapsed());
        }
    }
}
