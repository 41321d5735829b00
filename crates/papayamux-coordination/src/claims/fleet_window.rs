//! The declared fleet with the ones before it that still count.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use papayamux_state::claims::{ClaimKey, FleetDigest, FleetView};
use papayamux_state::ids::ServerId;

/// Earlier fleets kept at most. Where there are more within one window, no key is claimed.
const MAX_PREVIOUS: usize = 8;

#[derive(Debug, Clone)]
struct PreviousView {
    view: FleetView,
    until: Instant,
}

/// The fleet in force, and each that was in force within the last window: a key may have been
/// granted by the witnesses that any of them gives.
#[derive(Debug, Clone)]
pub struct FleetWindow {
    window: Duration,
    current: FleetView,
    previous: Vec<PreviousView>,
}

impl FleetWindow {
    /// The window of a router that has known no fleet before `current`. Witnesses that know of
    /// another refuse its claims until that one counts no more.
    pub fn new(current: FleetView, window: Duration) -> Self {
        Self { window, current, previous: Vec::new() }
    }

    /// Puts another fleet in force.
    pub fn replace(&mut self, view: FleetView, now: Instant) {
        self.previous.retain(|previous| previous.until > now);
        if view.digest() == self.current.digest() {
            return;
        }
        let view = std::mem::replace(&mut self.current, view);
        self.previous.retain(|previous| previous.view.digest() != view.digest());
        self.previous.push(PreviousView { view, until: now + self.window });
    }

    /// The digests that a claim at `now` names, the one in force first; none where more fleets
    /// count than a claim may name.
    pub fn digests(&self, now: Instant) -> Option<Vec<FleetDigest>> {
        let views = self.views(now);
        (views.len() <= MAX_PREVIOUS).then(|| views.iter().map(|view| view.digest()).collect())
    }

    /// The witnesses of `key` in each fleet that counts at `now`, the one in force first.
    pub fn witnesses(&self, key: ClaimKey, now: Instant) -> Vec<Vec<ServerId>> {
        self.views(now).iter().map(|view| view.witnesses(key)).collect()
    }

    /// All servers of the fleets that count at `now`.
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
