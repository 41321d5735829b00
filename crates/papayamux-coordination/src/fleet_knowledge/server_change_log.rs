//! Change log of the server states known to a router, from which it updates its followers.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::ids::ServerName;
use papayamux_state::source::SourcePosition;
use xxhash_rust::xxh3::xxh3_64;

use crate::server_presence::ServerPresence;

/// Maximum number of departures kept. A follower reports its position every second, in which far fewer
/// servers depart.
const MAX_DEPARTURES: usize = 4_096;

/// A change of the known state of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// The server is present, with this entry.
    Present(Rc<BackendServer>),
    /// The entry is missing. The server is kept, since the entry may have expired for lack of the list.
    Expired(Rc<BackendServer>),
    /// The server has departed.
    Departed {
        /// Name of the server.
        name: ServerName,
        /// `true` if it keeps running for a while, so that other servers can copy from its cache.
        terminating: bool,
    },
}

/// Digest of the servers whose entries are listed. Two routers that know the same entries have the same digest,
/// however long each of them keeps servers whose entries are missing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerDigest(pub u64);

/// The changes of servers between two positions of the source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerChangeSpan {
    /// The span starts after this position.
    pub after: SourcePosition,
    /// The span ends at this position, inclusive.
    pub position: SourcePosition,
    /// The changes, at most one per server.
    pub changes: Vec<ServerChange>,
    /// Digest of the servers listed at `position`.
    pub digest: ServerDigest,
}

/// A server that is kept, and since which position its state has been known.
#[derive(Debug)]
struct PresentServer {
    server: Rc<BackendServer>,
    /// `true` if its entry is missing at the known position.
    is_expired: bool,
    since: SourcePosition,
}

impl PresentServer {
    fn change(&self) -> ServerChange {
        match self.is_expired {
            true => ServerChange::Expired(self.server.clone()),
            false => ServerChange::Present(self.server.clone()),
        }
    }

    /// Returns the server's part of the digest, to which expired entries contribute nothing.
    fn digest(&self) -> u64 {
        if self.is_expired {
            return 0;
        }
        server_hash(&self.server)
    }
}

/// Records for each server the position at which its current state was first known.
///
/// Which entries are missing at a position belongs to the state there. Otherwise, a router that adopts the
/// position would never learn of the removal: its later reads start behind it.
///
/// A reader and its followers may record the same change at different positions of the source, but never
/// at one before it happened. The changes recorded after a position therefore include all that happened
/// after it.
#[derive(Debug, Default)]
pub struct ServerChangeLog {
    present: HashMap<ServerName, PresentServer>,
    departed: BTreeMap<(SourcePosition, ServerName), bool>,
    /// Departures received since the last call of `record`.
    departures: Vec<ServerName>,
    /// Departures up to this position may be missing.
    base: SourcePosition,
    position: Option<SourcePosition>,
    digest: ServerDigest,
    /// The change counter of the servers at the last comparison.
    seen_changes: u64,
}

impl ServerChangeLog {
    /// Records that a server's entry was removed, even if the server was never known here. A follower may
    /// know a server that came and went between two reads from another router, and would keep it.
    pub fn record_departure(&mut self, name: ServerName) {
        self.departures.push(name);
    }

    /// Records a full read at `position`. Servers that came and went before it are unknown.
    pub fn record_gap(&mut self, position: SourcePosition) {
        self.base = self.base.max(position);
    }

    /// Records that `presence` holds the server states known at `position`. `terminating` returns whether a
    /// departed server keeps running for a while.
    pub fn record(
        &mut self,
        presence: &ServerPresence,
        position: SourcePosition,
        terminating: impl Fn(&BackendServer) -> bool,
    ) {
        if self.position.is_none() {
            self.base = position;
        }
        self.position = self.position.max(Some(position));
        // Called three times a second, mostly without changes, on catalogs of up to thousands of servers.
        if presence.changes() == self.seen_changes && self.departures.is_empty() {
            return;
        }
        self.seen_changes = presence.changes();
        let catalog = presence.catalog();
        let servers = catalog.iter().map(|server| (server, presence.is_expired(&server.id)));
        let changed = servers.filter(|(server, is_expired)| !self.is_recorded(server, *is_expired));
        let changed: Vec<_> = changed.map(|(server, expired)| (server.clone(), expired)).collect();
        let missing = self.present.keys().filter(|name| catalog.named(name).is_none());
        let missing: Vec<_> = missing.cloned().collect();
        let departures = std::mem::take(&mut self.departures);
        for (server, is_expired) in changed {
            self.departed.retain(|(_, name), _| *name != server.name);
            let known = PresentServer { server, is_expired, since: position };
            self.present.insert(known.server.name.clone(), known);
        }
        for name in missing {
            if let Some(known) = self.present.remove(&name) {
                self.departed.insert((position, name), terminating(&known.server));
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
        let digest = self.present.values().fold(0, |digest, known| digest ^ known.digest());
        self.digest = ServerDigest(digest);
    }

    /// Returns the position up to which all changes are known.
    pub fn position(&self) -> Option<SourcePosition> {
        self.position
    }

    /// Returns the digest of the known server states.
    pub fn digest(&self) -> ServerDigest {
        self.digest
    }

    /// Returns the digest of the known server states after these changes.
    pub fn digest_after<'a>(
        &self,
        changes: impl IntoIterator<Item = &'a ServerChange>,
    ) -> ServerDigest {
        let known = |name: &ServerName| self.present.get(name).map_or(0, PresentServer::digest);
        let digest = changes.into_iter().fold(self.digest.0, |digest, change| match change {
            ServerChange::Present(server) => digest ^ known(&server.name) ^ server_hash(server),
            ServerChange::Expired(server) => digest ^ known(&server.name),
            ServerChange::Departed { name, .. } => digest ^ known(name),
        });
        ServerDigest(digest)
    }

    /// Returns the changes after position `after`, or `None` if they are no longer complete or `after` lies
    /// beyond the known position.
    pub fn since(&self, after: SourcePosition) -> Option<ServerChangeSpan> {
        if after < self.base {
            return None;
        }
        self.known_since(after)
    }

    /// Returns the known changes after position `after`, or `None` if `after` lies beyond the known position.
    /// Servers may be missing that came and went before this router read everything. The changes therefore
    /// only apply if they lead to the digest of the span.
    pub fn known_since(&self, after: SourcePosition) -> Option<ServerChangeSpan> {
        let position = self.position.filter(|position| *position >= after)?;
        let present = self.present.values().filter(|known| known.since > after);
        let present = present.map(PresentServer::change);
        let departed = self.departed.iter().filter(|((since, _), _)| *since > after);
        let departed = departed.map(|((_, name), terminating)| ServerChange::Departed {
            name: name.clone(),
            terminating: *terminating,
        });
        let changes = departed.chain(present).collect();
        Some(ServerChangeSpan { after, position, changes, digest: self.digest })
    }

    /// Returns whether this very entry is the recorded one, listed or expired alike. An entry that changed and
    /// changed back since counts as new, as a follower may have received the intermediate state from another
    /// router.
    fn is_recorded(&self, server: &Rc<BackendServer>, is_expired: bool) -> bool {
        let known = self.present.get(&server.name);
        known.is_some_and(|known| {
            Rc::ptr_eq(&known.server, server) && known.is_expired == is_expired
        })
    }
}

fn server_hash(server: &BackendServer) -> u64 {
    let draining = server.phase == ServerPhase::Draining;
    let version = server.version_text();
    xxh3_64(format!("{} {} {draining} {version}", server.id, server.address).as_bytes())
}
