//! Shared parts of prompts that engines are reading at the moment.
//!
//! The load that this answers: several prompts with the same long part that arrive while no engine
//! holds it, as after a start, when a document becomes popular or when its engine was lost. An engine
//! caches a part when it has read it. What is sent to it meanwhile reads the same part beside it:
//! both get their first token later than if the second had waited for the first, and so does whatever
//! else runs there. A request therefore waits until the part is read, if that saves enough of its own
//! reading.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;
use papayamux_state::prompt::PartId;
use papayamux_state::quantities::TokenCount;

/// Tokens below which a part isn't worth a wait: a few steps of an engine.
const MIN_AWAITED_TOKENS: u64 = 256;
/// Part of what is being read that a request must share with it to wait for it. Below this its own
/// reading is so much shorter that an engine that reads both in turns answers it sooner.
const MIN_SHARED_FRACTION: f64 = 0.5;
/// How many times as long as expected a reading may take before nobody waits for it any more. Where an
/// engine is slow, waiting is still shorter than reading beside it; where it has stopped, the request
/// that reads leaves it and ends the wait.
const MAX_OVERRUN_FACTOR: f64 = 2.0;
/// Part of what an engine has to read before a request's first event that must be the request's own for
/// others to wait for it.
const MIN_OWN_FRACTION: f64 = 0.5;
/// Tokens of shared parts from which other routers are told of a reading at once: it takes tens of
/// milliseconds and more, many times as long as the word travels.
const MIN_ANNOUNCED_TOKENS: u64 = 1_000;
/// How long a reading of another router is believed at most. Word of its end may be lost, or its router;
/// longer ones are for engines so slow that a caller should not depend on a datagram.
const MAX_REMOTE_DURATION: Duration = Duration::from_secs(3);
/// The reader of what is read for another router.
const REMOTE_READER: u64 = 0;
/// Part of its caller's time for which a request waits at most, whatever is expected.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// A request that reads a part for the first time at its engine.
#[derive(Debug)]
struct PartPrefill {
    reader: u64,
    /// Tokens of the whole prompt that its engine has to read.
    cold: TokenCount,
    /// When it is no longer waited for.
    until: Instant,
}

/// What a request reads at its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPrefill {
    /// Tokens of its prompt that the engine has to read.
    pub cold: TokenCount,
    /// When it was sent.
    pub begun: Instant,
    /// How long until its first event.
    pub expected: Duration,
    /// Tokens that the engine has to read in all before that.
    pub ahead: TokenCount,
    /// Requests that wait at the engine, by its own report.
    pub waiting: u32,
}

impl PromptPrefill {
    /// Whether other routers should hear at once that these shared parts are being read.
    pub fn is_worth_announcing(&self, parts: &[(PartId, TokenCount)]) -> bool {
        let shared: TokenCount = parts.iter().map(|(_, tokens)| *tokens).sum();
        shared.get() >= MIN_ANNOUNCED_TOKENS && self.begins_soon()
    }

    /// Whether others may wait for it. Behind others in an engine's queue it takes long to begin, and
    /// who waited outside would lose its own place there.
    fn begins_soon(&self) -> bool {
        self.waiting == 0 && self.cold.get() as f64 >= self.ahead.get() as f64 * MIN_OWN_FRACTION
    }
}

/// Names one reading of parts, to end it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillTicket {
    server: ServerId,
    prefixes: Vec<PartId>,
    reader: u64,
}

/// What one router's requests are reading, by engine.
#[derive(Debug, Default)]
pub struct PartPrefills {
    prefills: HashMap<ServerId, HashMap<PartId, PartPrefill>>,
    readers: u64,
}

impl PartPrefills {
    /// Notes that a request is sent to `server` which reads, among other things, those parts of
    /// `prefixes` that nobody reads there yet.
    pub fn begin(
        &mut self,
        server: &ServerId,
        prefixes: &[(PartId, TokenCount)],
        prefill: PromptPrefill,
    ) -> PrefillTicket {
        let until = prefill.begun + prefill.expected.mul_f64(MAX_OVERRUN_FACTOR);
        let cold = prefill.cold;
        self.readers += 1;
        let reader = self.readers;
        let mut covered = Vec::new();
        let prefills = self.prefills.entry(server.clone()).or_default();
        for (prefix, _) in prefixes.iter().filter(|_| prefill.begins_soon()) {
            let part_prefill =
                prefills.entry(*prefix).or_insert(PartPrefill { reader, cold, until });
            if part_prefill.until <= prefill.begun {
                *part_prefill = PartPrefill { reader, cold, until };
            }
            if part_prefill.reader == reader {
                covered.push(*prefix);
            }
        }
        PrefillTicket { server: server.clone(), prefixes: covered, reader }
    }

    /// Notes what `server` has begun to read for another router. Word of its end may be lost.
    pub fn record_remote(
        &mut self,
        server: &ServerId,
        prefixes: &[(PartId, TokenCount)],
        prefill: PromptPrefill,
    ) {
        let until = prefill.begun + prefill.expected.min(MAX_REMOTE_DURATION);
        let prefills = self.prefills.entry(server.clone()).or_default();
        for (prefix, _) in prefixes {
            let part_prefill = PartPrefill { reader: REMOTE_READER, cold: prefill.cold, until };
            prefills.entry(*prefix).or_insert(part_prefill);
        }
    }

    /// Notes that what `server` read for another router is read.
    pub fn end_remote(&mut self, server: &ServerId, prefixes: &[(PartId, TokenCount)]) {
        let Some(prefills) = self.prefills.get_mut(server) else { return };
        for (prefix, _) in prefixes {
            if prefills.get(prefix).is_some_and(|part_prefill| part_prefill.reader == REMOTE_READER)
            {
                prefills.remove(prefix);
            }
        }
    }

    /// What `server` still reads for a part, where it is reading it: the tokens of that prompt, and the
    /// time until it is no longer waited for.
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

    /// Forgets readings of other routers that are over.
    pub fn forget_old(&mut self, now: Instant) {
        for prefills in self.prefills.values_mut() {
            prefills.retain(|_, part_prefill| {
                part_prefill.reader != REMOTE_READER || part_prefill.until > now
            });
        }
        self.prefills.retain(|_, prefills| !prefills.is_empty());
    }

    /// Notes that a request's prompt was read, or that it won't be.
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

    /// Until when a request with these shared prefixes should wait at most for what `server` is
    /// reading; `None` where it should be sent.
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
        let saved: u64 = covered.iter().map(|(tokens, _)| tokens).sum();
        let longest = covered.iter().map(|(_, part_prefill)| part_prefill.cold.get()).max()?;
        let pays =
            saved >= MIN_AWAITED_TOKENS && saved as f64 >= longest as f64 * MIN_SHARED_FRACTION;
        covered.iter().map(|(_, part_prefill)| part_prefill.until).max().filter(|_| pays)
    }
}

/// How long a request may wait for parts in all, by the time that its caller has left.
pub fn prefill_wait_budget(left: Duration) -> Duration {
    left.mul_f64(MAX_WAIT_FRACTION)
}
