//! Which backend servers are there, by a list whose entries lapse.
//!
//! A server renews its entry; one that goes silent loses it. While the list itself is away no
//! server can renew, so that entries lapse of servers that are well. Such a lapse counts as a
//! departure only once the list has been back for long enough to be renewed.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use papayamux_state::backend::{BackendServer, ServerCatalog, ServerPhase};
use papayamux_state::ids::{ServerId, ServerName};

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
    Expired,
    /// It is gone.
    Departed,
    /// It is gone, and its name belongs to a later start.
    Restarted,
    /// What was said of it is from before its start and has no effect.
    Outdated,
}

/// The list of backend servers as a router believes it.
#[derive(Debug, Default)]
pub struct ServerPresence {
    catalog: ServerCatalog,
    expired: HashMap<ServerId, Instant>,
    /// Since when the entry of a name has shown an earlier start than the one that is known.
    outdated: HashMap<ServerName, Instant>,
    last_contact: Option<Instant>,
    grace_until: Option<Instant>,
}

impl ServerPresence {
    /// The servers that are believed to be there.
    pub fn catalog(&self) -> &ServerCatalog {
        &self.catalog
    }

    /// Notes that the list answered at `now`. After an outage a grace begins; `failed` tells that
    /// reads had failed since it answered last.
    pub fn record_contact(&mut self, failed: bool, now: Instant) {
        let was_unavailable = failed
            || self.last_contact.is_some_and(|last_contact| now - last_contact > OUTAGE_THRESHOLD);
        if was_unavailable {
            self.grace_until = Some(now + RENEWAL_GRACE);
        }
        self.last_contact = Some(now);
    }

    /// When the list answered last.
    pub fn last_contact(&self) -> Option<Instant> {
        self.last_contact
    }

    /// Takes in an entry. Returns what changed for its server, and for the one that had its name
    /// before.
    ///
    /// A server that starts again under its name holds nothing of before. Where nobody noticed, what
    /// its earlier start had cached would be asked of it, and its failures held against it.
    pub fn record_entry(
        &mut self,
        server: BackendServer,
        now: Instant,
    ) -> Vec<(ServerId, PresenceChange)> {
        let id = server.id.clone();
        let other = self.catalog.named(&server.name).filter(|known| known.id != id).cloned();
        let Some(known) = other else {
            self.outdated.remove(&server.name);
            return vec![(id, self.record_start(server, now))];
        };
        if known.start >= server.start && !self.supersedes(&server, now) {
            return vec![(id, PresenceChange::Outdated)];
        }
        self.forget(&known.id);
        let change = self.record_start(server, now);
        vec![(known.id.clone(), PresenceChange::Restarted), (id, change)]
    }

    /// Whether a start that seems to be the earlier one is in force after all. A write may be done
    /// late, and shows an earlier start for a moment; a server whose clock was set back renews its
    /// entry while the other start no longer does.
    fn supersedes(&mut self, server: &BackendServer, now: Instant) -> bool {
        let since = *self.outdated.entry(server.name.clone()).or_insert(now);
        now.saturating_duration_since(since) >= RENEWAL_GRACE
    }

    /// Notes an entry that was read. What is written after an outage is told again to whoever follows this
    /// router, for whom it may have lapsed.
    fn record_start(&mut self, server: BackendServer, now: Instant) -> PresenceChange {
        let may_have_expired =
            self.expired.contains_key(&server.id) || !self.grace_left(now).is_zero();
        self.apply_entry(server, may_have_expired)
    }

    /// Takes an entry into the catalog; where `tells_again`, as a new one also if it is as before.
    fn apply_entry(&mut self, server: BackendServer, announces_again: bool) -> PresenceChange {
        self.expired.remove(&server.id);
        let phase = server.phase;
        let is_as_before = self.catalog.get(&server.id).is_some_and(|known| **known == server);
        if is_as_before && !announces_again {
            return PresenceChange::Unchanged;
        }
        let previous = self.catalog.upsert(server);
        match (previous, phase) {
            _ if is_as_before => PresenceChange::Unchanged,
            (_, ServerPhase::Draining) => PresenceChange::Draining,
            (Some(_), ServerPhase::Serving) => PresenceChange::Unchanged,
            (None, ServerPhase::Serving) => PresenceChange::Arrived,
        }
    }

    /// Takes in that the entry of a server is gone.
    pub fn record_removal(&mut self, id: &ServerId, now: Instant) -> PresenceChange {
        let Some(known) = self.catalog.get(id) else { return PresenceChange::Unchanged };
        let grace = self.grace_until.filter(|until| now < *until);
        match grace {
            Some(until) if known.phase == ServerPhase::Serving => {
                self.expired.entry(id.clone()).or_insert(until);
                PresenceChange::Expired
            }
            _ => self.record_overwrite(id),
        }
    }

    /// Takes in that the entry of a server no longer names one. Somebody wrote it while the list was
    /// there, so that it is no lapse.
    pub fn record_overwrite(&mut self, id: &ServerId) -> PresenceChange {
        match self.catalog.get(id) {
            Some(_) => {
                self.forget(id);
                PresenceChange::Departed
            }
            None => PresenceChange::Unchanged,
        }
    }

    /// How long entries that lapse may still come back.
    pub fn grace_left(&self, now: Instant) -> Duration {
        self.grace_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Takes over how long entries may still come back, from a router that knows the list as far as this
    /// one does or farther. Returns the lapsed servers that are given up by that.
    ///
    /// A list that was away for this router alone was renewed all the while: who heard it knows that what
    /// is missing has left. By its own grace this router would use a server for two seconds after its
    /// first read behind a cut.
    pub fn adopt_grace(&mut self, left: Duration, now: Instant) -> Vec<ServerId> {
        let until = now + left;
        self.grace_until = (!left.is_zero()).then_some(until);
        self.expired.values_mut().for_each(|expired| *expired = (*expired).min(until));
        self.remove_expired(now)
    }

    /// Takes over what another router believes of a server, which has weighed starts and lapses itself.
    /// Returns what changed for the server, and for the one that had its name before.
    pub fn adopt(&mut self, server: BackendServer) -> Vec<(ServerId, PresenceChange)> {
        let id = server.id.clone();
        let other = self.catalog.named(&server.name).filter(|known| known.id != id).cloned();
        self.outdated.remove(&server.name);
        if let Some(known) = &other {
            self.forget(&known.id);
        }
        // It may have changed and changed back. Whoever follows this router is told it again too.
        let change = self.apply_entry(server, true);
        let restarted = other.map(|known| (known.id.clone(), PresenceChange::Restarted));
        restarted.into_iter().chain([(id, change)]).collect()
    }

    /// The identifier of the server that is listed under `name`.
    pub fn id_of(&self, name: &ServerName) -> Option<ServerId> {
        self.catalog.named(name).map(|server| server.id.clone())
    }

    /// Takes in the whole list: what it lacks is gone. Returns what changed.
    pub fn record_list(
        &mut self,
        servers: Vec<BackendServer>,
        now: Instant,
    ) -> Vec<(ServerId, PresenceChange)> {
        let listed: HashSet<_> = servers.iter().map(|server| server.name.clone()).collect();
        let missing: Vec<_> = self
            .catalog
            .iter()
            .filter(|known| !listed.contains(&known.name))
            .map(|known| known.id.clone())
            .collect();
        let mut changes: Vec<_> =
            servers.into_iter().flat_map(|server| self.record_entry(server, now)).collect();
        for id in missing {
            let change = self.record_removal(&id, now);
            changes.push((id, change));
        }
        changes.retain(|(_, change)| *change != PresenceChange::Unchanged);
        changes
    }

    /// Whether lapsed entries may still come back.
    pub fn awaits_renewals(&self) -> bool {
        !self.expired.is_empty()
    }

    /// Gives up lapsed servers whose grace has passed; returns them.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<ServerId> {
        let due = self.expired.iter().filter(|(_, until)| **until <= now);
        let gone: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        gone.iter().for_each(|id| self.forget(id));
        gone
    }

    fn forget(&mut self, id: &ServerId) {
        self.expired.remove(id);
        if let Some(server) = self.catalog.remove(id) {
            self.outdated.remove(&server.name);
        }
    }
}
