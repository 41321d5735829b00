//! Tracks the declared fleets that determine the witnesses of claims, and the agents in them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use papayamux_coordination::claims::FleetWindow;
use papayamux_state::claims::{ClaimKey, DeclaredServer, FleetDigest, FleetView};
use papayamux_state::ids::ServerId;

use super::ClaimSettings;
use crate::agents::AgentPeer;

/// The witnesses of a key.
pub struct WitnessSets {
    /// The digests of the valid fleets, the one in force first.
    pub digests: Vec<FleetDigest>,
    /// The key's witnesses in each of these fleets.
    pub fleets: Vec<Vec<ServerId>>,
}

/// Tracks the fleet in force, and earlier fleets for as long as they are valid.
pub struct FleetTracker {
    settings: ClaimSettings,
    window: RefCell<Option<FleetWindow>>,
    peers: RefCell<HashMap<ServerId, Rc<AgentPeer>>>,
}

impl FleetTracker {
    /// Creates a tracker without a fleet.
    pub fn new(settings: ClaimSettings) -> Rc<Self> {
        Rc::new(Self { settings, window: RefCell::default(), peers: RefCell::default() })
    }

    /// Returns the settings of claims.
    pub fn settings(&self) -> &ClaimSettings {
        &self.settings
    }

    /// Puts a declared fleet in force.
    pub fn put_in_force(&self, servers: Vec<(DeclaredServer, Rc<AgentPeer>)>) {
        let now = Instant::now();
        let declared = servers.iter().map(|(server, _)| server.clone()).collect();
        let settings = &self.settings;
        let Ok(view) = FleetView::new(declared, settings.witnesses, settings.retention) else {
            return;
        };
        let mut window = self.window.borrow_mut();
        let window = match &mut *window {
            Some(window) => {
                window.replace(view, now);
                window
            }
            empty => empty.insert(FleetWindow::new(view, settings.retention)),
        };
        let mut peers = self.peers.borrow_mut();
        peers.extend(servers.into_iter().map(|(declared, peer)| (declared.server, peer)));
        let counting = window.servers(now);
        peers.retain(|server, _| counting.contains(server));
    }

    /// Returns the witnesses of `key`. Returns `None` if no fleet is known or too many are valid.
    pub fn witnesses(&self, key: ClaimKey) -> Option<WitnessSets> {
        let now = Instant::now();
        let window = self.window.borrow();
        let window = window.as_ref()?;
        Some(WitnessSets { digests: window.digests(now)?, fleets: window.witnesses(key, now) })
    }

    /// Returns the agent of a server in a valid fleet.
    pub fn peer(&self, server: &ServerId) -> Option<Rc<AgentPeer>> {
        self.peers.borrow().get(server).cloned()
    }
}
