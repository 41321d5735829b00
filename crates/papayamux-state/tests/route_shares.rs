//! The choice of a service by the weights of a route.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::time::Duration;

use papayamux_state::service_config::{HomeRegions, RequestKind, Route, ServiceShare};

fn route(weights: [u32; 2]) -> Route {
    let shares = ["a", "b"].into_iter().zip(weights);
    let shares = shares
        .map(|(service, weight)| ServiceShare { service: service.parse().unwrap(), weight })
        .collect();
    Route {
        id: "r".parse().unwrap(),
        shares,
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        gap_objective: None,
        attempts: 1,
        priority: 0,
        anonymous: false,
        homes: HomeRegions::default(),
    }
}

/// Guards against a sum of weights that overflows, so that one service gets all requests.
#[test]
fn weights_of_any_size_are_shared_out() {
    let pick = |weights, sample| route(weights).pick_service(sample).unwrap().to_string();
    for weights in [[1, 1], [u32::MAX, u32::MAX]] {
        assert_eq!(pick(weights, 0.49), "a", "{weights:?}");
        assert_eq!(pick(weights, 0.51), "b", "{weights:?}");
    }
    assert_eq!(pick([0, 0], 0.9), "a");
}
