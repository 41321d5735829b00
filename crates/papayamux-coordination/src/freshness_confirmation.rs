//! Confirmation by peers that a router's configuration is still the newest.
//!
//! A router that can't reach the source doesn't learn of revoked keys. A peer that can may confirm that
//! the router's configuration is still the newest. The confirmation is timestamped on the querying router's
//! clock, to the time at which it sent the query, less the age that the answer reports. Network delays
//! and pauses of either router therefore only make the configuration appear older than it is.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use papayamux_state::boot_time::BootInstant;
use papayamux_state::service_config::ConfigVersion;

/// Fraction of the maximum key age from which peers are queried. Below it, one read of the source may
/// be lost without causing a query.
const QUERY_AGE_FRACTION: f64 = 0.5;
/// Duration for which a query is answered. It covers the next reports to its sender, one of which may be
/// lost.
const QUERY_TTL: Duration = Duration::from_secs(1);

/// A query for a freshness confirmation; the answer repeats it, so that the two can be matched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessQuery {
    /// Random incarnation of the querying router. Its boot clock restarts with its instance, so that
    /// times of different incarnations are not comparable.
    pub incarnation: u64,
    /// Time at which the query was sent, on the querying router's clock.
    pub sent_at: BootInstant,
}

/// A router's report on its own configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessReport {
    /// Version in force.
    pub version: ConfigVersion,
    /// Time since that version was known to be the newest.
    pub age: Duration,
}

/// Returns whether peers should be queried, given the age of the last confirmation and the maximum key
/// age; `false` if either is absent.
pub fn should_query(age: Option<Duration>, max_age: Option<Duration>) -> bool {
    let Some(max_age) = max_age else { return false };
    age.is_some_and(|age| age >= max_age.mul_f64(QUERY_AGE_FRACTION))
}

/// Returns the time up to which the querying router's configuration is known to have been the newest,
/// given an answer that arrived at `now`. `own` is that router's incarnation and the version that it has
/// in force. Returns `None` if the answer confirms nothing: it belongs to another incarnation, reports
/// another version, or doesn't fit the clock.
pub fn confirmed_until(
    query: FreshnessQuery,
    own: (u64, ConfigVersion),
    report: FreshnessReport,
    now: BootInstant,
) -> Option<BootInstant> {
    let (incarnation, version) = own;
    let is_own_query = query.incarnation == incarnation && query.sent_at <= now;
    let confirms = report.version == version && report.age <= query.sent_at.0;
    (is_own_query && confirms).then(|| BootInstant(query.sent_at.0.saturating_sub(report.age)))
}

/// Queries of other routers that are still to be answered.
#[derive(Debug)]
pub struct FreshnessQueries<R> {
    open: HashMap<R, (FreshnessQuery, Instant)>,
}

impl<R> Default for FreshnessQueries<R> {
    fn default() -> Self {
        Self { open: HashMap::new() }
    }
}

impl<R: Copy + Eq + Hash> FreshnessQueries<R> {
    /// Records the query of `router`, in place of an earlier one.
    pub fn record(&mut self, router: R, query: FreshnessQuery, now: Instant) {
        self.open.insert(router, (query, now));
    }

    /// Returns the queries to answer now. Removes expired ones first.
    pub fn open(&mut self, now: Instant) -> Vec<(R, FreshnessQuery)> {
        self.open.retain(|_, (_, recorded_at)| now.duration_since(*recorded_at) < QUERY_TTL);
        self.open.iter().map(|(router, (query, _))| (*router, *query)).collect()
    }
}
