//! Records the outcomes of the turns and calls of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use papayamux_protocol::engine::TOKENS_PER_BLOCK;
use papayamux_protocol::failure::FailureEnvelope;

/// The highest value of a histogram, in microseconds; longer times are recorded as this value.
const MAX_MICROS: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// A complete answer whose bytes are all as expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnsweredTurn {
    /// The number of prompt tokens that the engine read from its cache.
    pub cached_tokens: u64,
    /// The time from sending the turn to its first token.
    pub first_token: Duration,
    /// The mean time between two tokens.
    pub token_gap: Duration,
}

/// The outcome of a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnOutcome {
    /// The answer is complete and correct.
    Answered(AnsweredTurn),
    /// The answer contains bytes that are not part of the expected answer.
    Mixed,
    /// The answer ended early but was presented as complete.
    Short,
    /// The answer was truncated, and the caller received a failure or saw the connection break.
    Cut,
    /// The turn was refused with the outcome "not run".
    Refused,
    /// The turn failed in any other way.
    Failed,
}

/// The record of one turn of a chat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnRecord {
    /// The time at which the turn was sent, since the start of the run.
    pub sent: Duration,
    /// The organisation, as its rank by size from 0.
    pub organisation: usize,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The number of tokens requested.
    pub answer_tokens: u64,
    /// The number of blocks in the history after the chat's previous turn; zero for a first turn.
    pub history_blocks: usize,
    /// The number of leading blocks that the best placement would have found in a cache.
    pub best_blocks: usize,
    /// The outcome.
    pub outcome: TurnOutcome,
}

impl TurnRecord {
    /// Returns `true` if the turn continues a chat.
    pub fn is_returning(&self) -> bool {
        self.history_blocks > 0
    }

    /// Returns `true` if the turn was answered and found its chat's whole history in the cache.
    pub fn is_warm(&self) -> bool {
        let history = (self.history_blocks * TOKENS_PER_BLOCK) as u64;
        self.answered().is_some_and(|turn| turn.cached_tokens >= history)
    }

    /// Returns the answer if it is complete and correct.
    pub fn answered(&self) -> Option<AnsweredTurn> {
        match self.outcome {
            TurnOutcome::Answered(turn) => Some(turn),
            _ => None,
        }
    }
}

/// All results that callers observed during a run.
#[derive(Debug, Clone, Default)]
pub struct RunTally {
    /// The turns sent.
    pub turns: Vec<TurnRecord>,
    /// The sending time of each call, and its latency if it was answered.
    pub calls: Vec<(Duration, Option<Duration>)>,
    /// The number of failures reported by routers over the whole run, by code and reason.
    pub reported_failures: BTreeMap<String, u64>,
}

impl RunTally {
    /// Counts a failure reported by a router, given its response body.
    pub fn count_failure(&mut self, body: &[u8]) {
        let label = match serde_json::from_slice::<FailureEnvelope>(body) {
            Ok(FailureEnvelope { error }) => {
                let code = serde_json::to_value(error.code).unwrap_or_default();
                let code = code.as_str().unwrap_or_default().to_string();
                error.reason.map_or(code.clone(), |reason| format!("{code}: {reason}"))
            }
            Err(_) => "not a failure's body".to_string(),
        };
        *self.reported_failures.entry(label).or_default() += 1;
    }

    /// Returns the tally without the turns and calls sent before `warm_up`. The counts of reported
    /// failures still cover the whole run.
    pub fn after(&self, warm_up: Duration) -> Self {
        let turns = self.turns.iter().filter(|turn| turn.sent >= warm_up);
        let calls = self.calls.iter().filter(|(sent, _)| *sent >= warm_up);
        Self {
            turns: turns.copied().collect(),
            calls: calls.copied().collect(),
            reported_failures: self.reported_failures.clone(),
        }
    }

    /// Returns the number of turns with the outcome `wanted`.
    pub fn count(&self, wanted: TurnOutcome) -> u64 {
        self.turns.iter().filter(|turn| turn.outcome == wanted).count() as u64
    }

    /// Returns the sum of `tokens` over all answered turns as a share of their prompt tokens.
    pub fn token_share(&self, tokens: impl Fn(&TurnRecord, AnsweredTurn) -> u64) -> f64 {
        let answered = || self.turns.iter().filter_map(|turn| Some((turn, turn.answered()?)));
        let part: u64 = answered().map(|(turn, answer)| tokens(turn, answer)).sum();
        let whole: u64 = answered().map(|(turn, _)| turn.prompt_tokens).sum();
        part as f64 / whole.max(1) as f64
    }

    /// Returns a quantile of the time to first token, over the turns for which `wanted` is true.
    pub fn first_token_ms(&self, quantile: f64, wanted: impl Fn(&TurnRecord) -> bool) -> f64 {
        let turns = self.turns.iter().filter(|turn| wanted(turn));
        quantile_ms(turns.filter_map(|turn| Some(turn.answered()?.first_token)), quantile)
    }

    /// Returns the median time between two tokens of an answer.
    pub fn token_gap_ms(&self) -> f64 {
        let answers = self.turns.iter().filter_map(TurnRecord::answered);
        quantile_ms(answers.map(|answer| answer.token_gap), 0.5)
    }

    /// Returns a quantile of the latency of answered calls.
    pub fn call_ms(&self, quantile: f64) -> f64 {
        quantile_ms(self.calls.iter().filter_map(|(_, latency)| *latency), quantile)
    }
}

fn quantile_ms(times: impl Iterator<Item = Duration>, quantile: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
    else {
        return f64::NAN;
    };
    times.for_each(|time| histogram.saturating_record(time.as_micros() as u64));
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
