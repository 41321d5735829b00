//! The load bound: the number of requests that an agent admits before other agents have to take
//! their share.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use papayamux_protocol::link::AgentClock;
use papayamux_state::load::{GroupId, GroupLoad, LoadFactor};
use papayamux_state::quantities::RequestCount;

/// Age at which the weight of a reported mean has decayed to 1/e.
const MEAN_DECAY: Duration = Duration::from_millis(200);
/// Weight below which a mean has expired.
const MIN_WEIGHT: f64 = 0.01;
/// Maximum number of groups whose means an agent keeps.
const MAX_GROUPS: usize = 64;

/// Weighted average of a group's mean as reported by many routers. The weight of a report is the
/// number of fresh load reports it is made of, and decays with age.
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

/// The mean loads of the groups that an agent belongs to.
#[derive(Debug)]
pub struct LoadBound {
    factor: LoadFactor,
    estimates: RefCell<HashMap<GroupId, MeanEstimate>>,
}

impl LoadBound {
    /// Creates a bound of `factor` times the mean.
    pub fn new(factor: LoadFactor) -> Self {
        Self { factor, estimates: RefCell::default() }
    }

    /// Adds a mean reported by a router.
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

    /// Returns the maximum number of running requests for a group. Returns `None` if its mean is
    /// not known, or if the server is the only one: its own load is the mean then, whatever an old
    /// report says.
    pub fn limit(&self, group: GroupId, now: AgentClock) -> Option<RequestCount> {
        let estimate = self.estimates.borrow().get(&group)?.decayed(now);
        (estimate.weight > MIN_WEIGHT && estimate.servers > 1)
            .then(|| self.factor.limit(estimate.weighted / estimate.weight, estimate.servers))
    }
}
