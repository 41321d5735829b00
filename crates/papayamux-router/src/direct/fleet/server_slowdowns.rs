//! Slowdowns of servers by other work on their machines.

use std::time::{Duration, Instant};

use papayamux_coordination::mechanism::Mechanism;
use papayamux_state::backend::{BackendServer, ServerSlowdown};
use papayamux_state::shared_queue::ServerOccupancy;

use super::Fleet;

impl Fleet {
    /// Records the slowdown that a server reported with an answer. A server that reports its queue
    /// without a slowdown no longer counts as slowed down.
    pub(in crate::direct) fn record_slowdown(
        &self,
        server: &BackendServer,
        slowdown: Option<ServerSlowdown>,
    ) {
        self.record_slowdown_at(server, slowdown, Instant::now());
    }

    fn record_slowdown_at(
        &self,
        server: &BackendServer,
        slowdown: Option<ServerSlowdown>,
        reported_at: Instant,
    ) {
        if !self.uses(Mechanism::ServerSlowdown) {
            return;
        }
        let mut slowdowns = self.slowdowns.borrow_mut();
        match slowdown {
            Some(slowdown) => {
                slowdowns.record(&server.id, slowdown, reported_at);
                self.metrics.record_slowdown(&server.service, slowdown);
            }
            None => slowdowns.forget(&server.id),
        }
    }

    /// Records the slowdowns that servers reported to another router, unless this router has later
    /// reports.
    pub(super) fn record_reported_slowdowns(&self, reports: &[ServerOccupancy], now: Instant) {
        for report in reports {
            let Some(server) = self.server_by_key(report.server) else { continue };
            let Some(server) = self.presence.borrow().catalog().get(&server).cloned() else {
                continue;
            };
            let known_age = self.slowdowns.borrow().report_age(&server.id, now);
            let is_newer = known_age.is_none_or(|age| report.age < age);
            if let Some(reported_at) = now.checked_sub(report.age).filter(|_| is_newer) {
                self.record_slowdown_at(&server, report.slowdown, reported_at);
            }
        }
    }

    /// Returns the mean factor by which a run of `elapsed` that ends now was slowed down, given what
    /// the server reported with its answer.
    pub(super) fn run_factor(
        &self,
        server: &BackendServer,
        reported: Option<ServerSlowdown>,
        elapsed: Duration,
    ) -> f64 {
        self.slowdowns.borrow().run_factor(&server.id, reported, elapsed, Instant::now())
    }

    /// Logs lasting slowdowns and removes outdated reports.
    pub(super) fn update_slowdowns(&self, now: Instant) {
        let mut slowdowns = self.slowdowns.borrow_mut();
        slowdowns.forget_old(now);
        for change in slowdowns.changes(now) {
            let report_age_ms =
                slowdowns.report_age(&change.server, now).map_or(u64::MAX, age_millis);
            match change.begins {
                true => log::info!(
                    server:% = change.server, slowdown_percent = percent(change.mean_factor),
                    report_age_ms = report_age_ms; "server is slowed down by its neighbours"
                ),
                false => log::info!(
                    server:% = change.server, slowdown_percent = percent(change.mean_factor),
                    report_age_ms = report_age_ms; "server is no longer slowed down"
                ),
            }
        }
    }
}

fn percent(factor: f64) -> u32 {
    (factor * 100.0).round() as u32
}

fn age_millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}
