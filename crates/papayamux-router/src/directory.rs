//! The backend servers known to the router, each with its agent.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use papayamux_state::claims::DeclaredServer;
use papayamux_state::ids::{ModelId, ServerId};

use crate::agents::{AgentPeer, AgentUpdates, RouterIdentity};
use crate::claims::{FleetTracker, WitnessEntry};
use crate::metrics::RouterMetrics;
use crate::settings::ServerEntry;

/// A backend server with its agent.
pub struct ServerRecord {
    /// The server as declared.
    pub entry: ServerEntry,
    /// Its agent.
    pub peer: Rc<AgentPeer>,
}

/// The servers for a path.
pub struct PathRoute {
    /// The declared path prefix.
    pub prefix: String,
    /// Whether calls may be retried.
    pub idempotent: bool,
    /// The servers.
    pub servers: Vec<Rc<ServerRecord>>,
}

/// All servers in force. Replacing them keeps the connections to those that remain.
pub struct ServerDirectory {
    identity: RouterIdentity,
    metrics: RouterMetrics,
    updates: Rc<AgentUpdates>,
    records: RefCell<HashMap<ServerId, Rc<ServerRecord>>>,
    draining: RefCell<Rc<BTreeSet<ServerId>>>,
    fleets: RefCell<Option<Rc<FleetTracker>>>,
}

impl ServerDirectory {
    /// Creates a directory of the given servers.
    pub fn new(
        identity: RouterIdentity,
        metrics: RouterMetrics,
        updates: Rc<AgentUpdates>,
        entries: Vec<ServerEntry>,
    ) -> Rc<Self> {
        let directory = Self {
            identity,
            metrics,
            updates,
            records: RefCell::default(),
            draining: RefCell::default(),
            fleets: RefCell::default(),
        };
        directory.replace(entries);
        Rc::new(directory)
    }

    /// Returns the state that agents update without a query.
    pub fn updates(&self) -> &AgentUpdates {
        &self.updates
    }

    /// Replaces all servers by `entries`.
    pub fn replace(&self, entries: Vec<ServerEntry>) {
        let mut records = self.records.borrow_mut();
        let mut previous = std::mem::take(&mut *records);
        for entry in entries {
            let known = previous.remove(&entry.server);
            let peer = match known {
                Some(record) if record.entry.agent == entry.agent => record.peer.clone(),
                _ => self.new_peer(&entry),
            };
            records.insert(entry.server.clone(), Rc::new(ServerRecord { entry, peer }));
        }
        self.updates.loads.retain(|server| records.contains_key(server));
        drop(records);
        self.update_fleet_tracker();
    }

    /// Replaces the set of draining servers, which get no new requests. They stay declared, and
    /// their agents stay witnesses: routers with different lists of draining servers must still
    /// agree on the fleet.
    pub fn set_draining(&self, draining: Rc<BTreeSet<ServerId>>) {
        *self.draining.borrow_mut() = draining;
    }

    /// Sets the tracker that is updated with the servers in force, now and whenever they are
    /// replaced.
    pub fn set_fleet_tracker(&self, tracker: Rc<FleetTracker>) {
        *self.fleets.borrow_mut() = Some(tracker);
        self.update_fleet_tracker();
    }

    fn update_fleet_tracker(&self) {
        let Some(tracker) = self.fleets.borrow().clone() else { return };
        let declare = |record: &Rc<ServerRecord>| {
            let (server, domain) = (record.entry.server.clone(), record.entry.domain.clone());
            (DeclaredServer { server, domain }, record.peer.clone())
        };
        tracker.put_in_force(self.records.borrow().values().map(declare).collect());
    }

    /// Returns the declared servers of `entries`, each with its agent.
    pub fn witness_peers(&self, entries: &[WitnessEntry]) -> Vec<(DeclaredServer, Rc<AgentPeer>)> {
        let peer_of = |entry: &WitnessEntry| self.peer_at(&entry.declared.server, entry.agent);
        entries.iter().map(|entry| (entry.declared.clone(), peer_of(entry))).collect()
    }

    /// Returns the agent of `server` at `address`, even if this router doesn't know the server.
    pub fn peer_at(&self, server: &ServerId, address: SocketAddr) -> Rc<AgentPeer> {
        let records = self.records.borrow();
        let known = records.get(server).filter(|record| record.entry.agent == address);
        match known {
            Some(record) => record.peer.clone(),
            None => self.connect_to(server, address),
        }
    }

    fn new_peer(&self, entry: &ServerEntry) -> Rc<AgentPeer> {
        self.connect_to(&entry.server, entry.agent)
    }

    fn connect_to(&self, server: &ServerId, address: SocketAddr) -> Rc<AgentPeer> {
        let (identity, metrics) = (self.identity.clone(), self.metrics.clone());
        let updates = self.updates.clone();
        Rc::new(AgentPeer::new(server.clone(), address, identity, metrics, updates))
    }

    /// Returns the record of `server`, if it is known.
    pub fn record(&self, server: &ServerId) -> Option<Rc<ServerRecord>> {
        self.records.borrow().get(server).cloned()
    }

    /// Returns the servers of a model that accept new requests, in no particular order.
    pub fn serving(&self, model: &ModelId) -> Vec<Rc<ServerRecord>> {
        self.select(|entry| entry.models.contains(model))
    }

    /// Returns the servers for a path that accept new requests, by its longest declared prefix.
    pub fn for_path(&self, path: &str) -> Option<PathRoute> {
        let longest = {
            let records = self.records.borrow();
            let prefixes = records.values().flat_map(|record| &record.entry.paths);
            let fitting = prefixes.filter(|prefix| has_prefix(path, prefix));
            fitting.max_by_key(|prefix| prefix.len())?.clone()
        };
        let servers = self.select(|entry| entry.paths.contains(&longest));
        let idempotent = servers.iter().all(|record| record.entry.idempotent);
        Some(PathRoute { prefix: longest, idempotent, servers })
    }

    fn select(&self, wanted: impl Fn(&ServerEntry) -> bool) -> Vec<Rc<ServerRecord>> {
        let (records, draining) = (self.records.borrow(), self.draining.borrow());
        let takes_work = |entry: &ServerEntry| !draining.contains(&entry.server);
        let fits = |record: &&Rc<ServerRecord>| wanted(&record.entry) && takes_work(&record.entry);
        records.values().filter(fits).cloned().collect()
    }
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
