//! Load patterns and the schedule of their requests.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use thiserror::Error;

/// A load pattern.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadPattern {
    /// A load well below the capacity of the engines.
    Calm,
    /// Ten times the usual load from every organisation during the middle third.
    SurgeOfAll,
    /// One organisation sends twenty times its usual load during the middle third.
    SurgeOfOne,
    /// A quarter of the requests share one prompt part.
    HotPart,
    /// A third of the engines drain halfway through.
    EnginesGone,
}

const PATTERNS: [LoadPattern; 5] = [
    LoadPattern::Calm,
    LoadPattern::SurgeOfAll,
    LoadPattern::SurgeOfOne,
    LoadPattern::HotPart,
    LoadPattern::EnginesGone,
];

impl fmt::Display for LoadPattern {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            LoadPattern::Calm => "calm",
            LoadPattern::SurgeOfAll => "surge-of-all",
            LoadPattern::SurgeOfOne => "surge-of-one",
            LoadPattern::HotPart => "hot-part",
            LoadPattern::EnginesGone => "engines-gone",
        })
    }
}

/// The error of parsing an unknown load pattern.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "unknown load pattern {0:?}; use calm, surge-of-all, surge-of-one, hot-part or engines-gone"
)]
pub struct UnknownPattern(String);

impl FromStr for LoadPattern {
    type Err = UnknownPattern;

    fn from_str(text: &str) -> Result<Self, UnknownPattern> {
        let known = PATTERNS.into_iter().find(|pattern| pattern.to_string() == text);
        known.ok_or_else(|| UnknownPattern(text.to_string()))
    }
}

/// Number of organisations that send requests.
pub(super) const ORGANISATIONS: usize = 6;
/// Number of shared prompt parts.
pub(super) const PARTS: u64 = 24;
/// Usual number of requests per second: a fifth of what six engines can serve.
const USUAL_RATE: f64 = 50.0;
/// Factor of the load in a surge of all organisations.
const SURGE: f64 = 10.0;
/// Factor of the surging organisation's load.
const SURGE_OF_ONE: f64 = 20.0;
/// Fraction of the requests that use the hot part.
const HOT_PART: f64 = 0.25;

/// A scheduled request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedCall {
    /// Time at which it is sent, relative to the start.
    pub at: Duration,
    /// Index of the organisation; 0 is the one that surges.
    pub organisation: usize,
    /// Index of the shared part of its prompt.
    pub part: u64,
}

/// Returns the requests of a pattern for a seed, in the order in which they are sent.
pub fn draw_calls(pattern: LoadPattern, seed: u64, length: Duration) -> Vec<PlannedCall> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let mut at = 0.0;
    while at < length.as_secs_f64() {
        let surging = (1.0 / 3.0..2.0 / 3.0).contains(&(at / length.as_secs_f64()));
        let (rate, from_one) = match (pattern, surging) {
            (LoadPattern::SurgeOfAll, true) => (USUAL_RATE * SURGE, None),
            (LoadPattern::SurgeOfOne, true) => {
                let own = USUAL_RATE / ORGANISATIONS as f64 * SURGE_OF_ONE;
                let others = USUAL_RATE * (1.0 - 1.0 / ORGANISATIONS as f64);
                (own + others, Some(own / (own + others)))
            }
            _ => (USUAL_RATE, None),
        };
        // Exponential gaps: callers are independent of one another.
        at += -random.random_range(f64::EPSILON..1.0).ln() / rate;
        let organisation = match from_one {
            Some(part) if random.random_bool(part) => 0,
            Some(_) => random.random_range(1..ORGANISATIONS),
            None => random.random_range(0..ORGANISATIONS),
        };
        let hot = pattern == LoadPattern::HotPart && random.random_bool(HOT_PART);
        let part = if hot { 0 } else { random.random_range(0..PARTS) };
        calls.push(PlannedCall { at: Duration::from_secs_f64(at), organisation, part });
    }
    calls
}
