//! What this router knows of all servers' loads, shared by its connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use papayamux_state::ids::ServerId;
use papayamux_state::load::{GroupId, GroupLoad, LoadReport};
use papayamux_state::load_table::{LoadTable, TimestampedLoad};

use crate::directory::ServerRecord;

/// Loads that servers reported, and how many requests of this router each has.
#[derive(Debug, Default)]
pub struct LoadBook {
    table: RefCell<LoadTable>,
    in_flight: RefCell<HashMap<ServerId, u64>>,
}

impl LoadBook {
    /// Notes a report.
    pub fn note(&self, server: &ServerId, report: LoadReport, now: Instant) {
        self.table.borrow_mut().record(server, report, now);
    }

    /// Counts a request that was taken into the last report, until the next one comes.
    pub fn note_taken(&self, server: &ServerId) {
        self.table.borrow_mut().add_request(server);
    }

    /// Forgets the reports of all servers but those in `keep`.
    pub fn retain(&self, keep: impl Fn(&ServerId) -> bool) {
        self.table.borrow_mut().retain(keep);
    }

    /// The last report of a server.
    pub fn get(&self, server: &ServerId, now: Instant) -> Option<TimestampedLoad> {
        self.table.borrow().get(server, now)
    }

    /// The mean over the servers of a group.
    pub fn group_load(&self, group: GroupId, servers: &[Rc<ServerRecord>]) -> Option<GroupLoad> {
        let names = servers.iter().map(|record| &record.entry.server);
        self.table.borrow().group_load(group, names, Instant::now())
    }

    /// Requests of this router that `server` has.
    pub fn in_flight(&self, server: &ServerId) -> u64 {
        self.in_flight.borrow().get(server).copied().unwrap_or(0)
    }

    /// Counts a request of this router at `server` until the guard is dropped.
    pub fn occupy(self: &Rc<Self>, server: &ServerId) -> OccupiedPlace {
        *self.in_flight.borrow_mut().entry(server.clone()).or_default() += 1;
        OccupiedPlace { book: self.clone(), server: server.clone() }
    }
}

/// A request of this router at a server.
#[derive(Debug)]
pub struct OccupiedPlace {
    book: Rc<LoadBook>,
    server: ServerId,
}

impl Drop for OccupiedPlace {
    fn drop(&mut self) {
        let mut in_flight = self.book.in_flight.borrow_mut();
        let left = in_flight.get_mut(&self.server).map(|count| {
            *count = count.saturating_sub(1);
            *count
        });
        if left == Some(0) {
            in_flight.remove(&self.server);
        }
    }
}
