//! Which backend servers are present, from a list whose entries expire.
//!
//! A server renews its entry, and a server that has failed lets it expire. While the list itself is
//! unavailable no server can renew, so that entries of healthy servers expire too. Such an expiry
//! counts as a departure only once the list has been back for long enough to renew them.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use papayamux_state::backend::{BackendServer, ServerCatalog, ServerPhase};
use papayamux_state::durations::saturating_after;
use papayamux_state::ids::{ServerId, ServerName};

/// Time after the list is back in which an expired entry may still be renewed. Servers renew within
/// about two seconds of the list's return, which is slightly before the router's first contact. A
/// longer grace would send requests to servers that departed while only this router was
/// disconnected.
pub const RENEWAL_GRACE: Duration = Duration::from_millis(2_000);
/// Time without contact to the list after which entries may have expired for lack of it, even if no
/// read has failed, as after a pause of this process. It exceeds the longest interval between two
/// reads.
pub const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2_500);
/// Maximum number of departed servers that are remembered. Far fewer depart in the seconds that a copy of the
/// list may lack.
const MAX_DEPARTED: usize = 1_024;

/// The change of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PresenceChange {
    /// The server is new.
    Arrived,
    /// The server is unchanged.
    Unchanged,
    /// The server is draining.
    Draining,
    /// The entry has expired, but may still be renewed.
    Expired,
    /// The server has departed.
    Departed,
    /// The server has departed, and a later start has its name.
    Restarted,
    /// The entry is of an earlier start than the known one, and was ignored.
    Outdated,
}

/// The backend servers that a router knows.
#[derive(Debug, Default)]
pub struct ServerPresence {
    catalog: ServerCatalog,
    expired: HashMap<ServerId, Instant>,
    /// When the entry of a name was first seen to show an earlier start than the known one.
    outdated: HashMap<ServerName, Instant>,
    last_contact: Option<Instant>,
    grace_until: Option<Instant>,
    /// Number of times that a listed server has become expired.
    expirations: u64,
    /// Servers that departed last, in this order.
    departed: VecDeque<ServerId>,
}

impl ServerPresence {
    /// Returns the servers that are present.
    pub fn catalog(&self) -> &ServerCatalog {
        &self.catalog
    }

    /// Returns whether the entry of a server is missing, but may still be renewed.
    pub fn is_expired(&self, id: &ServerId) -> bool {
        self.expired.contains_key(id)
    }

    /// Returns the number of changes so far, of servers and of entries that are missing.
    pub fn changes(&self) -> u64 {
        self.catalog.changes() + self.expirations
    }

    /// Records that the list answered at `now`. After an outage a grace period starts. `failed` is
    /// `true` if reads have failed since the last answer.
    pub fn record_contact(&mut self, failed: bool, now: Instant) {
        let was_unavailable = failed
            || self.last_contact.is_some_and(|last_contact| now - last_contact > OUTAGE_THRESHOLD);
        if was_unavailable {
            self.grace_until = Some(now + RENEWAL_GRACE);
        }
        self.last_contact = Some(now);
    }

    /// Returns the time of the list's last answer.
    pub fn last_contact(&self) -> Option<Instant> {
        self.last_contact
    }

    /// Records an entry. Returns the changes of its server and of the server that had its name
    /// before.
    ///
    /// A server that restarts under its name has lost its cache. If the restart went undetected,
    /// requests would look for the cache of the earlier start, and its failures would still count
    /// against the server.
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

    /// Returns whether a start that appears to be earlier is in force after all. A late write shows
    /// an earlier start only for a moment. A server whose clock was set back keeps renewing its
    /// entry, while the other start no longer does.
    fn supersedes(&mut self, server: &BackendServer, now: Instant) -> bool {
        let since = *self.outdated.entry(server.name.clone()).or_insert(now);
        now.saturating_duration_since(since) >= RENEWAL_GRACE
    }

    /// Records an entry of a start. An entry written after an outage is announced again to the
    /// routers that follow this one, since it may have expired for them.
    fn record_start(&mut self, server: BackendServer, now: Instant) -> PresenceChange {
        let may_have_expired =
            self.expired.contains_key(&server.id) || !self.grace_left(now).is_zero();
        self.apply_entry(server, may_have_expired)
    }

    /// Adds an entry to the catalog. With `announces_again`, an unchanged entry counts as a new
    /// write.
    fn apply_entry(&mut self, server: BackendServer, announces_again: bool) -> PresenceChange {
        self.expired.remove(&server.id);
        self.departed.retain(|departed| *departed != server.id);
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

    /// Records that the entry of a server is missing.
    pub fn record_removal(&mut self, id: &ServerId, now: Instant) -> PresenceChange {
        let Some(known) = self.catalog.get(id) else { return PresenceChange::Unchanged };
        let grace = self.grace_until.filter(|until| now < *until);
        match grace {
            Some(until) if known.phase == ServerPhase::Serving => self.expire(id, until),
            _ => self.record_overwrite(id),
        }
    }

    /// Adopts from another router that the entry of a server is missing and may be renewed for `left`. Returns
    /// the change of the server known under its name. Another start of it has departed.
    pub fn adopt_expiry(
        &mut self,
        server: &BackendServer,
        left: Duration,
        now: Instant,
    ) -> Option<(ServerId, PresenceChange)> {
        let known = self.id_of(&server.name)?;
        let change = match known == server.id && !left.is_zero() {
            true => self.expire(&known, saturating_after(now, left)),
            false => self.record_overwrite(&known),
        };
        Some((known, change))
    }

    /// Keeps a server whose entry is missing until `until`, or until an earlier time set before.
    fn expire(&mut self, id: &ServerId, until: Instant) -> PresenceChange {
        if let Some(known) = self.expired.get_mut(id) {
            *known = until.min(*known);
            return PresenceChange::Unchanged;
        }
        self.expirations += 1;
        self.expired.insert(id.clone(), until);
        PresenceChange::Expired
    }

    /// Records that an entry no longer names a server. It was overwritten while the list was
    /// available, so it has not expired.
    pub fn record_overwrite(&mut self, id: &ServerId) -> PresenceChange {
        match self.catalog.get(id) {
            Some(_) => {
                self.forget(id);
                PresenceChange::Departed
            }
            None => PresenceChange::Unchanged,
        }
    }

    /// Returns the time for which expired entries may still be renewed.
    pub fn grace_left(&self, now: Instant) -> Duration {
        self.grace_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns whether a report counts whose sender still waits for renewals for `reported`.
    ///
    /// The sender had no contact to the list. If this router had, within `max_silence` as if it read the list
    /// by itself, the list was available, and the sender keeps servers that have departed.
    pub fn may_adopt(&self, reported: Duration, max_silence: Duration, now: Instant) -> bool {
        let has_contact = self
            .last_contact
            .is_some_and(|last_contact| now.saturating_duration_since(last_contact) < max_silence);
        reported.is_zero() || !has_contact || !self.grace_left(now).is_zero()
    }

    /// Adopts the grace period of a router whose view of the list is at least as recent. Returns
    /// the expired servers that are removed by it.
    ///
    /// If the list was unavailable for this router alone, it was renewed all the while, and a
    /// router that reached it knows that missing servers have departed. By its own grace period,
    /// this router would use such a server for two seconds after its first read behind a partition.
    pub fn adopt_grace(&mut self, left: Duration, now: Instant) -> Vec<ServerId> {
        let until = saturating_after(now, left);
        self.grace_until = (!left.is_zero()).then_some(until);
        self.expired.values_mut().for_each(|expired| *expired = (*expired).min(until));
        self.remove_expired(now)
    }

    /// Adopts the state of a server from another router, which has already checked starts and
    /// expiry. Returns the changes of the server and of the server that had its name before.
    pub fn adopt(&mut self, server: BackendServer) -> Vec<(ServerId, PresenceChange)> {
        let id = server.id.clone();
        let other = self.catalog.named(&server.name).filter(|known| known.id != id).cloned();
        self.outdated.remove(&server.name);
        if let Some(known) = &other {
            self.forget(&known.id);
        }
        // The entry may have changed and changed back, so it is announced again to the routers that
        // follow this one.
        let change = self.apply_entry(server, true);
        let restarted = other.map(|known| (known.id.clone(), PresenceChange::Restarted));
        restarted.into_iter().chain([(id, change)]).collect()
    }

    /// Returns the identifier of the server that is listed under `name`.
    pub fn id_of(&self, name: &ServerName) -> Option<ServerId> {
        self.catalog.named(name).map(|server| server.id.clone())
    }

    /// Records the whole list. Servers missing from it are recorded as removed. Returns the
    /// changes.
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

    /// Records the whole list of a source that was restored from a copy. Returns the changes.
    ///
    /// The copy may show a server as it was before it drained or departed. That it has done so stays in force until
    /// its entry is written again, which a read of the changes shows.
    pub fn record_restored_list(
        &mut self,
        servers: Vec<BackendServer>,
        now: Instant,
    ) -> Vec<(ServerId, PresenceChange)> {
        let servers = servers.into_iter().filter(|server| !self.departed.contains(&server.id));
        let servers = servers.map(|server| match self.catalog.get(&server.id) {
            Some(known) if known.phase == ServerPhase::Draining => (**known).clone(),
            _ => server,
        });
        let servers = servers.collect();
        self.record_list(servers, now)
    }

    /// Returns whether expired entries may still be renewed.
    pub fn awaits_renewals(&self) -> bool {
        !self.expired.is_empty()
    }

    /// Removes and returns the expired servers whose grace period has passed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<ServerId> {
        let due = self.expired.iter().filter(|(_, until)| **until <= now);
        let removed: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        removed.iter().for_each(|id| self.forget(id));
        removed
    }

    fn forget(&mut self, id: &ServerId) {
        self.expired.remove(id);
        if let Some(server) = self.catalog.remove(id) {
            self.outdated.remove(&server.name);
            self.departed.push_back(id.clone());
            if self.departed.len() > MAX_DEPARTED {
                self.departed.pop_front();
            }
        }
    }
}
