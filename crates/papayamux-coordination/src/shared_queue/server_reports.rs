//! What servers reported about all requests at them, whoever sent these.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerKey;
use papayamux_state::shared_queue::ServerOccupancy;

/// Minimum time for which a report counts. It covers the way of the report.
const MIN_VALIDITY: Duration = Duration::from_millis(50);
/// Maximum time for which a report counts. An old report doesn't keep a server full that no longer
/// answers.
const MAX_VALIDITY: Duration = Duration::from_millis(400);

/// Requests at each server that the owner doesn't know: another owner's, those of routers that have
/// not reported to this owner yet, and those that were sent without any.
#[derive(Debug, Default)]
pub(super) struct ServerReports {
    servers: BTreeMap<ServerKey, UnknownRequests>,
}

#[derive(Debug, Clone, Copy)]
struct UnknownRequests {
    requests: u32,
    reported_at: Instant,
}

impl ServerReports {
    /// Records what a server reported at `reported_at`, unless a later report is known. `held` is
    /// the number of requests there that the owner knows and that were granted before.
    pub(super) fn record(&mut self, occupancy: &ServerOccupancy, held: u32, reported_at: Instant) {
        let reported = occupancy.running.saturating_add(occupancy.waiting);
        let unknown = UnknownRequests { requests: reported.saturating_sub(held), reported_at };
        let known = self.servers.entry(occupancy.server).or_insert(unknown);
        if reported_at >= known.reported_at {
            *known = unknown;
        }
    }

    /// Returns the number of unknown requests at a server whose calls take `call_time`; `None`
    /// without a recent report. After a call's time all requests of then are done.
    pub(super) fn unknown(
        &self,
        server: ServerKey,
        call_time: Duration,
        now: Instant,
    ) -> Option<u32> {
        let known = self.servers.get(&server)?;
        let age = now.saturating_duration_since(known.reported_at);
        (age < report_validity(call_time)).then_some(known.requests)
    }

    /// Removes expired reports.
    pub(super) fn forget_old(&mut self, now: Instant) {
        self.servers
            .retain(|_, known| now.saturating_duration_since(known.reported_at) < MAX_VALIDITY);
    }
}

/// Returns the time for which a report of a server counts.
pub(super) fn report_validity(call_time: Duration) -> Duration {
    call_time.clamp(MIN_VALIDITY, MAX_VALIDITY)
}
