//! Keys are accepted only while the configuration is known to be recent.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::time::Duration;

use papayamux_coordination::key_freshness::{KeyFreshness, REVOCATION_RESERVE};
use papayamux_state::boot_time::BootInstant;

const BOUND: Duration = Duration::from_secs(5);

fn at(millis: u64) -> BootInstant {
    BootInstant(Duration::from_millis(millis))
}

#[test]
fn keys_are_stale_before_the_first_confirmation() {
    assert!(!KeyFreshness::new(Some(BOUND)).is_fresh(at(10)));
    assert!(KeyFreshness::new(None).is_fresh(at(10)));
}

#[test]
fn age_counts_from_when_the_read_was_sent() {
    let mut freshness = KeyFreshness::new(Some(BOUND));
    // The read was sent at 1,000 ms and returned a second later.
    freshness.confirm(at(1_000));
    let bound = 1_000 + (BOUND - REVOCATION_RESERVE).as_millis() as u64;
    assert!(freshness.is_fresh(at(bound - 1)));
    assert!(!freshness.is_fresh(at(bound)));
}

#[test]
fn suspended_instance_has_stale_keys() {
    let mut freshness = KeyFreshness::new(Some(BOUND));
    freshness.confirm(at(1_000));
    // The instance was suspended for a minute, during which the boot clock kept running.
    assert!(!freshness.is_fresh(at(61_000)));
    freshness.confirm(at(61_005));
    assert!(freshness.is_fresh(at(61_010)));
}

#[test]
fn older_confirmation_does_not_increase_the_age() {
    let mut freshness = KeyFreshness::new(Some(BOUND));
    freshness.confirm(at(3_000));
    freshness.confirm(at(1_000));
    assert_eq!(freshness.age(at(3_500)), Some(Duration::from_millis(500)));
}
