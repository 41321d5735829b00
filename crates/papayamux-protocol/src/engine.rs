//! The published interface of model engines: prompt blocks, loads, cache events, requests that can
//! be resumed and cancelled, KV blobs, and orders.

use std::collections::BTreeMap;

use http::StatusCode;
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
/// The path below which an engine's requests are found by their id.
pub const REQUESTS_PATH: &str = "/v1/requests";
/// The path that turns a [`KvExportRequest`] into a blob.
pub const KV_EXPORT_PATH: &str = "/v1/kv/export";
/// The path that takes a blob and answers with [`KvImported`].
pub const KV_IMPORT_PATH: &str = "/v1/kv/import";
/// The path that takes an [`EngineOrder`] and answers 202 with [`EngineState`].
pub const ORDERS_PATH: &str = "/v1/orders";
/// The path of an engine's [`EngineState`].
pub const STATE_PATH: &str = "/v1/state";
/// Blocks in the largest KV blob.
pub const MAX_KV_BLOCKS: usize = 4_096;
/// Bytes of the longest KV blob.
pub const MAX_KV_BLOB_BYTES: usize = 8 * 1024 * 1024;
/// Models and adapters in the largest order.
pub const MAX_ORDERED_WEIGHTS: usize = 64;
/// The version of models and adapters for which no version is named.
pub const DEFAULT_VERSION: &str = "1";
/// Events of the longest page of cache events; also what a reader gets that names no limit.
pub const MAX_EVENTS_PER_PAGE: usize = 4_096;

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

/// The path that cancels a request.
pub fn cancel_path(id: &str) -> String {
    format!("{REQUESTS_PATH}/{id}/cancel")
}

/// The path of the event stream of a request that runs or ended recently, from token number
/// `from` on, where the first token has number 0.
pub fn stream_path(id: &str, from: u64) -> String {
    format!("{REQUESTS_PATH}/{id}/stream?from={from}")
}

/// What became of a request to cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelOutcome {
    /// Whether the request is cancelled; `false` if its answer was whole before.
    pub cancelled: bool,
}

/// Asks for the KV cache of a chain of blocks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExportRequest {
    /// The chain, from its first block on. The blob holds those leading blocks that are cached,
    /// at most [`MAX_KV_BLOCKS`].
    pub blocks: Vec<u64>,
}

/// What an import stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImported {
    /// Blocks in the blob.
    pub blocks: u64,
}

/// What an engine is to have loaded, as a whole: what the order does not name is unloaded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number. An engine that checks it refuses a lower one than it has seen.
    pub fence: u64,
    /// Models to have loaded.
    #[serde(default)]
    pub models: Vec<String>,
    /// Adapters to have loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Versions by the name of model or adapter; [`DEFAULT_VERSION`] for those not named.
    #[serde(default)]
    pub versions: BTreeMap<String, String>,
    /// The role to take; the engine only keeps and reports it.
    #[serde(default)]
    pub role: String,
}

/// A model or adapter with its version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineWeights {
    /// The name of the model or adapter.
    pub name: String,
    /// Its version.
    pub version: String,
}

/// A load that failed; the same order once more tries it again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedLoad {
    /// The name of the model or adapter.
    pub name: String,
    /// The version that was to be loaded.
    pub version: String,
    /// Why it failed.
    pub reason: String,
}

/// What an engine has loaded, and the last order that it obeyed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The engine's name.
    pub name: String,
    /// The fencing number of the last order obeyed.
    pub fence: Option<u64>,
    /// The present role.
    pub role: String,
    /// Models that answer requests. A new version takes its place here once it is loaded.
    pub models: Vec<EngineWeights>,
    /// Adapters that answer requests.
    pub adapters: Vec<EngineWeights>,
    /// Models and adapters being loaded.
    pub loading: Vec<EngineWeights>,
    /// Loads of the last order that failed.
    pub failed: Vec<FailedLoad>,
}

/// Stable codes of an engine's failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineErrorCode {
    /// The request is malformed.
    InvalidRequest,
    /// Nothing is served at the path.
    UnknownPath,
    /// The model is not loaded.
    ModelNotLoaded,
    /// The adapter is not loaded.
    AdapterNotLoaded,
    /// Too many requests wait for a place in the batch.
    QueueFull,
    /// No request with this id runs or ended recently.
    UnknownRequest,
    /// The request was cancelled.
    Cancelled,
    /// An order with a higher fencing number was seen.
    StaleFence,
    /// None of the blocks is cached.
    BlocksNotHeld,
    /// The blob belongs to a model, adapter or version that is not loaded.
    ForeignBlob,
}

impl EngineErrorCode {
    /// The HTTP status that goes with the code.
    pub fn status(self) -> StatusCode {
        match self {
            EngineErrorCode::InvalidRequest => StatusCode::BAD_REQUEST,
            EngineErrorCode::UnknownPath
            | EngineErrorCode::ModelNotLoaded
            | EngineErrorCode::AdapterNotLoaded
            | EngineErrorCode::UnknownRequest
            | EngineErrorCode::BlocksNotHeld => StatusCode::NOT_FOUND,
            EngineErrorCode::QueueFull => StatusCode::SERVICE_UNAVAILABLE,
            EngineErrorCode::Cancelled => StatusCode::GONE,
            EngineErrorCode::StaleFence | EngineErrorCode::ForeignBlob => StatusCode::CONFLICT,
        }
    }
}

/// Why an engine refuses a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineError {
    /// The stable code.
    pub code: EngineErrorCode,
    /// A sentence for people.
    pub message: String,
    /// With [`EngineErrorCode::StaleFence`], the highest fencing number seen.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub highest_fence: Option<u64>,
}

/// The body of an engine's failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineFailure {
    /// The failure.
    pub error: EngineError,
}
