//! The backend servers that are believed to be there.

use std::time::Instant;

use papayamux_coordination::server_presence::PresenceChange;
use papayamux_state::backend::BackendServer;
use papayamux_state::ids::{ServerId, ServerKey};

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
        for id in lapsed {
            self.forget_server(&id);
            log::info!(server:% = id; "lapsed server did not come back");
        }
    }

    /// Takes in one entry of the list.
    pub fn note_server(&self, server: BackendServer) {
        let id = server.id.clone();
        self.departures.borrow_mut().note_renewal(&id, Instant::now());
        let change = self.presence.borrow_mut().note_entry(server);
        self.note_presence(&id, change);
    }

    /// Takes in that an entry is gone.
    pub fn note_server_gone(&self, id: &ServerId, now: Instant) {
        let known = self.presence.borrow().catalog().get(id).cloned();
        let change = self.presence.borrow_mut().note_removal(id, now);
        let lingers = change == PresenceChange::Departed
            && known.is_some_and(|known| self.departures.borrow_mut().note_departure(&known, now));
        match lingers {
            true => log::info!(server:% = id; "server has left and finishes its work"),
            false => self.note_presence(id, change),
        }
    }

    /// Takes in the whole list.
    pub fn note_server_list(&self, servers: Vec<BackendServer>, now: Instant) {
        for server in &servers {
            self.departures.borrow_mut().note_renewal(&server.id, now);
        }
        let changes = self.presence.borrow_mut().note_list(servers, now);
        for (id, change) in changes {
            self.note_presence(&id, change);
        }
    }

    fn note_presence(&self, id: &ServerId, change: PresenceChange) {
        match change {
            PresenceChange::Unchanged => {}
            PresenceChange::Departed => {
                self.forget_server(id);
                log::info!(server:% = id; "server is gone");
            }
            PresenceChange::Arrived => log::info!(server:% = id; "server is there"),
            PresenceChange::Draining => log::info!(server:% = id; "server is draining"),
            PresenceChange::Lapsed => log::info!(server:% = id; "server's entry has lapsed"),
        }
    }

    fn forget_server(&self, id: &ServerId) {
        self.warm.borrow_mut().remove(id);
        self.departures.borrow_mut().forget(id);
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
