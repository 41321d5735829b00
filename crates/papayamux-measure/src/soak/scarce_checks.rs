//! Checks of a small service for which two organisations compete.
//!
//! How much a router gives whom is checked only in calm windows: while nothing was disturbed for a
//! while, at any router.

use std::collections::HashMap;
use std::time::Duration;

use super::checks::{Promise, Violation, UNDISTURBED_BEFORE};
use super::history::{CallResult, RunRecord, SoakHistory, Subject};
use super::scarce_history::{Competitor, ScarceCall};

/// Length of a window. Within it, both organisations make dozens of calls.
const WINDOW: Duration = Duration::from_secs(2);
/// Maximum share of the requests at servers that reach a full one. Each of them has lost a round
/// trip before it is tried elsewhere.
const MAX_OVERFLOW_SHARE: f64 = 0.005;
/// Maximum share of the calls of an organisation within its share that are refused while another
/// one is served beyond its share.
const MAX_REFUSED_SHARE: f64 = 0.02;
/// Fewer calls or requests in calm windows show nothing about shares.
const MIN_COUNT: usize = 50;

/// The sums of some calm windows.
#[derive(Debug, Default)]
struct WindowSums {
    runs: usize,
    overflows: usize,
    /// Calls of the organisation within its share while the other is served beyond its share, and
    /// how many of them were refused.
    steady_calls: usize,
    steady_refused: usize,
}

/// Returns all violations found at the small service.
pub(super) fn check_scarce(history: &SoakHistory) -> Vec<Violation> {
    let mut violations = check_runs(history);
    let sums = sum_windows(history);
    violations.extend(check_overflows(&sums));
    violations.extend(check_shares(&sums));
    violations
}

fn check_runs(history: &SoakHistory) -> Vec<Violation> {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for run in &history.scarce.runs {
        *runs.entry(run.id.as_str()).or_default() += 1;
    }
    let mut violations = Vec::new();
    for ScarceCall { call, .. } in &history.scarce.calls {
        let count = runs.get(call.id.as_str()).copied().unwrap_or_default();
        if call.result == CallResult::NotRun && count > 0 {
            let seen = format!("request {} ran all the same", call.id);
            violations.push(Violation { promise: Promise::NotRunIsTrue, seen });
        }
        if count > call.kind.max_runs() {
            let seen = format!("{} ran {count} times", call.id);
            violations.push(Violation { promise: Promise::RunsAtMost, seen });
        }
    }
    violations
}

fn check_overflows(sums: &WindowSums) -> Option<Violation> {
    let arrived = sums.runs + sums.overflows;
    if arrived < MIN_COUNT || sums.overflows as f64 <= arrived as f64 * MAX_OVERFLOW_SHARE {
        return None;
    }
    let seen = format!("{} of {arrived} requests reached a full server", sums.overflows);
    Some(Violation { promise: Promise::SlotsKept, seen })
}

fn check_shares(sums: &WindowSums) -> Option<Violation> {
    let (calls, refused) = (sums.steady_calls, sums.steady_refused);
    if calls < MIN_COUNT || refused as f64 <= calls as f64 * MAX_REFUSED_SHARE {
        return None;
    }
    let seen = format!("{refused} of {calls} calls within their share were refused");
    Some(Violation { promise: Promise::FairShares, seen })
}

fn sum_windows(history: &SoakHistory) -> WindowSums {
    let mut sums = WindowSums::default();
    let last = history.scarce.calls.iter().map(|one| one.call.ended).max().unwrap_or_default();
    let mut from = Duration::ZERO;
    while from + WINDOW <= last {
        if is_calm(history, from) {
            add_window(history, from, &mut sums);
        }
        from += WINDOW;
    }
    sums
}

fn is_calm(history: &SoakHistory, from: Duration) -> bool {
    let disturbances = history.disturbances.iter().filter(|one| one.subject != Subject::Order);
    let (begin, end) = (from.saturating_sub(UNDISTURBED_BEFORE), from + WINDOW);
    from >= UNDISTURBED_BEFORE
        && !disturbances.into_iter().any(|one| one.from <= end && one.until >= begin)
}

fn add_window(history: &SoakHistory, from: Duration, sums: &mut WindowSums) {
    let is_inside = |at: Duration| (from..from + WINDOW).contains(&at);
    let count = |runs: &[RunRecord]| runs.iter().filter(|run| is_inside(run.at)).count();
    let runs = count(&history.scarce.runs);
    sums.runs += runs;
    sums.overflows += count(&history.scarce.overflows);
    let calls = history.scarce.calls.iter().filter(|one| is_inside(one.call.sent));
    let (steady, surging): (Vec<_>, Vec<_>) =
        calls.partition(|one| one.competitor == Competitor::Steady);
    let served = surging.iter().filter(|one| one.call.result == CallResult::Served).count();
    let is_within_share = steady.len() * 2 <= runs;
    if is_within_share && served * 2 > runs {
        sums.steady_calls += steady.len();
        let refused = steady.iter().filter(|one| one.call.result == CallResult::NotRun);
        sums.steady_refused += refused.count();
    }
}
