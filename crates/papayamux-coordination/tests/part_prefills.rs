//! Waits for prefills in progress, when prompts with the same long part arrive and no engine holds
//! it.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::time::{Duration, Instant};

use papayamux_coordination::part_prefills::{prefill_wait_budget, PartPrefills, PromptPrefill};
use papayamux_state::ids::ServerId;
use papayamux_state::prompt::{PartId, PromptChain};
use papayamux_state::quantities::TokenCount;

/// Time that an engine needs for the long part.
const PREFILL_TIME: Duration = Duration::from_millis(200);

fn prefixes(chain: &str) -> Vec<(PartId, TokenCount)> {
    chain.parse::<PromptChain>().unwrap().shared_prefixes()
}

fn prefill(cold: u64, started_at: Instant) -> PromptPrefill {
    let cold = TokenCount::new(cold);
    PromptPrefill { cold, started_at, expected: PREFILL_TIME, ahead: cold, waiting: 0 }
}

fn engine(name: &str) -> ServerId {
    name.parse().unwrap()
}

#[test]
fn each_long_part_is_computed_once_by_an_engine() {
    let started_at = Instant::now();
    let mut prefills = PartPrefills::default();
    let shared = prefixes("a1:2500,b2:6100,c3:580");
    let mut readers = 0;
    let mut waiting = 0;
    let mut open = None;
    // Twenty prompts with the same part arrive while an engine prefills it.
    for number in 0..20 {
        let now = started_at + Duration::from_millis(10 * number);
        if prefills.wait_until(&engine("i-1"), &shared, now).is_some() {
            waiting += 1;
            continue;
        }
        readers += 1;
        open = Some(prefills.begin(&engine("i-1"), &shared, prefill(9_180, now)));
    }
    assert_eq!((readers, waiting), (1, 19));
    // No request waits once the prefill is complete.
    prefills.end(&open.unwrap());
    assert_eq!(prefills.wait_until(&engine("i-1"), &shared, started_at + PREFILL_TIME), None);
}

#[test]
fn requests_for_another_engine_or_other_parts_do_not_wait() {
    let now = Instant::now();
    let mut prefills = PartPrefills::default();
    prefills.begin(&engine("i-1"), &prefixes("a1:2500,b2:6100,c3:580"), prefill(9_180, now));
    let same = prefixes("a1:2500,b2:6100,d4:30");
    assert!(prefills.wait_until(&engine("i-1"), &same, now).is_some());
    assert!(prefills.wait_until(&engine("i-2"), &same, now).is_none());
    assert!(prefills.wait_until(&engine("i-1"), &prefixes("e5:800,f6:900,d4:30"), now).is_none());
    // The common part is short compared with the prefill in progress.
    assert!(prefills.wait_until(&engine("i-1"), &prefixes("a1:2500,f6:900,d4:30"), now).is_none());
}

#[test]
fn nobody_waits_for_a_few_tokens() {
    let now = Instant::now();
    let mut prefills = PartPrefills::default();
    prefills.begin(&engine("i-1"), &prefixes("a1:40,b2:60,c3:90"), prefill(190, now));
    assert!(prefills.wait_until(&engine("i-1"), &prefixes("a1:40,b2:60,d4:90"), now).is_none());
}

#[test]
fn overdue_prefill_is_not_waited_for() {
    let now = Instant::now();
    let mut prefills = PartPrefills::default();
    let shared = prefixes("a1:2500,b2:6100,c3:580");
    prefills.begin(&engine("i-1"), &shared, prefill(9_180, now));
    let until = prefills.wait_until(&engine("i-1"), &shared, now).unwrap();
    assert_eq!(until, now + PREFILL_TIME * 2);
    assert!(prefills.wait_until(&engine("i-1"), &shared, until).is_none());
    assert_eq!(prefill_wait_budget(Duration::from_secs(6)), Duration::from_secs(3));
}

#[test]
fn end_of_a_failed_prefill_lets_the_next_request_begin() {
    let now = Instant::now();
    let mut prefills = PartPrefills::default();
    let shared = prefixes("a1:2500,b2:6100,c3:580");
    let first = prefills.begin(&engine("i-1"), &shared, prefill(9_180, now));
    prefills.end(&first);
    let second = prefills.begin(&engine("i-1"), &shared, prefill(9_180, now));
    // Ending the first prefill again does not end the second one.
    prefills.end(&first);
    assert!(prefills.wait_until(&engine("i-1"), &shared, now).is_some());
    prefills.end(&second);
    assert!(prefills.wait_until(&engine("i-1"), &shared, now).is_none());
}

#[test]
fn nobody_waits_for_a_prefill_that_is_queued_behind_others() {
    let now = Instant::now();
    let shared = prefixes("a1:2500,b2:6100,c3:580");
    let own = prefill(9_180, now);
    let behind = PromptPrefill { ahead: TokenCount::new(40_000), ..own };
    let queued = PromptPrefill { waiting: 3, ..own };
    for prefill in [behind, queued] {
        let mut prefills = PartPrefills::default();
        prefills.begin(&engine("i-1"), &shared, prefill);
        assert!(prefills.wait_until(&engine("i-1"), &shared, now).is_none(), "{prefill:?}");
    }
}

#[test]
fn remote_prefill_is_waited_for_until_its_expected_end() {
    let now = Instant::now();
    let shared = prefixes("a1:2500,b2:6100,c3:580");
    let mut prefills = PartPrefills::default();
    prefills.record_remote(&engine("i-1"), &shared, prefill(9_180, now));
    let until = prefills.wait_until(&engine("i-1"), &shared, now).unwrap();
    assert_eq!(until, now + PREFILL_TIME);
    // If the message about its end is lost, the next request after that time prefills the part, and
    // others wait for it.
    assert!(prefills.wait_until(&engine("i-1"), &shared, until).is_none());
    let ticket = prefills.begin(&engine("i-1"), &shared, prefill(9_180, until));
    assert!(prefills.wait_until(&engine("i-1"), &shared, until).is_some());
    // Neither another remote prefill nor the removal of expired ones ends it.
    prefills.record_remote(&engine("i-1"), &shared, prefill(9_180, until));
    prefills.forget_old(until + PREFILL_TIME * 10);
    assert!(prefills.wait_until(&engine("i-1"), &shared, until).is_some());
    prefills.end(&ticket);
    assert!(prefills.wait_until(&engine("i-1"), &shared, until).is_none());
}

#[test]
fn end_of_a_remote_prefill_ends_the_wait() {
    let now = Instant::now();
    let shared = prefixes("a1:2500,b2:6100,c3:580");
    let mut prefills = PartPrefills::default();
    prefills.record_remote(&engine("i-1"), &shared, prefill(9_180, now));
    prefills.end_remote(&engine("i-1"), &shared);
    assert!(prefills.wait_until(&engine("i-1"), &shared, now).is_none());
    // It doesn't end a prefill of this router.
    prefills.begin(&engine("i-1"), &shared, prefill(9_180, now));
    prefills.end_remote(&engine("i-1"), &shared);
    assert!(prefills.wait_until(&engine("i-1"), &shared, now).is_some());
}

#[test]
fn short_parts_and_queued_prefills_are_not_announced() {
    let now = Instant::now();
    let long = prefixes("a1:2500,b2:6100,c3:580");
    assert!(prefill(9_180, now).is_worth_announcing(&long));
    assert!(!prefill(580, now).is_worth_announcing(&prefixes("a1:100,b2:400,c3:80")));
    let behind = PromptPrefill { ahead: TokenCount::new(40_000), ..prefill(9_180, now) };
    assert!(!behind.is_worth_announcing(&long));
}

#[test]
fn remote_prefill_is_waited_for_at_most_a_few_seconds() {
    let now = Instant::now();
    let shared = prefixes("a1:2500,b2:6100,c3:580");
    let endless = PromptPrefill { expected: Duration::from_secs(4_000_000), ..prefill(9_180, now) };
    let mut prefills = PartPrefills::default();
    prefills.record_remote(&engine("i-1"), &shared, endless);
    let later = now + Duration::from_secs(3);
    assert!(prefills.wait_until(&engine("i-1"), &shared, now).is_some());
    assert!(prefills.wait_until(&engine("i-1"), &shared, later).is_none());
}
