//! How far away the servers of each failure domain are.
//!
//! Within a failure domain a round trip takes some tenths of a millisecond, to the next one a millisecond
//! or two, and to another region tens: as long as a prompt of a thousand tokens takes to read. Opening a
//! connection takes one, so that each new connection shows it.

use std::collections::HashMap;
use std::time::Duration;

use papayamux_state::ids::FailureDomain;

use crate::server_profile::MedianEstimate;

/// Priors, left with the first connections: a round trip within a failure domain, with a server's time
/// to accept.
const OWN_DOMAIN_PRIOR_MS: f64 = 1.0;
/// The same to another failure domain of the region.
const OTHER_DOMAIN_PRIOR_MS: f64 = 2.5;

/// What new connections have shown.
#[derive(Debug)]
pub struct RoundTrips {
    own: FailureDomain,
    domains: HashMap<FailureDomain, MedianEstimate>,
}

impl RoundTrips {
    /// What a process in the failure domain `own` knows at its start.
    pub fn new(own: FailureDomain) -> Self {
        Self { own, domains: HashMap::new() }
    }

    /// Notes how long it took to open a connection to a server.
    pub fn record(&mut self, domain: &FailureDomain, elapsed: Duration) {
        let prior = self.prior(domain);
        let known = self.domains.entry(domain.clone());
        known.or_insert_with(|| MedianEstimate::new(prior)).note(elapsed.as_secs_f64() * 1_000.0);
    }

    /// The usual round trip, in milliseconds.
    pub fn median_ms(&self, domain: &FailureDomain) -> f64 {
        self.domains.get(domain).map_or_else(|| self.prior(domain), MedianEstimate::value)
    }

    fn prior(&self, domain: &FailureDomain) -> f64 {
        match *domain == self.own {
            true => OWN_DOMAIN_PRIOR_MS,
            false => OTHER_DOMAIN_PRIOR_MS,
        }
    }
}
