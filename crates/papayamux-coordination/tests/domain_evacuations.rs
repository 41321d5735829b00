//! Evacuation orders, applied one by one and all at once.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::time::Instant;

use papayamux_coordination::domain_evacuations::{
    DomainEvacuations, EvacuationChange, REWRITE_GRACE,
};
use papayamux_state::evacuation::EvacuationOrder;
use papayamux_state::source::{SourceEra, SourcePosition};

fn order(domain: &str, position: u64) -> EvacuationOrder {
    EvacuationOrder {
        domain: domain.parse().unwrap(),
        position: SourcePosition::new(SourceEra::default(), position),
    }
}

fn begun(domain: &str, position: u64) -> EvacuationChange {
    EvacuationChange::Begun(order(domain, position))
}

fn ended(domain: &str) -> EvacuationChange {
    EvacuationChange::Ended(domain.parse().unwrap())
}

#[test]
fn repeated_order_is_the_same_evacuation() {
    let mut evacuations = DomainEvacuations::default();
    assert_eq!(evacuations.begin(order("hall", 4)), Some(begun("hall", 4)));
    assert_eq!(evacuations.begin(order("hall", 7)), None);
    assert!(evacuations.covers(&"hall".parse().unwrap()));
    assert!(!evacuations.covers(&"desk".parse().unwrap()));
    assert_eq!(evacuations.orders(), [order("hall", 7)]);
}

#[test]
fn ending_an_unknown_evacuation_changes_nothing() {
    let mut evacuations = DomainEvacuations::default();
    assert_eq!(evacuations.end(&"hall".parse().unwrap()), None);
    evacuations.begin(order("hall", 4));
    assert_eq!(evacuations.end(&"hall".parse().unwrap()), Some(ended("hall")));
    assert!(evacuations.is_empty());
}

#[test]
fn replacing_all_orders_ends_missing_and_begins_new_evacuations() {
    let mut evacuations = DomainEvacuations::default();
    evacuations.begin(order("hall", 4));
    evacuations.begin(order("desk", 5));
    let changes = evacuations.replace(vec![order("desk", 5), order("cellar", 9)]);
    assert_eq!(changes, [ended("hall"), begun("cellar", 9)]);
    assert_eq!(evacuations.replace(evacuations.clone().orders()), []);
    assert_eq!(evacuations.replace(Vec::new()).len(), 2);
}

/// A copy of the source may lack an order that is still in force. Only one that isn't written again has ended.
#[test]
fn order_that_a_copy_lacks_stays_in_force_until_it_is_written_again() {
    let now = Instant::now();
    let mut evacuations = DomainEvacuations::default();
    evacuations.begin(order("hall", 4));
    evacuations.begin(order("desk", 5));
    assert_eq!(evacuations.replace_restored(vec![order("cellar", 2)], now), [begun("cellar", 2)]);
    assert!(evacuations.covers(&"hall".parse().unwrap()));
    // It isn't reported to others as an order that the source holds, nor ended by what these report.
    assert_eq!(evacuations.orders(), [order("cellar", 2)]);
    assert_eq!(evacuations.replace(vec![order("cellar", 2)]), []);
    assert_eq!(evacuations.begin(order("hall", 3)), None);
    assert_eq!(evacuations.expire(now + REWRITE_GRACE), [ended("desk")]);
    assert_eq!(evacuations.orders(), [order("cellar", 2), order("hall", 3)]);
}
