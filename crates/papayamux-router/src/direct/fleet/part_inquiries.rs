//! Asks the owner of a shared part who holds it, and answers for the parts that this router owns.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::part_flights::PromptReading;
use papayamux_coordination::part_owners::{is_worth_telling, AnswerTimes};
use papayamux_coordination::placement::HolderNote;
use papayamux_coordination::server_evidence::ServerStanding;
use papayamux_protocol::part_inquiry::{PartAnswer, PartHolder};
use papayamux_state::ids::{ServerId, ServerKey, ServiceId};
use papayamux_state::prompt::{PartId, PromptChain};
use papayamux_state::quantities::TokenCount;
use papayamux_transport::shutdown::ShutdownSignal;

use super::part_waits::StartedReading;
use super::Fleet;

/// Holders named in one answer: one to use, and others where that one is busy.
const MOST_HOLDERS: usize = 4;

/// A question that is to be put to the owner of its part.
pub(in crate::direct) struct PartInquiry {
    /// The prefix that ends with the part.
    pub part: PartId,
    /// Where the answer goes.
    pub reply: oneshot::Sender<PartAnswer>,
}

/// What waits to be sent to owners of parts.
#[derive(Default)]
pub(super) struct OwnerMail {
    inquiries: RefCell<Vec<PartInquiry>>,
    notes: RefCell<Vec<StartedReading>>,
    waiting: RefCell<ShutdownSignal>,
    answers: RefCell<AnswerTimes>,
}

impl Fleet {
    /// Asks the owner of a prompt's shared part who holds it, where this router knows nobody. Returns
    /// whether nobody does.
    pub(in crate::direct) async fn ask_for_holders(
        &self,
        service: &ServiceId,
        prompt: &PromptChain,
    ) -> bool {
        let shared = prompt.shared_tokens();
        let prefixes = prompt.shared_prefixes();
        let Some((part, _)) = prefixes.last().copied() else { return false };
        let asks = self.uses(Mechanism::PartOwners)
            && is_worth_telling(shared.get())
            && !self.knows_holder(service, part);
        let reading = self.profiles.borrow().service_speed(service).reading_time(shared);
        let patience = self.mail.answers.borrow().patience(reading).filter(|_| asks);
        let Some(patience) = patience else { return false };
        let asked = Instant::now();
        let (reply, answer) = oneshot::channel();
        self.mail.inquiries.borrow_mut().push(PartInquiry { part, reply });
        self.mail.waiting.take().trigger();
        // Without an answer the home is believed to hold the part, as if nobody had been asked.
        let Ok(Ok(answer)) = monoio::time::timeout(patience, answer).await else {
            self.metrics.part_inquiries.count("unanswered");
            return false;
        };
        self.note_owner_answer(asked.elapsed());
        let found = self.take_holders(&prefixes, &answer);
        let result = match (found, answer.is_sure) {
            (true, _) => "found",
            (false, true) => "nobody",
            (false, false) => "unknown",
        };
        self.metrics.part_inquiries.count(result);
        !found && answer.is_sure
    }

    /// Notes how long an owner's answer took.
    pub(in crate::direct) fn note_owner_answer(&self, took: Duration) {
        self.mail.answers.borrow_mut().note(took);
    }

    /// Tells the owner of a part that a server holds it from now on, or will when it has read it.
    pub(super) fn tell_owner(&self, started: StartedReading) {
        if self.uses(Mechanism::PartOwners) {
            self.mail.notes.borrow_mut().push(started);
            self.mail.waiting.take().trigger();
        }
    }

    /// Waits until there is something for owners of parts; returns all of it.
    pub(in crate::direct) async fn next_mail(&self) -> (Vec<PartInquiry>, Vec<StartedReading>) {
        let is_empty =
            self.mail.inquiries.borrow().is_empty() && self.mail.notes.borrow().is_empty();
        if is_empty {
            let waiting = self.mail.waiting.borrow().clone();
            waiting.triggered().await;
        }
        (self.mail.inquiries.take(), self.mail.notes.take())
    }

    /// The servers that are known to hold a part or to read it, those that hold it first.
    pub(in crate::direct) fn holders_of(&self, part: PartId) -> Vec<PartHolder> {
        let now = Instant::now();
        let (warm, flights) = (self.warm.borrow(), self.flights.borrow());
        let holding = warm.iter().filter(|(_, cache)| cache.holds(part)).map(|(server, _)| {
            let (cold, left) = flights.reading(server, part, now).unwrap_or_default();
            let reading_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            PartHolder { server: ServerKey::from(server), cold, reading_ms }
        });
        let mut holders: Vec<_> = holding.collect();
        holders.sort_unstable_by_key(|holder| (holder.reading_ms, holder.server.0));
        holders.truncate(MOST_HOLDERS);
        holders
    }

    /// Whether a server is known to hold a part against which nothing speaks.
    fn knows_holder(&self, service: &ServiceId, part: PartId) -> bool {
        let (presence, warm) = (self.presence.borrow(), self.warm.borrow());
        let (evidence, now) = (self.evidence.borrow(), Instant::now());
        let mut servers = presence.catalog().of_service(service);
        servers.any(|server| {
            warm.get(&server.id).is_some_and(|cache| cache.holds(part))
                && evidence.standing(&server.id, now) == ServerStanding::Good
        })
    }

    /// Takes in who holds a part; whether anybody does that is there.
    fn take_holders(&self, prefixes: &[(PartId, TokenCount)], answer: &PartAnswer) -> bool {
        let mut found = false;
        for holder in &answer.holders {
            let Some(server) = self.server_by_key(holder.server) else { continue };
            found = true;
            self.take_holder(server, prefixes, *holder);
        }
        found
    }

    fn take_holder(&self, server: ServerId, prefixes: &[(PartId, TokenCount)], holder: PartHolder) {
        if holder.reading_ms == 0 {
            self.note_holder(&HolderNote { server, prefixes: prefixes.to_vec() });
            return;
        }
        let reading = PromptReading {
            cold: holder.cold,
            begun: Instant::now(),
            expected: Duration::from_millis(u64::from(holder.reading_ms)),
            ahead: holder.cold,
            waiting: 0,
        };
        let reading = Some(reading);
        self.note_reading(&StartedReading { server, prefixes: prefixes.to_vec(), reading });
    }
}
