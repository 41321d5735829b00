//! The distance to the servers of each failure domain.
//!
//! A round trip takes some tenths of a millisecond within a failure domain, one or two milliseconds
//! to the next one, and tens of milliseconds to another region: as long as the prefill of a
//! thousand tokens. Opening a connection takes one round trip, so each new connection measures it.

use std::collections::HashMap;
use std::time::Duration;

use papayamux_state::ids::FailureDomain;

use crate::server_profile::MedianEstimate;

/// Prior for a round trip within a failure domain, including the server's time to accept. The first
/// connections replace it.
const OWN_DOMAIN_PRIOR_MS: f64 = 1.0;
/// Prior for a round trip to another failure domain of the region.
const OTHER_DOMAIN_PRIOR_MS: f64 = 2.5;

/// Number of connections before which the prior holds. A single one that opens slowly would make its domain
/// look farther than the others, which then get the requests, so that the estimate is never corrected.
const MIN_CONNECTIONS: u32 = 3;

/// The round trips that new connections have shown.
#[derive(Debug)]
pub struct RoundTrips {
    own: FailureDomain,
    domains: HashMap<FailureDomain, MedianEstimate>,
}

impl RoundTrips {
    /// Creates the estimates of a process in the failure domain `own`, from the priors.
    pub fn new(own: FailureDomain) -> Self {
        Self { own, domains: HashMap::new() }
    }

    /// Records the time that it took to open a connection to a server.
    pub fn record(&mut self, domain: &FailureDomain, elapsed: Duration) {
        let prior = self.prior(domain);
        let known = self.domains.entry(domain.clone());
        known.or_insert_with(|| MedianEstimate::new(prior)).record(elapsed.as_secs_f64() * 1_000.0);
    }

    /// Returns the median round trip in milliseconds.
    pub fn median_ms(&self, domain: &FailureDomain) -> f64 {
        let known = self.domains.get(domain);
        let known = known.filter(|estimate| estimate.samples() >= MIN_CONNECTIONS);
        known.map_or_else(|| self.prior(domain), MedianEstimate::value)
    }

    fn prior(&self, domain: &FailureDomain) -> f64 {
        match *domain == self.own {
            true => OWN_DOMAIN_PRIOR_MS,
            false => OTHER_DOMAIN_PRIOR_MS,
        }
    }
}
