//! Freshness confirmations between routers, under delayed answers, restarts and partitions.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::time::{Duration, Instant};

use papayamux_coordination::freshness_confirmation::{
    confirmed_until, should_query, FreshnessQueries, FreshnessQuery, FreshnessReport,
};
use papayamux_coordination::key_freshness::{max_key_age, KeyFreshness};
use papayamux_state::boot_time::BootInstant;
use papayamux_state::service_config::ConfigVersion;

const BOUND: Duration = Duration::from_secs(5);
const INCARNATION: u64 = 77;
const OWN: (u64, ConfigVersion) = (INCARNATION, ConfigVersion(4));

fn at(millis: u64) -> BootInstant {
    BootInstant(Duration::from_millis(millis))
}

fn query(sent_at: u64) -> FreshnessQuery {
    FreshnessQuery { incarnation: INCARNATION, sent_at: at(sent_at) }
}

fn report(version: u64, age: u64) -> FreshnessReport {
    FreshnessReport { version: ConfigVersion(version), age: Duration::from_millis(age) }
}

#[test]
fn age_counts_from_the_query_regardless_of_the_answer_delay() {
    let confirmed_at = |now| confirmed_until(query(10_000), OWN, report(4, 600), at(now));
    assert_eq!(confirmed_at(10_300), Some(at(9_400)));
    assert_eq!(confirmed_at(60_000), Some(at(9_400)));
}

#[test]
fn only_the_same_configuration_version_is_confirmed() {
    let confirmed_at =
        |version| confirmed_until(query(10_000), OWN, report(version, 1), at(10_100));
    assert!(confirmed_at(4).is_some());
    assert_eq!(confirmed_at(5), None, "a newer version may have revoked the key");
    assert_eq!(confirmed_at(3), None, "an older version says nothing about newer ones");
}

#[test]
fn answers_to_another_incarnation_or_clock_are_ignored() {
    let foreign = FreshnessQuery { incarnation: 78, sent_at: at(10_000) };
    assert_eq!(confirmed_until(foreign, OWN, report(4, 1), at(10_100)), None);
    assert_eq!(confirmed_until(query(10_000), OWN, report(4, 1), at(9_000)), None);
    assert_eq!(confirmed_until(query(500), OWN, report(4, 600), at(900)), None);
}

#[test]
fn keys_stay_valid_behind_a_partition_and_expire_within_the_bound_when_all_are_cut_off() {
    let mut freshness = KeyFreshness::new(Some(BOUND));
    freshness.confirm(at(1_000));
    // A peer reads the source every 600 ms until 20,000 ms, and is queried every 250 ms.
    for sent_at in (1_500..24_000).step_by(250) {
        let read = sent_at.min(20_000) / 600 * 600;
        let report = report(4, sent_at - read);
        let confirmed_at = confirmed_until(query(sent_at), OWN, report, at(sent_at + 250)).unwrap();
        freshness.confirm_by_peer(confirmed_at);
        assert_eq!(
            freshness.is_fresh(at(sent_at + 250)),
            sent_at + 250 - read < 3_800,
            "{sent_at}"
        );
    }
    assert!(!freshness.is_fresh(at(23_900)));
    assert!(!freshness.is_confirmed(at(23_900)));
}

#[test]
fn peer_confirmation_does_not_count_as_an_own_read() {
    let mut freshness = KeyFreshness::new(Some(BOUND));
    freshness.confirm(at(1_000));
    freshness.confirm_by_peer(at(9_000));
    assert!(freshness.is_fresh(at(10_000)));
    assert!(!freshness.is_confirmed(at(10_000)));
}

#[test]
fn peers_are_queried_before_keys_go_stale() {
    let max_age = Some(max_key_age(BOUND));
    assert!(!should_query(Some(Duration::from_millis(800)), max_age));
    assert!(should_query(Some(Duration::from_millis(2_000)), max_age));
    assert!(!should_query(None, max_age), "without a configuration there is nothing to confirm");
    assert!(!should_query(Some(Duration::from_secs(60)), None), "keys never go stale here");
}

#[test]
fn queries_are_answered_until_they_expire() {
    let now = Instant::now();
    let mut queries = FreshnessQueries::default();
    queries.record(1, query(10), now);
    queries.record(1, query(20), now);
    assert_eq!(queries.open(now), [(1, query(20))]);
    assert!(queries.open(now + Duration::from_secs(2)).is_empty());
}
