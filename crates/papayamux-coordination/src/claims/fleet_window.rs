//! The declared fleet, and the previous ones that still count.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use papayamux_state::claims::{ClaimKey, FleetDigest, FleetView};
use papayamux_state::ids::ServerId;

/// Maximum number of fleets that one claim names, the current one included. With more fleets in one
/// window, no key is claimed.
const MAX_CLAIM_FLEETS: usize = 8;

#[derive(Debug, Clone)]
struct PreviousView {
    view: FleetView,
    until: Instant,
}

/// The fleet in force, and each one that was in force within the last window. A key may have been
/// granted by the witnesses of any of them.
#[derive(Debug, Clone)]
pub struct FleetWindow {
    window: Duration,
    current: FleetView,
    previous: Vec<PreviousView>,
}

impl FleetWindow {
    /// Creates the window of a router that knows no fleet before `current`. Witnesses that know an
    /// earlier one refuse the router's claims until that fleet no longer counts.
    pub fn new(current: FleetView, window: Duration) -> Self {
        Self { window, current, previous: Vec::new() }
    }

    /// Puts `view` in force and keeps the previous fleet for one window.
    pub fn replace(&mut self, view: FleetView, now: Instant) {
        self.previous.retain(|previous| previous.until > now);
        if view.digest() == self.current.digest() {
            return;
        }
        let view = std::mem::replace(&mut self.current, view);
        self.previous.retain(|previous| previous.view.digest() != view.digest());
        self.previous.push(PreviousView { view, until: now + self.window });
    }

    /// Returns the digests that a claim at `now` names, the fleet in force first; `None` if more fleets
    /// count than a claim may name.
    pub fn digests(&self, now: Instant) -> Option<Vec<FleetDigest>> {
        let views = self.views(now);
        (views.len() <= MAX_CLAIM_FLEETS).then(|| views.iter().map(|view| view.digest()).collect())
    }

    /// Returns the witnesses of `key` in each fleet that counts at `now`, the fleet in force first.
    pub fn witnesses(&self, key: ClaimKey, now: Instant) -> Vec<Vec<ServerId>> {
        self.views(now).iter().map(|view| view.witnesses(key)).collect()
    }

    /// Returns the servers of all fleets that count at `now`.
    pub fn servers(&self, now: Instant) -> HashSet<ServerId> {
        let views = self.views(now);
        views.iter().flat_map(|view| view.servers()).map(|known| known.server.clone()).collect()
    }

    fn views(&self, now: Instant) -> Vec<&FleetView> {
        let previous_views = self.previous.iter().filter(|previous| previous.until > now);
        let mut views = vec![&self.current];
        for previous in previous_views {
            if previous.view.digest() != self.current.digest() {
                views.push(&previous.view);
            }
        }
        views
    }
}
