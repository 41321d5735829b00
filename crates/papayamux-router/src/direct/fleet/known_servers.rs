//! The known backend servers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::server_evidence::EvidenceKind;
use papayamux_coordination::server_presence::PresenceChange;
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::ids::{ServerId, ServerKey, ServerName};
use papayamux_state::source::EntryFault;

use super::Fleet;

impl Fleet {
    /// Records that a read of the server list succeeded. `failed` is `true` if reads have failed
    /// since the last success.
    pub fn record_list_contact(&self, failed: bool, now: Instant) {
        self.presence.borrow_mut().record_contact(failed, now);
    }

    /// Returns whether the server list was read since `time`, by this router or one that it follows.
    pub fn had_list_contact_since(&self, time: Instant) -> bool {
        self.presence.borrow().last_contact().is_some_and(|contact| contact > time)
    }

    /// Returns whether servers with expired entries may still renew them.
    pub fn awaits_renewals(&self) -> bool {
        self.presence.borrow().awaits_renewals()
    }

    /// Removes servers whose entries have been expired for too long, and departed servers that have
    /// terminated.
    pub(in crate::direct) fn expire_servers(&self) {
        let terminated = self.departures.borrow_mut().expire(Instant::now());
        terminated.iter().for_each(|id| self.forget_server(id));
        if !self.awaits_renewals() {
            return;
        }
        let expired = self.presence.borrow_mut().remove_expired(Instant::now());
        self.remove_expired(&expired);
    }

    /// Adopts the time for which expired entries may still be renewed, as reported by another
    /// router.
    pub(super) fn adopt_grace(&self, left: Duration, now: Instant) {
        let expired = self.presence.borrow_mut().adopt_grace(left, now);
        self.remove_expired(&expired);
    }

    fn remove_expired(&self, expired: &[ServerId]) {
        for id in expired {
            self.forget_server(id);
            log::info!(server:% = id; "lapsed server did not come back");
        }
    }

    /// Records a single entry of the list.
    pub fn record_server(&self, server: BackendServer, now: Instant) {
        let (id, cold_left) = (server.id.clone(), server.cold_left);
        let changes = self.presence.borrow_mut().record_entry(server, now);
        self.record_entry_renewal(&id, now);
        self.record_coldness(&id, cold_left, now);
        self.record_changes(&changes);
    }

    /// Records the changes that a single entry caused. Only then are other servers at the address
    /// of a new one displaced: in a complete list it is unknown which entry is the later one.
    fn record_changes(&self, changes: &[(ServerId, PresenceChange)]) {
        for (id, change) in changes {
            self.record_presence(id, *change);
            if *change == PresenceChange::Arrived {
                self.displace_others(id);
            }
        }
    }

    /// Records that an entry was removed.
    pub fn record_departed_server(&self, name: &ServerName, now: Instant) {
        let Some(known) = self.journal_departed_server(name) else { return };
        let change = self.presence.borrow_mut().record_removal(&known.id, now);
        self.record_server_departure(&known, change, now);
    }

    /// Records that an entry doesn't describe a server. The server that it described before may
    /// still run, but must not be used until its own entry is back.
    pub fn record_entry_fault(&self, fault: &EntryFault, now: Instant) {
        self.metrics.entry_faults.count(fault.kind.label());
        if let Some(suppressed) = self.fault_log_limit.borrow_mut().next(now) {
            log::warn!(
                entry = fault.key.as_str(), fault = fault.kind.label(), cause = fault.cause.as_str(),
                suppressed = suppressed; "entry names no server"
            );
        }
        let known = fault.name.as_ref().and_then(|name| self.journal_departed_server(name));
        if let Some(known) = known {
            let change = self.presence.borrow_mut().record_overwrite(&known.id);
            self.record_server_departure(&known, change, now);
        }
    }

    /// Adopts a server reported by a router that follows the list more closely.
    pub(super) fn adopt_server(&self, server: BackendServer, now: Instant) {
        let (id, cold_left) = (server.id.clone(), server.cold_left);
        let changes = self.presence.borrow_mut().adopt(server);
        self.record_entry_renewal(&id, now);
        self.record_coldness(&id, cold_left, now);
        self.record_changes(&changes);
    }

    /// Adopts from such a router that a server's entry is missing and may be renewed for `grace`. A server that
    /// isn't known here has departed already, and is not used again until its entry is back.
    pub(super) fn adopt_expiry(&self, server: &BackendServer, grace: Duration, now: Instant) {
        self.journal_departure(&server.name);
        let change = self.presence.borrow_mut().adopt_expiry(server, grace, now);
        if let Some((id, change)) = change {
            self.record_presence(&id, change);
        }
    }

    /// Adopts a departure reported by such a router. `is_terminating` tells that the server is
    /// terminating: it still finishes its work.
    pub(super) fn adopt_departure(&self, name: &ServerName, is_terminating: bool, now: Instant) {
        let Some(known) = self.journal_departed_server(name) else { return };
        let change = self.presence.borrow_mut().record_overwrite(&known.id);
        match is_terminating && known.phase == ServerPhase::Serving {
            true => {
                self.departures.borrow_mut().record_terminating(&known, now);
                log::info!(server:% = known.id; "server has left and finishes its work");
            }
            false => self.record_presence(&known.id, change),
        }
    }

    /// Journals the departure of the server of this name and returns the server if it is known. The
    /// departure is journaled in any case, since followers may know a server that isn't known here.
    fn journal_departed_server(&self, name: &ServerName) -> Option<Rc<BackendServer>> {
        self.journal_departure(name);
        self.presence.borrow().catalog().named(name).cloned()
    }

    fn record_server_departure(&self, known: &BackendServer, change: PresenceChange, now: Instant) {
        let is_terminating = change == PresenceChange::Departed
            && self.departures.borrow_mut().record_departure(known, now);
        match is_terminating {
            true => log::info!(server:% = known.id; "server has left and finishes its work"),
            false => self.record_presence(&known.id, change),
        }
    }

    /// Records the complete list, which may be that of a source restored from a copy.
    pub fn record_server_list(&self, servers: Vec<BackendServer>, is_restored: bool, now: Instant) {
        let listed = servers.iter().map(|server| (server.id.clone(), server.cold_left));
        let listed: Vec<_> = listed.collect();
        let changes = {
            let mut presence = self.presence.borrow_mut();
            match is_restored {
                true => presence.record_restored_list(servers, now),
                false => presence.record_list(servers, now),
            }
        };
        for (id, cold_left) in listed {
            self.record_entry_renewal(&id, now);
            self.record_coldness(&id, cold_left, now);
        }
        for (id, change) in changes {
            self.record_presence(&id, change);
        }
    }

    /// Records that a server renewed its entry. The entry of an earlier start of a server is no
    /// renewal.
    fn record_entry_renewal(&self, id: &ServerId, now: Instant) {
        if self.presence.borrow().catalog().get(id).is_some() {
            self.departures.borrow_mut().record_renewal(id, now);
        }
    }

    fn record_presence(&self, id: &ServerId, change: PresenceChange) {
        match change {
            PresenceChange::Unchanged => {}
            PresenceChange::Outdated => {
                log::info!(server:% = id; "entry is from before the server's last start");
            }
            PresenceChange::Restarted => {
                self.forget_server(id);
                log::info!(server:% = id; "server has started again");
            }
            PresenceChange::Departed => {
                self.forget_server(id);
                log::info!(server:% = id; "server is gone");
            }
            PresenceChange::Arrived => {
                self.close_idle_connections(id);
                let Some(server) = self.presence.borrow().catalog().get(id).cloned() else {
                    return;
                };
                self.record_version(&server);
                log::info!(server:% = id, version = server.version_text(); "server is there");
            }
            PresenceChange::Draining => log::info!(server:% = id; "server is draining"),
            PresenceChange::Expired => log::info!(server:% = id; "server's entry has lapsed"),
        }
    }

    fn forget_server(&self, id: &ServerId) {
        self.warm.borrow_mut().remove(id);
        self.holders.borrow_mut().forget_server(id);
        self.profiles.borrow_mut().forget(id);
        self.slowdowns.borrow_mut().forget(id);
        self.departures.borrow_mut().forget(id);
    }

    /// Records evidence against the servers that had the address of a new server before, so that
    /// they are avoided. Their entries remain for a while after they have crashed or terminated,
    /// and longer if the list was unavailable at that time.
    fn displace_others(&self, id: &ServerId) {
        let displaced: Vec<_> = {
            let presence = self.presence.borrow();
            let Some(newcomer) = presence.catalog().get(id) else { return };
            let others = presence.catalog().iter().filter(|other| other.id != newcomer.id);
            others.filter(|other| other.address == newcomer.address).cloned().collect()
        };
        for other in displaced {
            self.record_evidence(&other, EvidenceKind::Displaced);
            log::info!(server:% = other.id, by:% = id; "another server has the address");
        }
    }

    /// Closes the idle connections to the address of a new server, since they lead to the previous
    /// one.
    fn close_idle_connections(&self, id: &ServerId) {
        if let Some(server) = self.presence.borrow().catalog().get(id) {
            self.pool.close_idle(server.address);
        }
    }

    /// Returns whether a server is certain to run no longer, because its name belongs to a later
    /// start of it.
    pub(in crate::direct) fn has_restarted(&self, server: &BackendServer) -> bool {
        let presence = self.presence.borrow();
        presence.catalog().named(&server.name).is_some_and(|known| known.id != server.id)
    }

    /// Returns the server with this short key, by which other routers refer to it.
    pub fn server_by_key(&self, key: ServerKey) -> Option<ServerId> {
        let presence = self.presence.borrow();
        presence.catalog().by_key(key).map(|server| server.id.clone())
    }

    /// Returns the number of known servers.
    pub fn server_count(&self) -> usize {
        self.presence.borrow().catalog().len()
    }
}
