//! The slowdowns of all servers that report them.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use papayamux_state::backend::ServerSlowdown;
use papayamux_state::ids::ServerId;

use super::{SlowdownChange, SlowdownEstimate};

/// Age of a server's last report from which it counts as reporting nothing.
const REPORT_EXPIRY: Duration = Duration::from_secs(10);
/// Mean factor from which a slowdown counts as lasting: a server loses a third of its capacity.
const LASTING_FACTOR: f64 = 1.5;
/// Mean factor below which a lasting slowdown has ended. The gap to [`LASTING_FACTOR`] keeps a
/// server between the two from being logged again and again.
const ENDED_FACTOR: f64 = 1.25;

/// The slowdowns that servers reported, with their age.
#[derive(Debug, Default)]
pub struct SlowdownTracker {
    servers: HashMap<ServerId, SlowdownEstimate>,
    lasting: HashSet<ServerId>,
}

impl SlowdownTracker {
    /// Records what a server reported.
    pub fn record(&mut self, server: &ServerId, slowdown: ServerSlowdown, now: Instant) {
        match self.servers.get_mut(server) {
            Some(estimate) if estimate.age(now) < REPORT_EXPIRY => estimate.record(slowdown, now),
            _ => {
                self.servers.insert(server.clone(), SlowdownEstimate::new(slowdown, now));
            }
        }
    }

    /// Returns the factor by which work at a server is expected to take longer than usual; 1 if
    /// the server reports nothing.
    pub fn factor(&self, server: &ServerId, now: Instant) -> f64 {
        self.recent(server, now).map_or(1.0, |estimate| estimate.expected(now))
    }

    /// Returns the mean factor by which a run that took `elapsed` until `now` was slowed down, given
    /// what the server reported with its answer; 1 if the server reports nothing.
    pub fn run_factor(
        &self,
        server: &ServerId,
        reported: Option<ServerSlowdown>,
        elapsed: Duration,
        now: Instant,
    ) -> f64 {
        let Some(estimate) = self.recent(server, now) else { return 1.0 };
        match reported {
            Some(slowdown) => estimate.mean_during(slowdown, elapsed),
            None => estimate.expected(now),
        }
    }

    /// Returns the age of a server's last report; `None` if the server reports nothing.
    pub fn report_age(&self, server: &ServerId, now: Instant) -> Option<Duration> {
        self.recent(server, now).map(|estimate| estimate.age(now))
    }

    /// Removes a server that has departed or restarted, or no longer reports its slowdown.
    pub fn forget(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }

    /// Removes expired reports.
    pub fn forget_old(&mut self, now: Instant) {
        self.servers.retain(|_, estimate| estimate.age(now) < REPORT_EXPIRY);
    }

    /// Returns the number of servers with a report.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server reports a slowdown.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the lasting slowdowns that have begun or ended since the last call, sorted by server.
    pub fn changes(&mut self, now: Instant) -> Vec<SlowdownChange> {
        let begun = self.servers.iter().filter(|(server, estimate)| {
            estimate.mean() >= LASTING_FACTOR && !self.lasting.contains(*server)
        });
        let begun = begun.map(|(server, estimate)| SlowdownChange {
            server: server.clone(),
            mean_factor: estimate.mean(),
            begins: true,
        });
        let mean_factor = |server| self.recent(server, now).map_or(1.0, |estimate| estimate.mean());
        let ended = self.lasting.iter().filter(|server| mean_factor(*server) < ENDED_FACTOR);
        let ended = ended.map(|server| SlowdownChange {
            server: server.clone(),
            mean_factor: mean_factor(server),
            begins: false,
        });
        let mut changes: Vec<_> = begun.chain(ended).collect();
        changes.sort_by(|left, right| left.server.cmp(&right.server));
        for change in &changes {
            match change.begins {
                true => self.lasting.insert(change.server.clone()),
                false => self.lasting.remove(&change.server),
            };
        }
        changes
    }

    fn recent(&self, server: &ServerId, now: Instant) -> Option<&SlowdownEstimate> {
        self.servers.get(server).filter(|estimate| estimate.age(now) < REPORT_EXPIRY)
    }
}
