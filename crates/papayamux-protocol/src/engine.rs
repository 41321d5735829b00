//! The published interface of model engines: prompt blocks, loads and cache events.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::chat::ChatMessage;

/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in one block of the prefix cache.
pub const TOKENS_PER_BLOCK: usize = 16;
const BYTES_PER_BLOCK: usize = BYTES_PER_TOKEN * TOKENS_PER_BLOCK;

/// The path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// The path of an engine's load report.
pub const LOAD_PATH: &str = "/v1/load";
/// The path of an engine's cache events: `?after=N&limit=M` gives a [`CacheEventPage`].
pub const CACHE_EVENTS_PATH: &str = "/v1/cache/events";
/// The path of the blocks that an engine's cache holds now, as a [`CacheSnapshot`].
pub const CACHE_BLOCKS_PATH: &str = "/v1/cache/blocks";
/// Events of the longest page of cache events; also what a reader gets that names no limit.
pub const LONGEST_EVENT_PAGE: usize = 4_096;

/// The path that gives the rest of a streamed answer after its first `events` events.
pub fn resume_path(request: &str, events: u64) -> String {
    format!("/v1/requests/{request}/stream?from={events}")
}

/// A prompt as the engine sees it: the turns one after the other.
pub fn render_prompt(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt
}

/// Tokens of a prompt of `length` bytes.
pub fn prompt_tokens(length: usize) -> u64 {
    length.div_ceil(BYTES_PER_TOKEN) as u64
}

/// The hash that a model's and adapter's first block builds on.
pub fn root_hash(model: &str, adapter: Option<&str>) -> u64 {
    let model_hash = xxh3_64_with_seed(model.as_bytes(), 0);
    xxh3_64_with_seed(adapter.unwrap_or("").as_bytes(), model_hash)
}

/// The hashes of a prompt's whole blocks; each one covers all text before its end.
pub fn block_hashes(root: u64, prompt: &str) -> Vec<u64> {
    let mut parent = root;
    prompt
        .as_bytes()
        .chunks_exact(BYTES_PER_BLOCK)
        .map(|block| {
            parent = xxh3_64_with_seed(block, parent);
            parent
        })
        .collect()
}

/// What an engine says of its load, with a lag.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests in the batch.
    pub running: u64,
    /// Requests that wait for a place in the batch.
    pub waiting: u64,
    /// Prompt tokens that still have to be computed.
    pub prefill_tokens: u64,
    /// Places in the batch.
    pub batch_limit: u64,
}

/// A change to an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block is in the cache now.
    Stored(u64),
    /// The block is no longer in the cache.
    Evicted(u64),
    /// The whole cache was emptied.
    Cleared,
}

/// One numbered cache event; numbers rise by one, so that a gap can be seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number.
    pub number: u64,
    /// What changed.
    pub change: CacheChange,
}

/// A part of an engine's cache events.
///
/// A number in `after + 1..=through` without an event is a gap: that change is lost, and an index
/// built from events is wrong until it is rebuilt from a [`CacheSnapshot`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// The life of the engine that numbered the events; a restarted engine has another one.
    pub incarnation: u64,
    /// The lowest number that the engine still keeps.
    pub first_kept: u64,
    /// The number that this page reaches to, and the `after` of the next page.
    pub through: u64,
    /// The events, the lowest number first.
    pub events: Vec<CacheEvent>,
}

/// All blocks of an engine's cache at one event number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheSnapshot {
    /// The life of the engine that numbered the events.
    pub incarnation: u64,
    /// The number of the last event that the blocks include, whether published yet or not.
    pub event: u64,
    /// The blocks, in ascending order.
    pub blocks: Vec<u64>,
}
