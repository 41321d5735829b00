//! The requests that routers have at each server.

use std::collections::HashMap;
use std::fmt;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;

/// Age at which what a router said of its requests is no longer believed. Reports come several
/// times in a second; a router that is silent for this long is cut off or gone, and its requests
/// end soon.
const REPORT_EXPIRY: Duration = Duration::from_millis(2_500);

/// A router, by its address between routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterId(pub IpAddr);

impl fmt::Display for RouterId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Requests at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that were sent and have not ended.
    pub requests: u32,
    /// Prompt tokens, not expected to be cached, of requests without a first event.
    pub backlog: u64,
}

impl ServerLoad {
    fn add(&mut self, other: ServerLoad) {
        self.requests += other.requests;
        self.backlog += other.backlog;
    }

    /// The load that is expected where this is the `part` of it that is known.
    fn of_part(self, part: f64) -> Self {
        if part >= 1.0 {
            return self;
        }
        Self {
            requests: (f64::from(self.requests) / part).round() as u32,
            backlog: (self.backlog as f64 / part).round() as u64,
        }
    }

    fn subtract(&mut self, other: ServerLoad) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.backlog = self.backlog.saturating_sub(other.backlog);
    }
}

#[derive(Debug)]
struct RouterReport {
    heard: Instant,
    loads: Vec<(ServerId, ServerLoad)>,
}

/// This router's own requests, exactly, and those of the others as they last reported.
#[derive(Debug, Default)]
pub struct LoadLedger {
    own: HashMap<ServerId, ServerLoad>,
    reports: HashMap<RouterId, RouterReport>,
    reported: HashMap<ServerId, ServerLoad>,
    heard_part: HeardPart,
}

/// The part of the other routers of which a report is believed, from 0 to 1.
#[derive(Debug, Clone, Copy)]
struct HeardPart(f64);

impl Default for HeardPart {
    fn default() -> Self {
        Self(1.0)
    }
}

impl LoadLedger {
    /// Counts a request that is sent to `server`.
    pub fn begin(&mut self, server: &ServerId, load: ServerLoad) {
        self.own.entry(server.clone()).or_default().add(load);
    }

    /// Takes back what [`Self::begin`] counted, or a part of it.
    pub fn end(&mut self, server: &ServerId, load: ServerLoad) {
        if let Some(own) = self.own.get_mut(server) {
            own.subtract(load);
            if *own == ServerLoad::default() {
                self.own.remove(server);
            }
        }
    }

    /// This router's requests, for the other routers.
    pub fn own(&self) -> impl Iterator<Item = (&ServerId, ServerLoad)> {
        self.own.iter().map(|(server, load)| (server, *load))
    }

    /// Replaces what a router reported.
    pub fn note_report(
        &mut self,
        router: RouterId,
        loads: Vec<(ServerId, ServerLoad)>,
        now: Instant,
    ) {
        self.forget_report(router);
        for (server, load) in &loads {
            self.reported.entry(server.clone()).or_default().add(*load);
        }
        self.reports.insert(router, RouterReport { heard: now, loads });
    }

    /// Forgets reports that are too old; returns the routers that sent them.
    pub fn expire(&mut self, now: Instant) -> Vec<RouterId> {
        let old = self.reports.iter().filter(|(_, report)| now - report.heard > REPORT_EXPIRY);
        let routers: Vec<_> = old.map(|(router, _)| *router).collect();
        routers.iter().for_each(|router| self.forget_report(*router));
        routers
    }

    /// Routers whose reports are believed.
    pub fn reporting(&self) -> usize {
        self.reports.len()
    }

    /// Notes how long it takes until each other router has reported once. Where that is longer than
    /// reports are believed, those that are believed stand for the others too.
    pub fn note_cycle(&mut self, cycle: Duration) {
        let believed = REPORT_EXPIRY.as_secs_f64() / cycle.as_secs_f64().max(f64::MIN_POSITIVE);
        self.heard_part = HeardPart(believed.min(1.0));
    }

    /// The requests of all routers at `server`.
    pub fn total(&self, server: &ServerId) -> ServerLoad {
        let mut total = self.own.get(server).copied().unwrap_or_default();
        let reported = self.reported.get(server).copied().unwrap_or_default();
        total.add(reported.of_part(self.heard_part.0));
        total
    }

    fn forget_report(&mut self, router: RouterId) {
        let Some(report) = self.reports.remove(&router) else { return };
        for (server, load) in report.loads {
            if let Some(reported) = self.reported.get_mut(&server) {
                reported.subtract(load);
                if *reported == ServerLoad::default() {
                    self.reported.remove(&server);
                }
            }
        }
    }
}
