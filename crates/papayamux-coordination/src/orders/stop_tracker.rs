//! Decides when a server may stop serving weights, so that the last one never does.
//!
//! A server that wants to stop records this first, and from then on doesn't count for others. It then
//! queries the other declared servers, and stops only if enough of them serve and don't want to stop. Of
//! all servers that stop, consider the one that recorded its intention last: those that it counted on
//! didn't want to stop at that time and haven't begun to since, so that they keep serving. This holds for
//! any lists of servers and any message delays. The validity of an answer only bounds its age in case
//! servers fail.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use papayamux_protocol::serving::ServingRefusal;
use papayamux_state::ids::ServerId;
use papayamux_state::weights::WeightsRef;

/// Another server's confirmation that it serves weights and doesn't want to stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingEvidence {
    /// The confirming server.
    pub server: ServerId,
    /// Time at which the confirmation expires, counted from the query.
    pub until: Instant,
}

/// Tracks the weights that this server wants to stop serving, and those that it has stopped serving.
#[derive(Debug)]
pub struct StopTracker {
    startup_deadline: Instant,
    stopping: BTreeSet<WeightsRef>,
    stopped: BTreeSet<WeightsRef>,
}

impl StopTracker {
    /// Creates the tracker of an agent that starts at `now`. For `startup_delay`, other servers can't count
    /// on it, as an order of its predecessor may still be in flight to the engine.
    pub fn new(startup_delay: Duration, now: Instant) -> Self {
        let startup_deadline = now + startup_delay;
        Self { startup_deadline, stopping: BTreeSet::new(), stopped: BTreeSet::new() }
    }

    /// Answers a server that wants to stop. Returns `Ok` if it can count on this one for `weights`;
    /// `is_serving` tells whether the engine answers requests for them.
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

    /// Records the intention to stop serving `weights`. Evidence only counts if queried after this.
    pub fn begin_stop(&mut self, weights: &WeightsRef) {
        self.stopping.insert(weights.clone());
    }

    /// Records that the server keeps serving `weights`, or serves them again. Invalidates all evidence.
    pub fn resume_serving(&mut self, weights: &WeightsRef) {
        self.stopping.remove(weights);
        self.stopped.remove(weights);
    }

    /// Stops serving `weights` if at least `needed` entries of `evidence` are valid at the time of `clock`.
    /// The time is checked again after the stop, in case the process was paused in between. Returns whether
    /// the server has stopped.
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

    /// Stops serving `weights` that callers may no longer request.
    pub fn stop_unneeded(&mut self, weights: &WeightsRef) {
        self.stopped.insert(weights.clone());
    }

    /// Returns whether this server has stopped serving `weights`.
    pub fn has_stopped(&self, weights: &WeightsRef) -> bool {
        self.stopped.contains(weights)
    }

    /// Returns the weights that this server has stopped serving.
    pub fn stopped(&self) -> impl Iterator<Item = &WeightsRef> {
        self.stopped.iter()
    }

    /// Returns the weights that this server wants to stop serving.
    pub fn stopping(&self) -> impl Iterator<Item = &WeightsRef> {
        self.stopping.iter()
    }
}

/// Returns whether at least `needed` entries of `evidence` are valid at `now`.
fn is_enough(evidence: &[ServingEvidence], needed: usize, now: Instant) -> bool {
    evidence.iter().filter(|entry| entry.until > now).count() >= needed
}
