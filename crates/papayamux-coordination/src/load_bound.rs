//! The load bound: how many requests an agent admits before others have to take their share.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use papayamux_protocol::link::AgentClock;
use papayamux_state::load::{GroupId, GroupLoad, LoadFactor};
use papayamux_state::quantities::RequestCount;

/// Age at which what a router said of the mean counts for 1/e.
const MEAN_DECAY: Duration = Duration::from_millis(200);
/// Weight below which a mean is no longer believed.
const MIN_WEIGHT: f64 = 0.01;
/// Groups of which an agent keeps the mean.
const MAX_GROUPS: usize = 64;

/// What many routers say of a group's mean, each word counted by how many fresh reports it is
/// made of and less the older it is.
#[derive(Debug, Clone, Copy)]
struct MeanEstimate {
    weighted: f64,
    weight: f64,
    servers: u32,
    received_at: AgentClock,
}

impl MeanEstimate {
    fn decayed(self, now: AgentClock) -> Self {
        let age_ms = now.0.saturating_sub(self.received_at.0) as f64;
        let factor = (-age_ms / MEAN_DECAY.as_millis() as f64).exp();
        Self {
            weighted: self.weighted * factor,
            weight: self.weight * factor,
            servers: self.servers,
            received_at: self.received_at.max(now),
        }
    }
}

/// An agent's knowledge of the mean loads of the groups it belongs to.
#[derive(Debug)]
pub struct LoadBound {
    factor: LoadFactor,
    estimates: RefCell<HashMap<GroupId, MeanEstimate>>,
}

impl LoadBound {
    /// A bound of `factor` times the mean.
    pub fn new(factor: LoadFactor) -> Self {
        Self { factor, estimates: RefCell::default() }
    }

    /// Takes in what a router says of the mean.
    pub fn record_mean(&self, load: &GroupLoad, now: AgentClock) {
        let mut estimates = self.estimates.borrow_mut();
        if estimates.len() >= MAX_GROUPS && !estimates.contains_key(&load.group) {
            estimates.retain(|_, estimate| estimate.decayed(now).weight > MIN_WEIGHT);
            if estimates.len() >= MAX_GROUPS {
                return;
            }
        }
        let fresh = MeanEstimate { weighted: 0.0, weight: 0.0, servers: 0, received_at: now };
        let estimate = estimates.entry(load.group).or_insert(fresh);
        *estimate = estimate.decayed(now);
        estimate.weighted += load.mean * load.samples;
        estimate.weight += load.samples;
        estimate.servers = load.servers;
    }

    /// The most requests that may run for a group; `None` where its mean is not known, or where
    /// the server is the only one: what it carries is the mean then, whatever an old report says.
    pub fn limit(&self, group: GroupId, now: AgentClock) -> Option<RequestCount> {
        let estimate = self.estimates.borrow().get(&group)?.decayed(now);
        (estimate.weight > MIN_WEIGHT && estimate.servers > 1)
            .then(|| self.factor.limit(estimate.weighted / estimate.weight, estimate.servers))
    }
}
