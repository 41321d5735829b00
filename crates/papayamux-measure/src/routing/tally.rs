//! What became of the turns and calls of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use papayamux_protocol::engine::TOKENS_PER_BLOCK;
use papayamux_protocol::failure::FailureEnvelope;

/// The longest time that a histogram tells apart, in microseconds.
const LONGEST_MICROS: u64 = 120_000_000;
const DIGITS: u8 = 3;

/// An answer that came whole and to the byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnsweredTurn {
    /// Prompt tokens that the engine took from its cache.
    pub cached_tokens: u64,
    /// Time from sending to the first token.
    pub first_token: Duration,
    /// Mean time between two tokens.
    pub token_gap: Duration,
}

/// What became of a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnOutcome {
    /// Answered.
    Answered(AnsweredTurn),
    /// Answered with bytes that belong to no answer to this prompt.
    Mixed,
    /// The answer ended too early, as if it were whole.
    Short,
    /// The answer ended too early, and the caller was told or saw the connection break.
    Cut,
    /// Refused, with the word that it was not run.
    Refused,
    /// Failed in any other way.
    Failed,
}

/// One turn of a chat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnRecord {
    /// When it was sent, since the run began.
    pub sent: Duration,
    /// The organisation.
    pub organisation: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens asked for.
    pub answer_tokens: u64,
    /// Blocks that the chat's previous turn left behind; zero for a first turn.
    pub history_blocks: usize,
    /// Blocks that the best placement would have found warm.
    pub best_blocks: usize,
    /// What became of it.
    pub outcome: TurnOutcome,
}

impl TurnRecord {
    /// Whether the turn comes back to a chat.
    pub fn is_returning(&self) -> bool {
        self.history_blocks > 0
    }

    /// Whether an answered turn found all that its chat's previous turn had left.
    pub fn is_warm(&self) -> bool {
        let history = (self.history_blocks * TOKENS_PER_BLOCK) as u64;
        self.answered().is_some_and(|turn| turn.cached_tokens >= history)
    }

    /// The answer, where there is a good one.
    pub fn answered(&self) -> Option<AnsweredTurn> {
        match self.outcome {
            TurnOutcome::Answered(turn) => Some(turn),
            _ => None,
        }
    }
}

/// All that callers saw during a run.
#[derive(Debug, Clone, Default)]
pub struct RunTally {
    /// The turns.
    pub turns: Vec<TurnRecord>,
    /// Each call's time of sending, and its latency where it was answered.
    pub calls: Vec<(Duration, Option<Duration>)>,
    /// Failures that routers told over the whole run, by code and reason.
    pub told: BTreeMap<String, u64>,
}

impl RunTally {
    /// Counts a failure by the body that a router sent.
    pub fn count_told(&mut self, body: &[u8]) {
        let label = match serde_json::from_slice::<FailureEnvelope>(body) {
            Ok(FailureEnvelope { error }) => {
                let code = serde_json::to_value(error.code).unwrap_or_default();
                let code = code.as_str().unwrap_or_default().to_string();
                error.reason.map_or(code.clone(), |reason| format!("{code}: {reason}"))
            }
            Err(_) => "not a failure's body".to_string(),
        };
        *self.told.entry(label).or_default() += 1;
    }

    /// Only what was sent after `warm_up`.
    pub fn after(&self, warm_up: Duration) -> Self {
        let turns = self.turns.iter().filter(|turn| turn.sent >= warm_up);
        let calls = self.calls.iter().filter(|(sent, _)| *sent >= warm_up);
        Self {
            turns: turns.copied().collect(),
            calls: calls.copied().collect(),
            told: self.told.clone(),
        }
    }

    /// Turns with an outcome.
    pub fn count(&self, wanted: TurnOutcome) -> u64 {
        self.turns.iter().filter(|turn| turn.outcome == wanted).count() as u64
    }

    /// The share of all answered turns' prompt tokens that `tokens` gives for a turn.
    pub fn token_share(&self, tokens: impl Fn(&TurnRecord, AnsweredTurn) -> u64) -> f64 {
        let answered = || self.turns.iter().filter_map(|turn| Some((turn, turn.answered()?)));
        let part: u64 = answered().map(|(turn, answer)| tokens(turn, answer)).sum();
        let whole: u64 = answered().map(|(turn, _)| turn.prompt_tokens).sum();
        part as f64 / whole.max(1) as f64
    }

    /// The time to the first token at a quantile, over the turns that are `wanted`.
    pub fn first_token_ms(&self, quantile: f64, wanted: impl Fn(&TurnRecord) -> bool) -> f64 {
        let turns = self.turns.iter().filter(|turn| wanted(turn));
        quantile_ms(turns.filter_map(|turn| Some(turn.answered()?.first_token)), quantile)
    }

    /// The median time between two tokens of an answer.
    pub fn token_gap_ms(&self) -> f64 {
        let answers = self.turns.iter().filter_map(TurnRecord::answered);
        quantile_ms(answers.map(|answer| answer.token_gap), 0.5)
    }

    /// The latency of answered calls at a quantile.
    pub fn call_ms(&self, quantile: f64) -> f64 {
        quantile_ms(self.calls.iter().filter_map(|(_, latency)| *latency), quantile)
    }
}

fn quantile_ms(times: impl Iterator<Item = Duration>, quantile: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST_MICROS, DIGITS) else {
        return f64::NAN;
    };
    times.for_each(|time| histogram.saturating_record(time.as_micros() as u64));
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
