//! The loads of all servers as known to this router, shared by its connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use papayamux_state::ids::ServerId;
use papayamux_state::load::{GroupId, GroupLoad, LoadReport};
use papayamux_state::load_table::{LoadTable, TimestampedLoad};

use crate::directory::ServerRecord;

/// Tracks the loads that servers report, and the number of this router's requests at each server.
#[derive(Debug, Default)]
pub struct LoadTracker {
    table: RefCell<LoadTable>,
    in_flight: RefCell<HashMap<ServerId, u64>>,
}

impl LoadTracker {
    /// Records a load report.
    pub fn record_report(&self, server: &ServerId, report: LoadReport, now: Instant) {
        self.table.borrow_mut().record(server, report, now);
    }

    /// Adds an accepted request to the last load report of `server`, until the next report replaces
    /// it.
    pub fn record_accepted(&self, server: &ServerId) {
        self.table.borrow_mut().add_request(server);
    }

    /// Drops the reports of all servers for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&ServerId) -> bool) {
        self.table.borrow_mut().retain(keep);
    }

    /// Returns the last report of a server.
    pub fn get(&self, server: &ServerId, now: Instant) -> Option<TimestampedLoad> {
        self.table.borrow().get(server, now)
    }

    /// Returns the mean load over the servers of a group.
    pub fn group_load(&self, group: GroupId, servers: &[Rc<ServerRecord>]) -> Option<GroupLoad> {
        let names = servers.iter().map(|record| &record.entry.server);
        self.table.borrow().group_load(group, names, Instant::now())
    }

    /// Returns the number of this router's requests at `server`.
    pub fn in_flight(&self, server: &ServerId) -> u64 {
        self.in_flight.borrow().get(server).copied().unwrap_or(0)
    }

    /// Counts a request of this router at `server` until the guard is dropped.
    pub fn occupy_slot(self: &Rc<Self>, server: &ServerId) -> OccupiedSlot {
        *self.in_flight.borrow_mut().entry(server.clone()).or_default() += 1;
        OccupiedSlot { tracker: self.clone(), server: server.clone() }
    }
}

/// Counts one request of this router at a server until it is dropped.
#[derive(Debug)]
pub struct OccupiedSlot {
    tracker: Rc<LoadTracker>,
    server: ServerId,
}

impl Drop for OccupiedSlot {
    fn drop(&mut self) {
        let mut in_flight = self.tracker.in_flight.borrow_mut();
        let left = in_flight.get_mut(&self.server).map(|count| {
            *count = count.saturating_sub(1);
            *count
        });
        if left == Some(0) {
            in_flight.remove(&self.server);
        }
    }
}
