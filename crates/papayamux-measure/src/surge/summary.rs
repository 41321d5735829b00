//! Outcomes of requests and their summary.

use std::time::Duration;

use hdrhistogram::{CreationError, Histogram};

/// Outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallOutcome {
    /// Index of the organisation.
    pub organisation: usize,
    /// Time from the first attempt to the first event; `None` if the request was not served.
    pub first_event: Option<Duration>,
    /// `true` if the caller received a refusal that guarantees that the request did not run.
    pub told: bool,
}

/// Objective for the time to the first event, as in the configuration; an answer within it is on
/// time.
pub(super) const OBJECTIVE: Duration = Duration::from_millis(200);

/// Decimal digits of precision of recorded times.
const TIME_DIGITS: u8 = 3;

/// Results of one policy under one pattern.
#[derive(Debug, Clone, PartialEq)]
pub struct SurgeSummary {
    /// Fraction of the requests that were on time.
    pub on_time: f64,
    /// Fraction on time among the organisations that don't surge.
    pub others_on_time: f64,
    /// Fraction that was late.
    pub late: f64,
    /// Fraction that was not served.
    pub unserved: f64,
    /// Of the requests not served, the fraction that was refused explicitly instead of running into
    /// its deadline.
    pub told: f64,
    /// Median time to the first event of served requests, in milliseconds.
    pub median_ms: u64,
    /// 99th percentile of the time to the first event of served requests, in milliseconds.
    pub high_ms: u64,
}

/// Summarizes outcomes.
///
/// # Errors
///
/// Returns an error if the histogram can't be created, which its fixed precision rules out.
pub fn summarize(outcomes: &[CallOutcome]) -> Result<SurgeSummary, CreationError> {
    let on_time = |outcome: &CallOutcome| outcome.first_event.is_some_and(|took| took <= OBJECTIVE);
    let part = |count: usize, all: usize| count as f64 / all.max(1) as f64;
    let mut times = Histogram::<u64>::new(TIME_DIGITS)?;
    for took in outcomes.iter().filter_map(|outcome| outcome.first_event) {
        times.saturating_record(took.as_millis() as u64);
    }
    let others: Vec<_> = outcomes.iter().filter(|outcome| outcome.organisation != 0).collect();
    let served = outcomes.iter().filter(|outcome| outcome.first_event.is_some()).count();
    let timely = outcomes.iter().filter(|outcome| on_time(outcome)).count();
    Ok(SurgeSummary {
        on_time: part(timely, outcomes.len()),
        others_on_time: part(others.iter().filter(|one| on_time(one)).count(), others.len()),
        late: part(served - timely, outcomes.len()),
        unserved: part(outcomes.len() - served, outcomes.len()),
        told: part(outcomes.iter().filter(|one| one.told).count(), outcomes.len() - served),
        median_ms: times.value_at_quantile(0.5),
        high_ms: times.value_at_quantile(0.99),
    })
}
