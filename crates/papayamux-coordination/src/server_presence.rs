//! Which backend servers are there, by a list whose entries lapse.
//!
//! A server renews its entry; one that goes silent loses it. While the list itself is away no
//! server can renew, so that entries lapse of servers that are well. Such a lapse counts as a
//! departure only once the list has been back for long enough to be renewed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::backend::{BackendServer, ServerCatalog, ServerPhase};
use papayamux_state::ids::ServerId;

/// How long after the list was heard again a lapsed entry may still come back. Servers renew
/// within about two seconds of the list's return, which is a little earlier. A longer grace would
/// send requests to servers that left while only this router was cut off.
pub const RENEWAL_GRACE: Duration = Duration::from_millis(2_000);
/// Silence of the list after which entries may have lapsed for want of it, also where no read has
/// failed, as after a pause of this process: longer than the longest interval between two reads.
pub const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2_500);

/// What changed for a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PresenceChange {
    /// It is new.
    Arrived,
    /// It is there as before.
    Unchanged,
    /// It finishes what it has.
    Draining,
    /// Its entry is gone, but it may be back.
    Lapsed,
    /// It is gone.
    Departed,
}

/// The list of backend servers as a router believes it.
#[derive(Debug, Default)]
pub struct ServerPresence {
    catalog: ServerCatalog,
    lapsed: HashMap<ServerId, Instant>,
    heard: Option<Instant>,
    grace_until: Option<Instant>,
}

impl ServerPresence {
    /// The servers that are believed to be there.
    pub fn catalog(&self) -> &ServerCatalog {
        &self.catalog
    }

    /// Notes that the list answered at `now`. After an outage a grace begins; `failed` tells that
    /// reads had failed since it answered last.
    pub fn note_contact(&mut self, failed: bool, now: Instant) {
        let away = failed || self.heard.is_some_and(|heard| now - heard > OUTAGE_THRESHOLD);
        if away {
            self.grace_until = Some(now + RENEWAL_GRACE);
        }
        self.heard = Some(now);
    }

    /// When the list answered last.
    pub fn heard(&self) -> Option<Instant> {
        self.heard
    }

    /// Takes in an entry.
    pub fn note_entry(&mut self, server: BackendServer) -> PresenceChange {
        self.lapsed.remove(&server.id);
        let phase = server.phase;
        let known = self.catalog.get(&server.id);
        if known.is_some_and(|known| **known == server) {
            return PresenceChange::Unchanged;
        }
        let previous = self.catalog.upsert(server);
        match (previous, phase) {
            (_, ServerPhase::Draining) => PresenceChange::Draining,
            (Some(_), ServerPhase::Serving) => PresenceChange::Unchanged,
            (None, ServerPhase::Serving) => PresenceChange::Arrived,
        }
    }

    /// Takes in that an entry is gone.
    pub fn note_removal(&mut self, id: &ServerId, now: Instant) -> PresenceChange {
        let Some(known) = self.catalog.get(id) else { return PresenceChange::Unchanged };
        let grace = self.grace_until.filter(|until| now < *until);
        match grace {
            Some(until) if known.phase == ServerPhase::Serving => {
                self.lapsed.entry(id.clone()).or_insert(until);
                PresenceChange::Lapsed
            }
            _ => {
                self.forget(id);
                PresenceChange::Departed
            }
        }
    }

    /// Takes in the whole list: what it lacks is gone. Returns what changed.
    pub fn note_list(
        &mut self,
        servers: Vec<BackendServer>,
        now: Instant,
    ) -> Vec<(ServerId, PresenceChange)> {
        let listed: std::collections::HashSet<_> =
            servers.iter().map(|server| server.id.clone()).collect();
        let missing: Vec<_> = self
            .catalog
            .iter()
            .filter(|known| !listed.contains(&known.id))
            .map(|known| known.id.clone())
            .collect();
        let mut changes: Vec<_> = servers
            .into_iter()
            .map(|server| (server.id.clone(), self.note_entry(server)))
            .collect();
        for id in missing {
            let change = self.note_removal(&id, now);
            changes.push((id, change));
        }
        changes.retain(|(_, change)| *change != PresenceChange::Unchanged);
        changes
    }

    /// Whether lapsed entries may still come back.
    pub fn awaits_renewals(&self) -> bool {
        !self.lapsed.is_empty()
    }

    /// Gives up lapsed servers whose grace has passed; returns them.
    pub fn expire_lapsed(&mut self, now: Instant) -> Vec<ServerId> {
        let due = self.lapsed.iter().filter(|(_, until)| **until <= now);
        let gone: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        gone.iter().for_each(|id| self.forget(id));
        gone
    }

    fn forget(&mut self, id: &ServerId) {
        self.lapsed.remove(id);
        self.catalog.remove(id);
    }
}
