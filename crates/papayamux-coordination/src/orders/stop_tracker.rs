//! When a server may stop serving weights, so that the last one never does.
//!
//! A server that wants to stop says so in its book first, and from then on does not count for
//! others. It then asks the other declared servers, and stops only where enough of them serve and
//! do not want to stop. Of all servers that stop, take the one that began to want it last: those
//! that it counted on did not want to stop then, and have not begun since, so that they serve on.
//! This holds whatever the servers' lists say and however messages are delayed; the time for which
//! an answer counts only bounds how old it may be when servers fail.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use papayamux_protocol::serving::ServingRefusal;
use papayamux_state::ids::ServerId;
use papayamux_state::weights::WeightsRef;

/// Another server's word that it serves weights and does not want to stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingEvidence {
    /// The server.
    pub server: ServerId,
    /// Until when its word counts, from the time at which it was asked.
    pub until: Instant,
}

/// What this server wants to stop serving, and has stopped serving.
#[derive(Debug)]
pub struct StopTracker {
    startup_deadline: Instant,
    stopping: BTreeSet<WeightsRef>,
    stopped: BTreeSet<WeightsRef>,
}

impl StopTracker {
    /// The book of an agent that starts at `now`. For the time `quiet_for` others can't count on
    /// it: an order that its predecessor sent may still be on its way to the engine.
    pub fn new(startup_delay: Duration, now: Instant) -> Self {
        let startup_deadline = now + startup_delay;
        Self { startup_deadline, stopping: BTreeSet::new(), stopped: BTreeSet::new() }
    }

    /// Answers a server that wants to stop whether it can count on this one for `weights`;
    /// `is_serving` says whether the engine answers requests for them.
    pub fn answer(
        &self,
        weights: &WeightsRef,
        is_serving: bool,
        now: Instant,
    ) -> Result<(), ServingRefusal> {
        if self.stopping.contains(weights) || self.stopped.contains(weights) {
            return Err(ServingRefusal::StopsItself);
        }
        if !is_serving {
            return Err(ServingRefusal::NotServing);
        }
        if now < self.startup_deadline {
            return Err(ServingRefusal::JustStarted);
        }
        Ok(())
    }

    /// Notes the wish to stop serving `weights`; evidence that counts is asked for after this.
    pub fn begin_stop(&mut self, weights: &WeightsRef) {
        self.stopping.insert(weights.clone());
    }

    /// The wish has gone, or the server serves `weights` again. All evidence is void.
    pub fn resume_serving(&mut self, weights: &WeightsRef) {
        self.stopping.remove(weights);
        self.stopped.remove(weights);
    }

    /// Stops serving `weights` if `needed` of `evidence` count at the time that `clock` tells.
    /// The time is taken once more after the stop, in case the process was paused in between.
    pub fn stop(
        &mut self,
        weights: &WeightsRef,
        evidence: &[ServingEvidence],
        needed: usize,
        clock: impl Fn() -> Instant,
    ) -> bool {
        if !self.stopping.contains(weights) || !is_enough(evidence, needed, clock()) {
            return false;
        }
        self.stopped.insert(weights.clone());
        if !is_enough(evidence, needed, clock()) {
            self.stopped.remove(weights);
            return false;
        }
        true
    }

    /// Stops serving `weights` that nobody may ask for any more.
    pub fn stop_unneeded(&mut self, weights: &WeightsRef) {
        self.stopped.insert(weights.clone());
    }

    /// Whether this server has stopped serving `weights`.
    pub fn has_stopped(&self, weights: &WeightsRef) -> bool {
        self.stopped.contains(weights)
    }

    /// What this server has stopped serving.
    pub fn stopped(&self) -> impl Iterator<Item = &WeightsRef> {
        self.stopped.iter()
    }

    /// What this server wants to stop serving.
    pub fn stopping(&self) -> impl Iterator<Item = &WeightsRef> {
        self.stopping.iter()
    }
}

/// Whether `needed` of `evidence` count at `now`.
fn is_enough(evidence: &[ServingEvidence], needed: usize, now: Instant) -> bool {
    evidence.iter().filter(|entry| entry.until > now).count() >= needed
}
