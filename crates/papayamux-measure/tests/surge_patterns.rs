//! Tests of the load patterns and of the summaries of outcomes.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::time::Duration;

use papayamux_measure::surge::{
    draw_calls, summarize, CallOutcome, EngineKind, LoadPattern, SurgeSummary,
};

const LENGTH: Duration = Duration::from_secs(9);

fn within(calls: &[papayamux_measure::surge::PlannedCall], from: u64, until: u64) -> usize {
    let span = Duration::from_secs(from)..Duration::from_secs(until);
    calls.iter().filter(|call| span.contains(&call.at)).count()
}

#[test]
fn a_seed_draws_the_same_calls_in_their_order() {
    let calls = draw_calls(LoadPattern::Calm, 3, LENGTH);
    assert_eq!(calls, draw_calls(LoadPattern::Calm, 3, LENGTH));
    assert_ne!(calls, draw_calls(LoadPattern::Calm, 4, LENGTH));
    assert!(calls.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

#[test]
fn a_surge_fills_the_middle_third() {
    let calls = draw_calls(LoadPattern::SurgeOfAll, 1, LENGTH);
    let (before, during, after) =
        (within(&calls, 0, 3), within(&calls, 3, 6), within(&calls, 6, 9));
    assert!(during > 7 * before && during > 7 * after, "{before} {during} {after}");
}

#[test]
fn a_surge_of_one_comes_from_one_organisation() {
    let calls = draw_calls(LoadPattern::SurgeOfOne, 1, LENGTH);
    let middle: Vec<_> =
        calls.iter().filter(|call| (3..6).contains(&call.at.as_secs())).copied().collect();
    let own = middle.iter().filter(|call| call.organisation == 0).count();
    assert!(own * 10 > middle.len() * 7, "{own} of {}", middle.len());
}

#[test]
fn a_hot_part_has_its_quarter() {
    let calls = draw_calls(LoadPattern::HotPart, 1, LENGTH);
    let hot = calls.iter().filter(|call| call.part == 0).count() as f64 / calls.len() as f64;
    assert!((0.2..0.37).contains(&hot), "{hot}");
}

#[test]
fn outcomes_are_counted_as_callers_see_them() {
    let outcome = |organisation, millis: Option<u64>| CallOutcome {
        organisation,
        first_event: millis.map(Duration::from_millis),
        told: millis.is_none(),
    };
    let outcomes =
        [outcome(0, Some(50)), outcome(0, None), outcome(1, Some(900)), outcome(1, Some(100))];
    assert_eq!(
        summarize(&outcomes).unwrap(),
        SurgeSummary {
            on_time: 0.5,
            others_on_time: 0.5,
            late: 0.25,
            unserved: 0.25,
            told: 1.0,
            median_ms: 100,
            high_ms: 900,
        }
    );
}

#[test]
fn kinds_of_engines_are_read_by_their_names() {
    for name in ["usual", "slower", "few-slots", "thin-links", "slower-from-halfway"] {
        assert_eq!(name.parse::<EngineKind>().unwrap().to_string(), name);
    }
    let error = "quick".parse::<EngineKind>().unwrap_err().to_string();
    assert!(error.contains("\"quick\"") && error.contains("one-slow"), "{error}");
}
