//! Routers that vouch for one another's configuration, and what delays and pauses do to that.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::time::{Duration, Instant};

use papayamux_coordination::key_freshness::{longest_key_age, KeyFreshness};
use papayamux_coordination::peer_vouching::{
    should_ask, vouched_until, VouchQuestion, VouchQuestions, VouchStatement,
};
use papayamux_state::boot_time::BootInstant;
use papayamux_state::service_config::ConfigVersion;

const BOUND: Duration = Duration::from_secs(5);
const LIFE: u64 = 77;
const OWN: (u64, ConfigVersion) = (LIFE, ConfigVersion(4));

fn at(millis: u64) -> BootInstant {
    BootInstant(Duration::from_millis(millis))
}

fn question(asked: u64) -> VouchQuestion {
    VouchQuestion { life: LIFE, asked: at(asked) }
}

fn statement(version: u64, age: u64) -> VouchStatement {
    VouchStatement { version: ConfigVersion(version), age: Duration::from_millis(age) }
}

#[test]
fn the_age_counts_from_the_question_however_late_the_answer_is() {
    let vouched = |now| vouched_until(question(10_000), OWN, statement(4, 600), at(now));
    assert_eq!(vouched(10_300), Some(at(9_400)));
    assert_eq!(vouched(60_000), Some(at(9_400)));
}

#[test]
fn only_the_same_configuration_is_vouched_for() {
    let vouched = |version| vouched_until(question(10_000), OWN, statement(version, 1), at(10_100));
    assert!(vouched(4).is_some());
    assert_eq!(vouched(5), None, "a newer one may have taken the key away");
    assert_eq!(vouched(3), None, "an older one says nothing of a newer one");
}

#[test]
fn answers_to_another_life_or_from_another_clock_count_for_nothing() {
    let stranger = VouchQuestion { life: 78, asked: at(10_000) };
    assert_eq!(vouched_until(stranger, OWN, statement(4, 1), at(10_100)), None);
    assert_eq!(vouched_until(question(10_000), OWN, statement(4, 1), at(9_000)), None);
    assert_eq!(vouched_until(question(500), OWN, statement(4, 600), at(900)), None);
}

#[test]
fn keys_stay_in_use_behind_a_cut_and_end_within_the_bound_when_all_are_cut_off() {
    let mut freshness = KeyFreshness::new(Some(BOUND));
    freshness.confirm(at(1_000));
    // A peer reads the source each 600 ms until 20,000; it is asked each quarter of a second.
    for asked in (1_500..24_000).step_by(250) {
        let read = asked.min(20_000) / 600 * 600;
        let statement = statement(4, asked - read);
        let vouched = vouched_until(question(asked), OWN, statement, at(asked + 250)).unwrap();
        freshness.vouch(vouched);
        assert_eq!(freshness.is_fresh(at(asked + 250)), asked + 250 - read < 3_800, "{asked}");
    }
    assert!(!freshness.is_fresh(at(23_900)));
    assert!(!freshness.is_confirmed(at(23_900)));
}

#[test]
fn who_is_vouched_for_is_not_taken_for_one_that_reads_the_source() {
    let mut freshness = KeyFreshness::new(Some(BOUND));
    freshness.confirm(at(1_000));
    freshness.vouch(at(9_000));
    assert!(freshness.is_fresh(at(10_000)));
    assert!(!freshness.is_confirmed(at(10_000)));
}

#[test]
fn others_are_asked_before_keys_go_stale() {
    let longest = Some(longest_key_age(BOUND));
    assert!(!should_ask(Some(Duration::from_millis(800)), longest));
    assert!(should_ask(Some(Duration::from_millis(2_000)), longest));
    assert!(!should_ask(None, longest), "without a configuration there is nothing to vouch for");
    assert!(!should_ask(Some(Duration::from_secs(60)), None), "keys never go stale here");
}

#[test]
fn questions_are_answered_for_a_while() {
    let now = Instant::now();
    let mut questions = VouchQuestions::default();
    questions.note(1, question(10), now);
    questions.note(1, question(20), now);
    assert_eq!(questions.open(now), [(1, question(20))]);
    assert!(questions.open(now + Duration::from_secs(2)).is_empty());
}
