//! Prefills of shared prompt parts that are in progress.
//!
//! Several prompts with the same long part may arrive while no engine holds it: after a start, when
//! a document becomes popular, or after its engine was lost. An engine caches a part only once it
//! is prefilled, and a second prompt sent to it meanwhile prefills the same part again. Both then
//! get their first token later than if the second one had waited, and all other requests on the
//! engine are delayed too. A request therefore waits for such a prefill if that saves enough of its
//! own.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::durations::saturating_after;
use papayamux_state::ids::ServerId;
use papayamux_state::prompt::PartId;
use papayamux_state::quantities::TokenCount;

/// Minimum number of tokens that a wait must save: a few steps of an engine.
const MIN_AWAITED_TOKENS: u64 = 256;
/// Minimum fraction of a prefill that a request must share in order to wait for it. With less in
/// common, its own prefill is so much shorter that an engine interleaving both answers it sooner.
const MIN_SHARED_FRACTION: f64 = 0.5;
/// Multiple of the expected time after which a prefill is no longer waited for. On a slow engine,
/// waiting is still shorter than prefilling concurrently. If the engine has stopped, the request
/// under prefill leaves it, which ends the wait.
const MAX_OVERRUN_FACTOR: f64 = 2.0;
/// Minimum fraction, of all tokens that an engine prefills before a request's first event, that
/// must belong to the request itself for others to wait for it.
const MIN_OWN_FRACTION: f64 = 0.5;
/// Minimum size of shared parts whose prefill is announced to other routers at once. It takes tens
/// of milliseconds or more, many times the delay of the message.
const MIN_ANNOUNCED_TOKENS: u64 = 1_000;
/// Maximum time for which a prefill of another router is waited for. The message about its end may
/// be lost, or its router may fail. Longer prefills occur on engines so slow that a caller should
/// not depend on a datagram.
const MAX_REMOTE_DURATION: Duration = Duration::from_secs(3);
/// Reader number of all prefills for other routers.
const REMOTE_READER: u64 = 0;
/// Maximum fraction of its caller's remaining time for which a request waits.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// A request that is the first to prefill a part on its engine.
#[derive(Debug)]
struct PartPrefill {
    reader: u64,
    /// Number of tokens of the whole prompt that the engine has to prefill.
    cold: TokenCount,
    /// Time from which it is no longer waited for.
    until: Instant,
}

/// The prefill of a request's prompt on its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPrefill {
    /// Number of prompt tokens that the engine has to prefill.
    pub cold: TokenCount,
    /// Time at which the request was sent.
    pub started_at: Instant,
    /// Expected time to the first event.
    pub expected: Duration,
    /// Number of tokens that the engine has to prefill before the first event, including those of
    /// other requests.
    pub ahead: TokenCount,
    /// Number of requests that wait at the engine, as it last reported.
    pub waiting: u32,
}

impl PromptPrefill {
    /// Returns whether the prefill of these shared parts should be announced to other routers at
    /// once.
    pub fn is_worth_announcing(&self, parts: &[(PartId, TokenCount)]) -> bool {
        let shared: TokenCount = parts.iter().map(|(_, tokens)| *tokens).sum();
        shared.get() >= MIN_ANNOUNCED_TOKENS && self.begins_soon()
    }

    /// Returns whether other requests may wait for it. A prefill queued behind others at the engine
    /// begins late, and a request that waited for it outside would lose its own position in that
    /// queue.
    fn begins_soon(&self) -> bool {
        self.waiting == 0 && self.cold.get() as f64 >= self.ahead.get() as f64 * MIN_OWN_FRACTION
    }
}

/// Identifies the parts that a request prefills, in order to end them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillTicket {
    server: ServerId,
    prefixes: Vec<PartId>,
    reader: u64,
}

/// The prefills in progress for one router's requests, by engine.
#[derive(Debug, Default)]
pub struct PartPrefills {
    prefills: HashMap<ServerId, HashMap<PartId, PartPrefill>>,
    readers: u64,
}

impl PartPrefills {
    /// Records that a request is sent to `server`, where it prefills those parts of `prefixes` that
    /// no other request is prefilling there.
    pub fn begin(
        &mut self,
        server: &ServerId,
        prefixes: &[(PartId, TokenCount)],
        prefill: PromptPrefill,
    ) -> PrefillTicket {
        let until =
            saturating_after(prefill.started_at, prefill.expected.mul_f64(MAX_OVERRUN_FACTOR));
        let cold = prefill.cold;
        self.readers += 1;
        let reader = self.readers;
        let mut covered = Vec::new();
        let prefills = self.prefills.entry(server.clone()).or_default();
        for (prefix, _) in prefixes.iter().filter(|_| prefill.begins_soon()) {
            let part_prefill =
                prefills.entry(*prefix).or_insert(PartPrefill { reader, cold, until });
            if part_prefill.until <= prefill.started_at {
                *part_prefill = PartPrefill { reader, cold, until };
            }
            if part_prefill.reader == reader {
                covered.push(*prefix);
            }
        }
        PrefillTicket { server: server.clone(), prefixes: covered, reader }
    }

    /// Records that `server` has begun a prefill for another router. The message about its end may
    /// be lost.
    pub fn record_remote(
        &mut self,
        server: &ServerId,
        prefixes: &[(PartId, TokenCount)],
        prefill: PromptPrefill,
    ) {
        let until = prefill.started_at + prefill.expected.min(MAX_REMOTE_DURATION);
        let prefills = self.prefills.entry(server.clone()).or_default();
        for (prefix, _) in prefixes {
            let part_prefill = PartPrefill { reader: REMOTE_READER, cold: prefill.cold, until };
            prefills.entry(*prefix).or_insert(part_prefill);
        }
    }

    /// Records the end of a prefill on `server` for another router.
    pub fn end_remote(&mut self, server: &ServerId, prefixes: &[(PartId, TokenCount)]) {
        let Some(prefills) = self.prefills.get_mut(server) else { return };
        for (prefix, _) in prefixes {
            if prefills.get(prefix).is_some_and(|part_prefill| part_prefill.reader == REMOTE_READER)
            {
                prefills.remove(prefix);
            }
        }
    }

    /// Returns the number of tokens of the prompt whose prefill on `server` includes the part, and
    /// the time until it is no longer waited for; `None` if there is no such prefill.
    pub fn remaining(
        &self,
        server: &ServerId,
        prefix: PartId,
        now: Instant,
    ) -> Option<(TokenCount, Duration)> {
        let part_prefill = self.prefills.get(server)?.get(&prefix)?;
        let left = part_prefill.until.saturating_duration_since(now);
        (!left.is_zero()).then_some((part_prefill.cold, left))
    }

    /// Removes prefills of other routers that are over.
    pub fn forget_old(&mut self, now: Instant) {
        for prefills in self.prefills.values_mut() {
            prefills.retain(|_, part_prefill| {
                part_prefill.reader != REMOTE_READER || part_prefill.until > now
            });
        }
        self.prefills.retain(|_, prefills| !prefills.is_empty());
    }

    /// Records that the prefill of a request is complete, or that it will not take place.
    pub fn end(&mut self, ticket: &PrefillTicket) {
        let Some(prefills) = self.prefills.get_mut(&ticket.server) else { return };
        for prefix in &ticket.prefixes {
            if prefills.get(prefix).is_some_and(|part_prefill| part_prefill.reader == ticket.reader)
            {
                prefills.remove(prefix);
            }
        }
        if prefills.is_empty() {
            self.prefills.remove(&ticket.server);
        }
    }

    /// Returns the time until which a request with these shared prefixes should wait at most for
    /// prefills on `server`; `None` if it should be sent now.
    pub fn wait_until(
        &self,
        server: &ServerId,
        prefixes: &[(PartId, TokenCount)],
        now: Instant,
    ) -> Option<Instant> {
        let prefills = self.prefills.get(server)?;
        let covered = prefixes.iter().filter_map(|(prefix, tokens)| {
            let part_prefill =
                prefills.get(prefix).filter(|part_prefill| part_prefill.until > now)?;
            Some((tokens.get(), part_prefill))
        });
        let covered: Vec<_> = covered.collect();
        let saved = covered.iter().fold(0u64, |sum, (tokens, _)| sum.saturating_add(*tokens));
        let longest = covered.iter().map(|(_, part_prefill)| part_prefill.cold.get()).max()?;
        let pays =
            saved >= MIN_AWAITED_TOKENS && saved as f64 >= longest as f64 * MIN_SHARED_FRACTION;
        covered.iter().map(|(_, part_prefill)| part_prefill.until).max().filter(|_| pays)
    }
}

/// Returns the total time that a request may wait for prefills, given the time that its caller has
/// `left`.
pub fn prefill_wait_budget(left: Duration) -> Duration {
    left.mul_f64(MAX_WAIT_FRACTION)
}
