//! The declared fleet as claims need it, with the fleets before it and their agents.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use papayamux_coordination::claims::FleetWindow;
use papayamux_state::claims::{ClaimKey, DeclaredServer, FleetDigest, FleetView};
use papayamux_state::ids::ServerId;

use super::ClaimSettings;
use crate::agents::AgentPeer;

/// Whom to ask for a key.
pub struct WitnessSets {
    /// The fleets that count, the one in force first.
    pub digests: Vec<FleetDigest>,
    /// The key's witnesses in each of them.
    pub fleets: Vec<Vec<ServerId>>,
}

/// Learns of each declared fleet and remembers those that still count.
pub struct FleetTracker {
    settings: ClaimSettings,
    window: RefCell<Option<FleetWindow>>,
    peers: RefCell<HashMap<ServerId, Rc<AgentPeer>>>,
}

impl FleetTracker {
    /// A keeper that knows of no fleet yet.
    pub fn new(settings: ClaimSettings) -> Rc<Self> {
        Rc::new(Self { settings, window: RefCell::default(), peers: RefCell::default() })
    }

    /// The settings of claims.
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

    /// Whom to ask for `key`; nothing where no fleet is known, or too many count.
    pub fn witnesses(&self, key: ClaimKey) -> Option<WitnessSets> {
        let now = Instant::now();
        let window = self.window.borrow();
        let window = window.as_ref()?;
        Some(WitnessSets { digests: window.digests(now)?, fleets: window.witnesses(key, now) })
    }

    /// The agent of a server that counts.
    pub fn peer(&self, server: &ServerId) -> Option<Rc<AgentPeer>> {
        self.peers.borrow().get(server).cloned()
    }
}
