//! What a router has come to believe of servers since when, to be told to those who follow it.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use papayamux_state::backend::{BackendServer, ServerCatalog, ServerPhase};
use papayamux_state::ids::ServerName;
use papayamux_state::source::SourcePosition;
use xxhash_rust::xxh3::xxh3_64;

/// Departures kept. A follower tells its position each second, in which far fewer servers leave.
const MAX_DEPARTURES: usize = 4_096;

/// A change of what is believed of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// It is there, as described.
    Present(Rc<BackendServer>),
    /// It is gone.
    Departed {
        /// The name that it had.
        name: ServerName,
        /// Whether it lives on for a while, so that others can copy from it.
        terminating: bool,
    },
}

/// A short name of all that is believed of servers. Two routers that believe the same have the same.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerDigest(pub u64);

/// All changes between two positions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerChangeSpan {
    /// Changes behind this position,
    pub after: SourcePosition,
    /// up to this one.
    pub position: SourcePosition,
    /// The changes, one a server.
    pub changes: Vec<ServerChange>,
    /// The digest at the later position.
    pub digest: ServerDigest,
}

/// Keeps for each server at which position its present state was first believed.
///
/// A reader and its followers may note one change at different positions of the source, but never
/// before it happened: so all changes behind a position include those that happened behind it.
#[derive(Debug, Default)]
pub struct ServerChangeLog {
    present: HashMap<ServerName, (Rc<BackendServer>, SourcePosition)>,
    departed: BTreeMap<(SourcePosition, ServerName), bool>,
    /// Departures that were heard of since the last note.
    departures: Vec<ServerName>,
    /// Departures before this position are no longer known.
    base: SourcePosition,
    position: Option<SourcePosition>,
    digest: ServerDigest,
    /// Changes of the catalog that were looked at.
    seen_changes: u64,
}

impl ServerChangeLog {
    /// Notes that a server's entry went, also where the server was never known here: one that came and
    /// went between two reads may have been told to a follower by another router, which would keep it.
    pub fn record_departure(&mut self, name: ServerName) {
        self.departures.push(name);
    }

    /// Notes that everything was read at `position`: what came and went before that is not known.
    pub fn record_gap(&mut self, position: SourcePosition) {
        self.base = self.base.max(position);
    }

    /// Notes that the catalog holds what is believed at `position`; `lingers` tells whether a server
    /// that is gone lives on for a while.
    pub fn record(
        &mut self,
        catalog: &ServerCatalog,
        position: SourcePosition,
        terminating: impl Fn(&BackendServer) -> bool,
    ) {
        if self.position.is_none() {
            self.base = position;
        }
        self.position = self.position.max(Some(position));
        // Three times a second most is as before, and a catalog may have thousands of servers.
        if catalog.changes() == self.seen_changes && self.departures.is_empty() {
            return;
        }
        self.seen_changes = catalog.changes();
        let changed = catalog.iter().filter(|server| !self.is_recorded(server)).cloned();
        let changed: Vec<_> = changed.collect();
        let missing = self.present.keys().filter(|name| catalog.named(name).is_none());
        let missing: Vec<_> = missing.cloned().collect();
        let departures = std::mem::take(&mut self.departures);
        for server in changed {
            self.departed.retain(|(_, name), _| *name != server.name);
            self.present.insert(server.name.clone(), (server, position));
        }
        for name in missing {
            if let Some((server, _)) = self.present.remove(&name) {
                self.departed.insert((position, name), terminating(&server));
            }
        }
        for name in departures.into_iter().filter(|name| catalog.named(name).is_none()) {
            self.departed.entry((position, name)).or_insert(false);
        }
        while self.departed.len() > MAX_DEPARTURES {
            if let Some(((position, _), _)) = self.departed.pop_first() {
                self.base = position;
            }
        }
        self.digest = digest_of(self.present.values().map(|(server, _)| server));
    }

    /// The position up to which all is known.
    pub fn position(&self) -> Option<SourcePosition> {
        self.position
    }

    /// The digest of what is believed.
    pub fn digest(&self) -> ServerDigest {
        self.digest
    }

    /// What has changed behind `behind`; `None` where that is no longer known or lies ahead.
    pub fn since(&self, after: SourcePosition) -> Option<ServerChangeSpan> {
        let position = self.position.filter(|position| *position >= after)?;
        if after < self.base {
            return None;
        }
        let present = self.present.values().filter(|(_, since)| *since > after);
        let present = present.map(|(server, _)| ServerChange::Present(server.clone()));
        let departed = self.departed.iter().filter(|((since, _), _)| *since > after);
        let departed = departed.map(|((_, name), terminating)| ServerChange::Departed {
            name: name.clone(),
            terminating: *terminating,
        });
        let changes = departed.chain(present).collect();
        Some(ServerChangeSpan { after, position, changes, digest: self.digest })
    }

    /// Whether the entry is the one that was noted. One that changed and changed back since is another:
    /// a follower may have been told of the state between by another router.
    fn is_recorded(&self, server: &Rc<BackendServer>) -> bool {
        let known = self.present.get(&server.name);
        known.is_some_and(|(known, _)| Rc::ptr_eq(known, server))
    }
}

fn digest_of<'a>(servers: impl Iterator<Item = &'a Rc<BackendServer>>) -> ServerDigest {
    let hash = |server: &Rc<BackendServer>| {
        let draining = server.phase == ServerPhase::Draining;
        xxh3_64(format!("{} {} {draining}", server.id, server.address).as_bytes())
    };
    ServerDigest(servers.map(hash).fold(0, |sum, hash| sum ^ hash))
}
