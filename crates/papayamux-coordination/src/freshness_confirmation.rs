//! Routers vouch for one another's configuration.
//!
//! A router that can't reach the source knows nothing of keys that were taken away since. One that
//! can may tell it that its configuration is still the newest. What counts is when the other router's
//! read was sent, on the clock of the one that asks: no later than its question plus the age that the
//! answer states. So the time on the way, and a pause of either router, only make it older.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use papayamux_state::boot_time::BootInstant;
use papayamux_state::service_config::ConfigVersion;

/// Age of the own confirmation, as a part of the longest at which keys are accepted, from which others
/// are asked: one read of the source may be lost without a question.
const QUERY_AGE_FRACTION: f64 = 0.5;
/// How long a question is answered: the next reports to its sender, of which one may be lost.
const QUERY_TTL: Duration = Duration::from_secs(1);

/// A question, by which its answer is known again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessQuery {
    /// The life of the router that asks, drawn at its start: its clock begins anew when its instance
    /// does.
    pub incarnation: u64,
    /// When it asked, on its own clock.
    pub sent_at: BootInstant,
}

/// What a router knows of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessReport {
    /// The version that it has in force.
    pub version: ConfigVersion,
    /// How long ago that was known to be the newest.
    pub age: Duration,
}

/// Whether to ask others, with a confirmation of this age.
pub fn should_query(age: Option<Duration>, max_age: Option<Duration>) -> bool {
    let Some(max_age) = max_age else { return false };
    age.is_some_and(|age| age >= max_age.mul_f64(QUERY_AGE_FRACTION))
}

/// Until when the configuration of the router that asked is known to have been the newest, by an
/// answer that arrived at `now`; `None` where it vouches for nothing.
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

/// The questions of other routers that are still to be answered.
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
    /// Notes what `router` asks.
    pub fn record(&mut self, router: R, query: FreshnessQuery, now: Instant) {
        self.open.insert(router, (query, now));
    }

    /// The questions to answer now.
    pub fn open(&mut self, now: Instant) -> Vec<(R, FreshnessQuery)> {
        self.open.retain(|_, (_, recorded_at)| now.duration_since(*recorded_at) < QUERY_TTL);
        self.open.iter().map(|(router, (query, _))| (*router, *query)).collect()
    }
}
