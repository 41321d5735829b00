//! The loads that servers reported to a router.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::ServerId;
use crate::load::{GroupId, GroupLoad, LoadReport};
use crate::quantities::RequestCount;

/// The age at which a report's weight in a mean has decayed to 1/e of that of a fresh one.
const MEAN_DECAY: Duration = Duration::from_millis(400);
/// The age at which a report expires.
pub const REPORT_EXPIRY: Duration = Duration::from_secs(5);

/// A load report with the time of its receipt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimestampedLoad {
    /// The report.
    pub report: LoadReport,
    /// When the report was received.
    pub received_at: Instant,
}

/// The last report of each server. The table has at most one entry for each listed server.
#[derive(Debug, Default)]
pub struct LoadTable {
    reports: HashMap<ServerId, TimestampedLoad>,
}

impl LoadTable {
    /// Records a report that was received at `now`.
    pub fn record(&mut self, server: &ServerId, report: LoadReport, now: Instant) {
        let timestamped = TimestampedLoad { report, received_at: now };
        match self.reports.get_mut(server) {
            Some(known) => *known = timestamped,
            None => {
                self.reports.insert(server.clone(), timestamped);
            }
        }
    }

    /// Adds one running request to a server's last report.
    pub fn add_request(&mut self, server: &ServerId) {
        if let Some(timestamped) = self.reports.get_mut(server) {
            timestamped.report.running += RequestCount::new(1);
        }
    }

    /// Removes the reports of all servers for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&ServerId) -> bool) {
        self.reports.retain(|server, _| keep(server));
    }

    /// Returns the last report of a server, unless it has expired.
    pub fn get(&self, server: &ServerId, now: Instant) -> Option<TimestampedLoad> {
        let timestamped = self.reports.get(server)?;
        (now.saturating_duration_since(timestamped.received_at) < REPORT_EXPIRY)
            .then_some(*timestamped)
    }

    /// Returns the mean load over `servers`, or `None` if all of their reports have expired. Each
    /// report is weighted by its age.
    pub fn group_load<'a>(
        &self,
        group: GroupId,
        servers: impl Iterator<Item = &'a ServerId>,
        now: Instant,
    ) -> Option<GroupLoad> {
        let (mut declared, mut sum, mut samples) = (0, 0.0, 0.0);
        for server in servers {
            declared += 1;
            let Some(timestamped) = self.get(server, now) else { continue };
            let age = now.saturating_duration_since(timestamped.received_at);
            let weight = (-age.as_secs_f64() / MEAN_DECAY.as_secs_f64()).exp();
            sum += weight * timestamped.report.running.get() as f64;
            samples += weight;
        }
        (samples > 0.0).then(|| GroupLoad {
            group,
            mean: sum / samples,
            samples,
            servers: declared,
        })
    }
}
