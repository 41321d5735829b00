//! Tests the setting of the routing policy.

use papayamux_router::routing::RoutingPolicy;
use papayamux_router::settings::RouterSettings;

const SETTINGS: &str = "[router]\nlisten = 127.0.0.1:0\noperations = 127.0.0.1:0\n\
                        failure_domain = a\n";

#[test]
fn each_policy_is_read_by_its_name() {
    use RoutingPolicy::{BoundedHash, ConsistentHash, Papayamux, Random, TwoChoices};
    for policy in [Random, TwoChoices, ConsistentHash, BoundedHash, Papayamux] {
        let settings = RouterSettings::read("r.ini", &format!("{SETTINGS}policy = {policy}\n"));
        assert_eq!(settings.map(|settings| settings.policy), Ok(policy));
    }
    let settings = RouterSettings::read("r.ini", SETTINGS);
    assert_eq!(settings.map(|settings| settings.policy), Ok(Papayamux));
}

#[test]
fn an_unknown_policy_is_reported_with_its_place() {
    let settings = RouterSettings::read("r.ini", &format!("{SETTINGS}policy = best\n"));
    let findings = settings.map(|_| ()).map_err(|findings| findings.to_string());
    let text = findings.err().unwrap_or_default();
    assert!(text.contains("r.ini:5: [router] policy"), "{text}");
    assert!(text.contains("two-choices"), "{text}");
}
