//! Queries the owner of a shared part for its holders, and answers for the parts that this router
//! owns.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::part_owners::{is_worth_announcing, AnswerTimes};
use papayamux_coordination::part_prefills::PromptPrefill;
use papayamux_coordination::placement::HolderUpdate;
use papayamux_coordination::server_evidence::ServerStanding;
use papayamux_protocol::part_inquiry::{PartAnswer, PartHolder};
use papayamux_state::ids::{ServerId, ServerKey, ServiceId};
use papayamux_state::prompt::{PartId, PromptChain};
use papayamux_state::quantities::TokenCount;
use papayamux_transport::shutdown::ShutdownSignal;

use super::part_prefills::PrefillUpdate;
use super::Fleet;

/// Maximum number of holders in an answer: one to use, and others in case it is busy.
const MAX_HOLDERS: usize = 4;

/// A query to the owner of a part.
pub(in crate::direct) struct PartInquiry {
    /// The prefix that ends with the part.
    pub part: PartId,
    /// Receives the answer.
    pub reply: oneshot::Sender<PartAnswer>,
}

/// Messages to be sent to the owners of parts.
#[derive(Default)]
pub(super) struct OwnerOutbox {
    inquiries: RefCell<Vec<PartInquiry>>,
    updates: RefCell<Vec<PrefillUpdate>>,
    waiting: RefCell<ShutdownSignal>,
    answers: RefCell<AnswerTimes>,
}

impl Fleet {
    /// Queries the owner of a prompt's shared part for its holders if this router knows none.
    /// Returns `true` if no server holds the part.
    pub(in crate::direct) async fn query_holders(
        &self,
        service: &ServiceId,
        prompt: &PromptChain,
    ) -> bool {
        let shared = prompt.shared_tokens();
        let prefixes = prompt.shared_prefixes();
        let Some((part, _)) = prefixes.last().copied() else { return false };
        let asks = self.uses(Mechanism::PartOwners)
            && is_worth_announcing(shared.get())
            && !self.knows_holder(service, part);
        let prefill = self.profiles.borrow().service_speed(service).prefill_time(shared);
        let wait_budget = self.outbox.answers.borrow().wait_budget(prefill).filter(|_| asks);
        let Some(wait_budget) = wait_budget else { return false };
        let queried_at = Instant::now();
        let (reply, answer) = oneshot::channel();
        self.outbox.inquiries.borrow_mut().push(PartInquiry { part, reply });
        self.outbox.waiting.take().trigger();
        // Without an answer the home is assumed to hold the part, as if the owner had not been
        // queried.
        let Ok(Ok(answer)) = monoio::time::timeout(wait_budget, answer).await else {
            self.metrics.part_inquiries.count("unanswered");
            return false;
        };
        self.record_owner_answer(queried_at.elapsed());
        let found = self.record_reported_holders(&prefixes, &answer);
        let result = match (found, answer.is_sure) {
            (true, _) => "found",
            (false, true) => "nobody",
            (false, false) => "unknown",
        };
        self.metrics.part_inquiries.count(result);
        !found && answer.is_sure
    }

    /// Records how long an owner took to answer.
    pub(in crate::direct) fn record_owner_answer(&self, elapsed: Duration) {
        self.outbox.answers.borrow_mut().record(elapsed);
    }

    /// Notifies the owner of a part that a server holds it, or will hold it after its prefill.
    pub(super) fn notify_owner(&self, update: PrefillUpdate) {
        if self.uses(Mechanism::PartOwners) {
            self.outbox.updates.borrow_mut().push(update);
            self.outbox.waiting.take().trigger();
        }
    }

    /// Waits until there are messages for owners of parts; returns all of them.
    pub(in crate::direct) async fn next_owner_messages(
        &self,
    ) -> (Vec<PartInquiry>, Vec<PrefillUpdate>) {
        let is_empty =
            self.outbox.inquiries.borrow().is_empty() && self.outbox.updates.borrow().is_empty();
        if is_empty {
            let waiting = self.outbox.waiting.borrow().clone();
            waiting.triggered().await;
        }
        (self.outbox.inquiries.take(), self.outbox.updates.take())
    }

    /// Returns the servers that are known to hold or prefill a part, those that hold it first.
    pub(in crate::direct) fn holders_of(&self, part: PartId) -> Vec<PartHolder> {
        let now = Instant::now();
        let (warm, part_prefills) = (self.warm.borrow(), self.part_prefills.borrow());
        let holding = warm.iter().filter(|(_, cache)| cache.holds(part)).map(|(server, _)| {
            let (cold, left) = part_prefills.remaining(server, part, now).unwrap_or_default();
            let reading_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            PartHolder { server: ServerKey::from(server), cold, reading_ms }
        });
        let mut holders: Vec<_> = holding.collect();
        holders.sort_unstable_by_key(|holder| (holder.reading_ms, holder.server.0));
        holders.truncate(MAX_HOLDERS);
        holders
    }

    /// Returns whether a server is known that holds a part and has no failure evidence against it.
    fn knows_holder(&self, service: &ServiceId, part: PartId) -> bool {
        let (presence, warm) = (self.presence.borrow(), self.warm.borrow());
        let (evidence, now) = (self.evidence.borrow(), Instant::now());
        let mut servers = presence.catalog().of_service(service);
        servers.any(|server| {
            warm.get(&server.id).is_some_and(|cache| cache.holds(part))
                && evidence.standing(&server.id, now) == ServerStanding::Good
        })
    }

    /// Records the holders of a part; returns whether any of them is a known server.
    fn record_reported_holders(
        &self,
        prefixes: &[(PartId, TokenCount)],
        answer: &PartAnswer,
    ) -> bool {
        let mut found = false;
        for holder in &answer.holders {
            let Some(server) = self.server_by_key(holder.server) else { continue };
            found = true;
            self.record_reported_holder(server, prefixes, *holder);
        }
        found
    }

    fn record_reported_holder(
        &self,
        server: ServerId,
        prefixes: &[(PartId, TokenCount)],
        holder: PartHolder,
    ) {
        if holder.reading_ms == 0 {
            self.record_holder(&HolderUpdate { server, prefixes: prefixes.to_vec() });
            return;
        }
        let prefill = PromptPrefill {
            cold: holder.cold,
            started_at: Instant::now(),
            expected: Duration::from_millis(u64::from(holder.reading_ms)),
            ahead: holder.cold,
            waiting: 0,
        };
        let prefill = Some(prefill);
        self.record_prefill(&PrefillUpdate { server, prefixes: prefixes.to_vec(), prefill });
    }
}
