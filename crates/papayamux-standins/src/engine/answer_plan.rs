//! Deterministic answers derived from the request, so that a caller can check each byte.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of answer tokens if the request sets no maximum.
const DEFAULT_TOKENS: u64 = 32;

const SYLLABLES: [&str; 16] = [
    "ka", "mi", "so", "ra", "te", "no", "yu", "ha", "li", "wen", "sha", "bo", "fu", "gi", "ze",
    "do",
];

/// The predetermined answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerPlan {
    seed: u64,
    /// Number of tokens in the answer.
    pub tokens: u64,
}

impl AnswerPlan {
    /// Derives the answer to a prompt.
    pub fn new(model: &str, prompt: &str, max_tokens: Option<u32>) -> Self {
        let model_seed = xxh3_64_with_seed(model.as_bytes(), 0);
        let seed = xxh3_64_with_seed(prompt.as_bytes(), model_seed);
        Self { seed, tokens: max_tokens.map_or(DEFAULT_TOKENS, u64::from) }
    }

    /// Returns the text of the token at `index`.
    pub fn token(self, index: u64) -> String {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        let first = SYLLABLES[(hash & 15) as usize];
        let second = SYLLABLES[(hash >> 4 & 15) as usize];
        format!("{first}{second} ")
    }

    /// Returns the complete text of the answer.
    pub fn text(self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }
}

/// Returns the complete answer that every engine stand-in gives to a prompt.
pub fn expected_answer(model: &str, prompt: &str, max_tokens: Option<u32>) -> String {
    AnswerPlan::new(model, prompt, max_tokens).text()
}
