//! The load that routers have placed on each server.

use std::collections::HashMap;
use std::fmt;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;

/// Age at which a router's load report expires. Reports come several times a second: a router that
/// is silent for this long is cut off or has stopped, and its requests end soon.
const REPORT_EXPIRY: Duration = Duration::from_millis(2_500);

/// A router, identified by its address for traffic between routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterId(pub IpAddr);

impl fmt::Display for RouterId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Load on a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Number of requests sent that have not completed.
    pub requests: u32,
    /// Number of prompt tokens, not expected to be cached, of requests without a first event.
    pub backlog: u64,
}

impl ServerLoad {
    fn add(&mut self, other: ServerLoad) {
        self.requests = self.requests.saturating_add(other.requests);
        self.backlog = self.backlog.saturating_add(other.backlog);
    }

    /// Estimates the whole load, given that this is the load of a `fraction` of the routers.
    fn extrapolated(self, fraction: f64) -> Self {
        if fraction >= 1.0 {
            return self;
        }
        Self {
            requests: (f64::from(self.requests) / fraction).round() as u32,
            backlog: (self.backlog as f64 / fraction).round() as u64,
        }
    }

    fn subtract(&mut self, other: ServerLoad) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.backlog = self.backlog.saturating_sub(other.backlog);
    }
}

#[derive(Debug)]
struct RouterReport {
    received_at: Instant,
    loads: Vec<(ServerId, ServerLoad)>,
}

/// Prompt tokens that a router reported as waiting at a server.
#[derive(Debug, Clone, Copy)]
struct ReportedBacklog {
    router: RouterId,
    received_at: Instant,
    tokens: u64,
    /// `true` if the router's previous report also had a backlog for this server. A working server
    /// prefills a prompt long before the next report; a backlog that persists is the only sign by
    /// which other routers can tell that a server hangs.
    is_repeated: bool,
}

/// Returns what remains of the backlogs of one server, ordered by time of receipt, assuming that
/// the server has since prefilled them one after the other. Repeated backlogs are counted in full.
fn remaining_backlog(backlogs: &[ReportedBacklog], now: Instant, tokens_per_ms: f64) -> u64 {
    let prefilled_between = |from: Instant, to: Instant| {
        (to.saturating_duration_since(from).as_secs_f64() * 1_000.0 * tokens_per_ms) as u64
    };
    let repeated =
        backlogs.iter().filter(|backlog| backlog.is_repeated).map(|backlog| backlog.tokens);
    let (mut left, mut at) = (0u64, None);
    for backlog in backlogs.iter().filter(|backlog| !backlog.is_repeated) {
        left = left.saturating_sub(at.map_or(0, |at| prefilled_between(at, backlog.received_at)));
        left = left.saturating_add(backlog.tokens);
        at = Some(backlog.received_at);
    }
    left.saturating_sub(at.map_or(0, |at| prefilled_between(at, now)))
        .saturating_add(repeated.fold(0, u64::saturating_add))
}

/// The load of this router's own requests, counted exactly, and that of other routers by their last
/// reports.
#[derive(Debug, Default)]
pub struct LoadLedger {
    own: HashMap<ServerId, ServerLoad>,
    reports: HashMap<RouterId, RouterReport>,
    reported: HashMap<ServerId, u64>,
    backlogs: HashMap<ServerId, Vec<ReportedBacklog>>,
    reported_fraction: ReportedFraction,
}

/// Fraction of the other routers that have an unexpired report, from 0 to 1.
#[derive(Debug, Clone, Copy)]
struct ReportedFraction(f64);

impl Default for ReportedFraction {
    fn default() -> Self {
        Self(1.0)
    }
}

impl LoadLedger {
    /// Adds the load of a request that is sent to `server`.
    pub fn begin(&mut self, server: &ServerId, load: ServerLoad) {
        self.own.entry(server.clone()).or_default().add(load);
    }

    /// Subtracts load added by [`Self::begin`], in whole or in part.
    pub fn end(&mut self, server: &ServerId, load: ServerLoad) {
        if let Some(own) = self.own.get_mut(server) {
            own.subtract(load);
            if *own == ServerLoad::default() {
                self.own.remove(server);
            }
        }
    }

    /// Returns the load of this router's own requests, to be reported to the other routers.
    pub fn own(&self) -> impl Iterator<Item = (&ServerId, ServerLoad)> {
        self.own.iter().map(|(server, load)| (server, *load))
    }

    /// Replaces the last report of a router.
    pub fn record_report(
        &mut self,
        router: RouterId,
        loads: Vec<(ServerId, ServerLoad)>,
        now: Instant,
    ) {
        let before = self.remove_report(router);
        let had_backlog = |server: &ServerId| {
            before.iter().any(|(known, load)| known == server && load.backlog > 0)
        };
        for (server, load) in &loads {
            *self.reported.entry(server.clone()).or_default() += u64::from(load.requests);
            if load.backlog > 0 {
                let is_repeated = had_backlog(server);
                let backlog =
                    ReportedBacklog { router, received_at: now, tokens: load.backlog, is_repeated };
                self.backlogs.entry(server.clone()).or_default().push(backlog);
            }
        }
        self.reports.insert(router, RouterReport { received_at: now, loads });
    }

    /// Removes expired reports and returns the routers that sent them.
    pub fn expire(&mut self, now: Instant) -> Vec<RouterId> {
        let old =
            self.reports.iter().filter(|(_, report)| now - report.received_at > REPORT_EXPIRY);
        let routers: Vec<_> = old.map(|(router, _)| *router).collect();
        for router in &routers {
            self.remove_report(*router);
        }
        routers
    }

    /// Returns the number of routers with an unexpired report.
    pub fn reporting(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether all other routers report before their reports expire, so that a missing one shows that
    /// its router is gone.
    pub fn hears_all(&self) -> bool {
        self.reported_fraction.0 >= 1.0
    }

    /// Records the time within which every other router reports once. If it exceeds the expiry of
    /// reports, the load of the routers with unexpired reports is extrapolated to all routers.
    pub fn record_cycle(&mut self, cycle: Duration) {
        let reported = REPORT_EXPIRY.as_secs_f64() / cycle.as_secs_f64().max(f64::MIN_POSITIVE);
        self.reported_fraction = ReportedFraction(reported.min(1.0));
    }

    /// Returns the load of all routers on `server`, which prefills `tokens_per_ms`.
    ///
    /// Reported backlogs shrink at the server's prefill rate after they are received: a prompt of
    /// 10,000 tokens is prefilled in 0.16 s, while in a large fleet two routers hear from each
    /// other only every few seconds. Counting such a backlog in full until the next report moved
    /// prompts to other engines needlessly.
    pub fn total(&self, server: &ServerId, now: Instant, tokens_per_ms: f64) -> ServerLoad {
        let backlogs = self.backlogs.get(server).map(Vec::as_slice).unwrap_or_default();
        let requests = self.reported.get(server).copied().unwrap_or_default();
        let reported = ServerLoad {
            requests: u32::try_from(requests).unwrap_or(u32::MAX),
            backlog: remaining_backlog(backlogs, now, tokens_per_ms),
        };
        let mut total = self.own.get(server).copied().unwrap_or_default();
        total.add(reported.extrapolated(self.reported_fraction.0));
        total
    }

    /// Removes a router's report and returns its loads.
    fn remove_report(&mut self, router: RouterId) -> Vec<(ServerId, ServerLoad)> {
        let Some(report) = self.reports.remove(&router) else { return Vec::new() };
        for (server, load) in &report.loads {
            if let Some(reported) = self.reported.get_mut(server) {
                *reported = reported.saturating_sub(u64::from(load.requests));
                if *reported == 0 {
                    self.reported.remove(server);
                }
            }
            if let Some(backlogs) = self.backlogs.get_mut(server) {
                backlogs.retain(|backlog| backlog.router != router);
                if backlogs.is_empty() {
                    self.backlogs.remove(server);
                }
            }
        }
        report.loads
    }
}
