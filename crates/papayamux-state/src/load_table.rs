//! A router's memory of the loads that servers reported to it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::ServerId;
use crate::load::{GroupId, GroupLoad, LoadReport};
use crate::quantities::RequestCount;

/// Age at which a report counts for 1/e of a fresh one in a mean.
const MEAN_DECAY: Duration = Duration::from_millis(400);
/// Age at which a report is no longer believed.
pub const REPORT_EXPIRY: Duration = Duration::from_secs(5);

/// A report and when it was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimestampedLoad {
    /// The report.
    pub report: LoadReport,
    /// When it arrived.
    pub arrived: Instant,
}

/// The last report of each server; it is as large as the list of servers.
#[derive(Debug, Default)]
pub struct LoadTable {
    reports: HashMap<ServerId, TimestampedLoad>,
}

impl LoadTable {
    /// Notes a report that arrived at `now`.
    pub fn record(&mut self, server: &ServerId, report: LoadReport, now: Instant) {
        let timestamped = TimestampedLoad { report, arrived: now };
        match self.reports.get_mut(server) {
            Some(known) => *known = timestamped,
            None => {
                self.reports.insert(server.clone(), timestamped);
            }
        }
    }

    /// Counts one request more into a server's last report.
    pub fn add_request(&mut self, server: &ServerId) {
        if let Some(timestamped) = self.reports.get_mut(server) {
            timestamped.report.running += RequestCount::new(1);
        }
    }

    /// Forgets all servers but those in `keep`.
    pub fn retain(&mut self, keep: impl Fn(&ServerId) -> bool) {
        self.reports.retain(|server, _| keep(server));
    }

    /// The last report of a server, unless it is too old to be believed.
    pub fn get(&self, server: &ServerId, now: Instant) -> Option<TimestampedLoad> {
        let timestamped = self.reports.get(server)?;
        (now.saturating_duration_since(timestamped.arrived) < REPORT_EXPIRY).then_some(*timestamped)
    }

    /// The mean over `servers`, each report counted less the older it is; `None` where there is
    /// no report to be believed.
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
            let age = now.saturating_duration_since(timestamped.arrived);
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
