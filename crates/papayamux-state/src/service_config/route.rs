//! A route and its choice of a service.

use std::time::Duration;

use super::{HomeRegions, RequestKind};
use crate::ids::{RouteId, ServiceId};

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// The service that receives the share.
    pub service: ServiceId,
    /// The service's weight relative to the route's other services.
    pub weight: u32,
}

/// The services and the limits for requests with a certain host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The identifier of the route.
    pub id: RouteId,
    /// The services that run the route's requests, with their weights.
    pub shares: Vec<ServiceShare>,
    /// The kind of the route's requests, which determines whether they may be retried.
    pub kind: RequestKind,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is on time.
    pub objective: Duration,
    /// Maximum pause between two events of a stream that is on time.
    pub gap_objective: Option<Duration>,
    /// Maximum number of servers on which one request may run.
    pub attempts: u32,
    /// The priority among the service's requests; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests are accepted without an API key.
    pub anonymous: bool,
    /// The regions in which the route's requests may run.
    pub homes: HomeRegions,
}

impl Route {
    /// Returns whether requests may go to a service.
    pub fn has_service(&self, service: &ServiceId) -> bool {
        self.shares.iter().any(|share| share.service == *service)
    }

    /// Returns the service for a request, chosen by weight with the random number `sample` in the
    /// range 0 (inclusive) to 1 (exclusive).
    pub fn pick_service(&self, sample: f64) -> Option<&ServiceId> {
        let total: f64 = self.shares.iter().map(|share| f64::from(share.weight)).sum();
        let mut left = sample * total;
        let chosen = self.shares.iter().find(|share| {
            left -= f64::from(share.weight);
            left < 0.0
        });
        chosen.or(self.shares.first()).map(|share| &share.service)
    }
}
