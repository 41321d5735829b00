//! Prefills of shared parts: a request waits while its engine prefills them for another request, of
//! this router or of others.

use std::time::{Duration, Instant};

use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::part_owners::is_worth_announcing;
use papayamux_coordination::part_prefills::{PrefillTicket, PromptPrefill};
use papayamux_coordination::placement::HolderUpdate;
use papayamux_state::ids::ServerId;
use papayamux_state::prompt::PartId;
use papayamux_state::quantities::TokenCount;

use super::{ChosenServer, Fleet};

/// The start or the end of an engine's prefill, for the other routers.
#[derive(Debug, Clone)]
pub(in crate::direct) struct PrefillUpdate {
    /// The engine.
    pub server: ServerId,
    /// The shared prefixes of the prompt, with their tokens.
    pub prefixes: Vec<(PartId, TokenCount)>,
    /// The prefill in progress; `None` after its end.
    pub prefill: Option<PromptPrefill>,
}

/// A prefill for a request of this router.
pub(in crate::direct) struct OwnPrefill {
    ticket: PrefillTicket,
    /// The start as announced to the other routers.
    announced: Option<PrefillUpdate>,
}

/// Returns whether the owner of the last part should know the holders of the chain.
fn is_worth_reporting(prefixes: &[(PartId, TokenCount)]) -> bool {
    is_worth_announcing(prefixes.iter().map(|(_, tokens)| tokens.get()).sum())
}

impl Fleet {
    /// Waits while a server prefills the same parts for another request, up to `wait_budget`.
    /// Returns the duration of the wait; `None` if there is no such prefill.
    pub(in crate::direct) async fn wait_for_parts(
        &self,
        server: &ServerId,
        prefixes: &[(PartId, TokenCount)],
        wait_budget: Duration,
    ) -> Option<Duration> {
        if !self.uses(Mechanism::PartWaits) {
            return None;
        }
        let begun = Instant::now();
        let mut waited = false;
        loop {
            let now = Instant::now();
            let deadline = self.part_prefills.borrow().wait_until(server, prefixes, now);
            let Some(deadline) = deadline.map(|deadline| deadline.min(begun + wait_budget)) else {
                break;
            };
            waited = true;
            let left = deadline.saturating_duration_since(now);
            let read = self.prefill_ended.borrow().clone();
            if left.is_zero() || monoio::time::timeout(left, read.triggered()).await.is_err() {
                break;
            }
        }
        waited.then(|| begun.elapsed())
    }

    /// Records that the chosen server starts to prefill, for a request, those of the given parts
    /// that it isn't known to hold.
    pub(in crate::direct) fn begin_prefill(
        &self,
        chosen: &ChosenServer,
        prefixes: &[(PartId, TokenCount)],
    ) -> OwnPrefill {
        let held = chosen.placement.held;
        let mut end = TokenCount::default();
        let lacking = prefixes.iter().filter(|(_, tokens)| {
            end += *tokens;
            end > held
        });
        let lacking: Vec<_> = lacking.copied().collect();
        // If the server is only assumed to hold a part, it may have to prefill it.
        let assumed = match chosen.fetch_from {
            None => chosen.placement.assumed,
            Some(_) => TokenCount::default(),
        };
        let cold = chosen.placement.cold + assumed;
        let speed = self.speed(&chosen.server, Instant::now());
        let expected = chosen.expected + speed.prefill_time(assumed);
        let now = Instant::now();
        let server = &chosen.server.id;
        let ahead = TokenCount::new(self.load_at(&chosen.server, now).backlog);
        let waiting = self.queue_reports.borrow().waiting(server, now);
        let prefill = PromptPrefill { cold, started_at: now, expected, ahead, waiting };
        if !lacking.is_empty() && is_worth_reporting(prefixes) {
            let prefill = Some(prefill);
            self.notify_owner(PrefillUpdate {
                server: server.clone(),
                prefixes: prefixes.to_vec(),
                prefill,
            });
        }
        let is_announced =
            self.uses(Mechanism::ReadingsTold) && prefill.is_worth_announcing(&lacking);
        let announced = is_announced.then(|| {
            // The complete chain is announced, so that the order of its parts is known.
            let prefixes = prefixes.to_vec();
            PrefillUpdate { server: server.clone(), prefixes, prefill: Some(prefill) }
        });
        if let Some(update) = &announced {
            self.announce_prefill(update.clone());
        }
        OwnPrefill {
            ticket: self.part_prefills.borrow_mut().begin(server, &lacking, prefill),
            announced,
        }
    }

    fn announce_prefill(&self, update: PrefillUpdate) {
        self.prefills.borrow_mut().push(update);
        self.prefill_begun.take().trigger();
    }

    /// Waits until there are starts or ends of prefills to announce to other routers; returns all
    /// of them.
    pub(in crate::direct) async fn next_prefills(&self) -> Vec<PrefillUpdate> {
        if self.prefills.borrow().is_empty() {
            let begun = self.prefill_begun.borrow().clone();
            begun.triggered().await;
        }
        self.prefills.take()
    }

    /// Records the start or the end of a prefill for another router.
    pub(in crate::direct) fn record_prefill(&self, update: &PrefillUpdate) {
        let PrefillUpdate { server, prefixes, prefill } = update;
        match prefill {
            Some(prefill) => {
                let note = HolderUpdate { server: server.clone(), prefixes: prefixes.clone() };
                self.record_holder(&note);
                self.part_prefills.borrow_mut().record_remote(server, prefixes, *prefill);
            }
            None => {
                self.part_prefills.borrow_mut().end_remote(server, prefixes);
                self.prefill_ended.take().trigger();
            }
        }
    }

    /// Records that the prefill of a request has ended or won't take place.
    pub(in crate::direct) fn end_prefill(&self, own: OwnPrefill) {
        self.part_prefills.borrow_mut().end(&own.ticket);
        if let Some(announced) = own.announced {
            self.announce_prefill(PrefillUpdate { prefill: None, ..announced });
        }
        self.prefill_ended.take().trigger();
    }
}
