//! The backend servers that are believed to be there.

use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::server_evidence::EvidenceKind;
use papayamux_coordination::server_presence::PresenceChange;
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::ids::{ServerId, ServerKey, ServerName};
use papayamux_state::source::EntryFault;

use super::Fleet;

impl Fleet {
    /// Notes that the list of servers answered.
    pub fn note_list_contact(&self, failed: bool, now: Instant) {
        self.presence.borrow_mut().note_contact(failed, now);
    }

    /// Whether lapsed servers may still come back.
    pub fn awaits_renewals(&self) -> bool {
        self.presence.borrow().awaits_renewals()
    }

    /// Gives up servers whose entries have lapsed for too long, and those that have ended.
    pub(in crate::direct) fn expire_servers(&self) {
        let ended = self.departures.borrow_mut().expire(Instant::now());
        ended.iter().for_each(|id| self.forget_server(id));
        if !self.awaits_renewals() {
            return;
        }
        let lapsed = self.presence.borrow_mut().expire_lapsed(Instant::now());
        self.give_up(&lapsed);
    }

    /// Takes over how long entries that lapsed may still come back.
    pub(super) fn adopt_grace(&self, left: Duration, now: Instant) {
        let lapsed = self.presence.borrow_mut().adopt_grace(left, now);
        self.give_up(&lapsed);
    }

    fn give_up(&self, lapsed: &[ServerId]) {
        for id in lapsed {
            self.forget_server(id);
            log::info!(server:% = id; "lapsed server did not come back");
        }
    }

    /// Takes in one entry of the list.
    pub fn note_server(&self, server: BackendServer, now: Instant) {
        let (id, cold_left) = (server.id.clone(), server.cold_left);
        let changes = self.presence.borrow_mut().note_entry(server, now);
        self.note_renewal(&id, now);
        self.note_coldness(&id, cold_left, now);
        self.note_changes(&changes);
    }

    /// Notes what one entry has changed. Of the entries of a whole list nobody knows which is the later one.
    fn note_changes(&self, changes: &[(ServerId, PresenceChange)]) {
        for (id, change) in changes {
            self.note_presence(id, *change);
            if *change == PresenceChange::Arrived {
                self.displace_others(id);
            }
        }
    }

    /// Takes in that an entry is gone.
    pub fn note_server_gone(&self, name: &ServerName, now: Instant) {
        let Some(known) = self.listed_server(name) else { return };
        let change = self.presence.borrow_mut().note_removal(&known.id, now);
        self.note_departure(&known, change, now);
    }

    /// Takes in that an entry names no server. One that it named before may live on, but is not to be
    /// used until its own entry is back.
    pub fn note_entry_fault(&self, fault: &EntryFault, now: Instant) {
        self.metrics.entry_faults.count(fault.kind.label());
        if let Some(suppressed) = self.fault_lines.borrow_mut().next(now) {
            log::warn!(
                entry = fault.key.as_str(), fault = fault.kind.label(), cause = fault.cause.as_str(),
                suppressed = suppressed; "entry names no server"
            );
        }
        let known = fault.name.as_ref().and_then(|name| self.listed_server(name));
        if let Some(known) = known {
            let change = self.presence.borrow_mut().note_overwritten(&known.id);
            self.note_departure(&known, change, now);
        }
    }

    /// Takes over that a server is there, by the word of a router that follows the list more closely.
    pub(super) fn adopt_server(&self, server: BackendServer, now: Instant) {
        let (id, cold_left) = (server.id.clone(), server.cold_left);
        let changes = self.presence.borrow_mut().adopt(server);
        self.note_renewal(&id, now);
        self.note_coldness(&id, cold_left, now);
        self.note_changes(&changes);
    }

    /// Takes over that a server is gone, and whether it lives on for a while.
    pub(super) fn adopt_departure(&self, name: &ServerName, lingers: bool, now: Instant) {
        let Some(known) = self.listed_server(name) else { return };
        let change = self.presence.borrow_mut().note_overwritten(&known.id);
        match lingers && known.phase == ServerPhase::Serving {
            true => {
                self.departures.borrow_mut().note_lingering(&known, now);
                log::info!(server:% = known.id; "server has left and finishes its work");
            }
            false => self.note_presence(&known.id, change),
        }
    }

    /// The server of this name, whose entry goes. Followers may know it where it isn't known here.
    fn listed_server(&self, name: &ServerName) -> Option<Rc<BackendServer>> {
        self.note_heard_departure(name);
        self.presence.borrow().catalog().named(name).cloned()
    }

    fn note_departure(&self, known: &BackendServer, change: PresenceChange, now: Instant) {
        let lingers = change == PresenceChange::Departed
            && self.departures.borrow_mut().note_departure(known, now);
        match lingers {
            true => log::info!(server:% = known.id; "server has left and finishes its work"),
            false => self.note_presence(&known.id, change),
        }
    }

    /// Takes in the whole list.
    pub fn note_server_list(&self, servers: Vec<BackendServer>, now: Instant) {
        let listed = servers.iter().map(|server| (server.id.clone(), server.cold_left));
        let listed: Vec<_> = listed.collect();
        let changes = self.presence.borrow_mut().note_list(servers, now);
        for (id, cold_left) in listed {
            self.note_renewal(&id, now);
            self.note_coldness(&id, cold_left, now);
        }
        for (id, change) in changes {
            self.note_presence(&id, change);
        }
    }

    /// Notes that a server renewed its entry; one of an earlier start renews nothing.
    fn note_renewal(&self, id: &ServerId, now: Instant) {
        if self.presence.borrow().catalog().get(id).is_some() {
            self.departures.borrow_mut().note_renewal(id, now);
        }
    }

    fn note_presence(&self, id: &ServerId, change: PresenceChange) {
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
                self.forget_connections(id);
                log::info!(server:% = id; "server is there");
            }
            PresenceChange::Draining => log::info!(server:% = id; "server is draining"),
            PresenceChange::Lapsed => log::info!(server:% = id; "server's entry has lapsed"),
        }
    }

    fn forget_server(&self, id: &ServerId) {
        self.warm.borrow_mut().remove(id);
        self.holders.borrow_mut().forget_server(id);
        self.profiles.borrow_mut().forget(id);
        self.departures.borrow_mut().forget(id);
    }

    /// Avoids the servers that had a newcomer's address before. Their entries last for a while after them, and
    /// longer where the list was away when they ended.
    fn displace_others(&self, id: &ServerId) {
        let displaced: Vec<_> = {
            let presence = self.presence.borrow();
            let Some(newcomer) = presence.catalog().get(id) else { return };
            let others = presence.catalog().iter().filter(|other| other.id != newcomer.id);
            others.filter(|other| other.address == newcomer.address).cloned().collect()
        };
        for other in displaced {
            self.note_evidence(&other, EvidenceKind::Displaced);
            log::info!(server:% = other.id, by:% = id; "another server has the address");
        }
    }

    /// Closes the connections kept to a newcomer's address: they lead to whoever had it before.
    fn forget_connections(&self, id: &ServerId) {
        if let Some(server) = self.presence.borrow().catalog().get(id) {
            self.pool.close_idle(server.address);
        }
    }

    /// Whether a server is over for certain: its name belongs to a later start.
    pub(in crate::direct) fn has_restarted(&self, server: &BackendServer) -> bool {
        let presence = self.presence.borrow();
        presence.catalog().named(&server.name).is_some_and(|known| known.id != server.id)
    }

    /// The server with this short name, which other routers use.
    pub fn server_by_key(&self, key: ServerKey) -> Option<ServerId> {
        let presence = self.presence.borrow();
        presence.catalog().by_key(key).map(|server| server.id.clone())
    }

    /// Servers that are known.
    pub fn server_count(&self) -> usize {
        self.presence.borrow().catalog().len()
    }
}
