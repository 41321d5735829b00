//! The public interface of model engines: prompt blocks, load reports, cache events, resumable and
//! cancellable requests, KV blobs and orders.

use std::collections::BTreeMap;

use http::StatusCode;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::chat::ChatMessage;

/// The number of bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// The number of tokens in one block of the prefix cache.
pub const TOKENS_PER_BLOCK: usize = 16;
const BYTES_PER_BLOCK: usize = BYTES_PER_TOKEN * TOKENS_PER_BLOCK;

/// The path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// The path of an engine's load report.
pub const LOAD_PATH: &str = "/v1/load";
/// The path of an engine's cache events: `?after=N&limit=M` returns a [`CacheEventPage`].
pub const CACHE_EVENTS_PATH: &str = "/v1/cache/events";
/// The path of a [`CacheSnapshot`] of the blocks in an engine's cache.
pub const CACHE_BLOCKS_PATH: &str = "/v1/cache/blocks";
/// The path prefix of an engine's requests, followed by their id.
pub const REQUESTS_PATH: &str = "/v1/requests";
/// The path that exports the blocks of a [`KvExportRequest`] as a blob.
pub const KV_EXPORT_PATH: &str = "/v1/kv/export";
/// The path that imports a blob and answers with [`KvImported`].
pub const KV_IMPORT_PATH: &str = "/v1/kv/import";
/// The path that accepts an [`EngineOrder`] and answers 202 with [`EngineState`].
pub const ORDERS_PATH: &str = "/v1/orders";
/// The path of an engine's [`EngineState`].
pub const STATE_PATH: &str = "/v1/state";
/// Maximum number of blocks in a KV blob.
pub const MAX_KV_BLOCKS: usize = 4_096;
/// Maximum length of a KV blob.
pub const MAX_KV_BLOB_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of models and adapters in an order.
pub const MAX_ORDERED_WEIGHTS: usize = 64;
/// The version of models and adapters that are named without one.
pub const DEFAULT_VERSION: &str = "1";
/// Maximum number of events in a page of cache events, and the default if no limit is given.
pub const MAX_EVENTS_PER_PAGE: usize = 4_096;

/// Returns the path of the rest of a streamed answer after its first `events` events.
pub fn resume_path(request: &str, events: u64) -> String {
    format!("/v1/requests/{request}/stream?from={events}")
}

/// Renders a chat as the engine's prompt: its turns, concatenated.
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

/// Returns the number of tokens in a prompt of `length` bytes.
pub fn prompt_tokens(length: usize) -> u64 {
    length.div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the parent hash of the first block for a model and adapter.
pub fn root_hash(model: &str, adapter: Option<&str>) -> u64 {
    let model_hash = xxh3_64_with_seed(model.as_bytes(), 0);
    xxh3_64_with_seed(adapter.unwrap_or("").as_bytes(), model_hash)
}

/// Returns the hashes of a prompt's complete blocks; each hash covers all text up to the end of
/// its block.
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

/// An engine's report of its load, which lags behind the actual load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The number of requests in the batch.
    pub running: u64,
    /// The number of requests that wait for a slot in the batch.
    pub waiting: u64,
    /// The number of prompt tokens that await prefill.
    pub prefill_tokens: u64,
    /// The number of slots in the batch.
    pub batch_limit: u64,
}

/// A change to an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was added to the cache.
    Stored(u64),
    /// The block was removed from the cache.
    Evicted(u64),
    /// The cache was cleared completely.
    Cleared,
}

/// A numbered cache event. Numbers are consecutive, so that a reader detects gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number.
    pub number: u64,
    /// The change.
    pub change: CacheChange,
}

/// A page of an engine's cache events.
///
/// A number in `after + 1..=through` without an event is a gap: the change is lost, and an index
/// built from the events is wrong until it is rebuilt from a [`CacheSnapshot`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// The incarnation of the engine that numbered the events; it changes when the engine restarts.
    pub incarnation: u64,
    /// The lowest event number that the engine still keeps.
    pub first_kept: u64,
    /// The last event number covered by this page, which is the `after` of the next page.
    pub through: u64,
    /// The events, in ascending order of their numbers.
    pub events: Vec<CacheEvent>,
}

/// All blocks in an engine's cache as of one event number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheSnapshot {
    /// The incarnation of the engine that numbered the events.
    pub incarnation: u64,
    /// The number of the last event reflected in the blocks, which may not be published yet.
    pub event: u64,
    /// The blocks, in ascending order.
    pub blocks: Vec<u64>,
}

/// Returns the path that cancels a request.
pub fn cancel_path(id: &str) -> String {
    format!("{REQUESTS_PATH}/{id}/cancel")
}

/// Returns the path of the event stream of a running or recently completed request, starting at
/// token number `from`, where the first token has number 0.
pub fn stream_path(id: &str, from: u64) -> String {
    format!("{REQUESTS_PATH}/{id}/stream?from={from}")
}

/// The outcome of a request to cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelOutcome {
    /// `true` if the request is cancelled; `false` if its answer was complete before.
    pub cancelled: bool,
}

/// A request for the KV cache of a chain of blocks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExportRequest {
    /// The chain, starting with its first block. The blob contains the leading blocks that are
    /// cached, at most [`MAX_KV_BLOCKS`].
    pub blocks: Vec<u64>,
}

/// The result of an import.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImported {
    /// The number of blocks in the blob.
    pub blocks: u64,
}

/// The complete set of models and adapters that an engine is to have loaded; all others are
/// unloaded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number. An engine that checks it refuses numbers lower than the highest it has
    /// seen.
    pub fence: u64,
    /// The models to load or keep loaded.
    #[serde(default)]
    pub models: Vec<String>,
    /// The adapters to load or keep loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Versions by the name of the model or adapter; [`DEFAULT_VERSION`] if a name has no entry.
    #[serde(default)]
    pub versions: BTreeMap<String, String>,
    /// The engine's role, which the engine only stores and reports.
    #[serde(default)]
    pub role: String,
}

/// A model or adapter with its version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineWeights {
    /// The name of the model or adapter.
    pub name: String,
    /// The version.
    pub version: String,
}

/// A model or adapter that failed to load; sending the same order again retries it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedLoad {
    /// The name of the model or adapter.
    pub name: String,
    /// The version that failed to load.
    pub version: String,
    /// The cause of the failure.
    pub reason: String,
}

/// The models and adapters that an engine has loaded, and the last order that it accepted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The engine's name.
    pub name: String,
    /// The fencing number of the last order that the engine accepted.
    pub fence: Option<u64>,
    /// The current role.
    pub role: String,
    /// Models that serve requests. A new version replaces the previous one once it is loaded.
    pub models: Vec<EngineWeights>,
    /// Adapters that serve requests.
    pub adapters: Vec<EngineWeights>,
    /// Models and adapters being loaded.
    pub loading: Vec<EngineWeights>,
    /// Models and adapters of the last order that failed to load.
    pub failed: Vec<FailedLoad>,
}

/// Stable error codes of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineErrorCode {
    /// The request is malformed.
    InvalidRequest,
    /// The path does not exist.
    UnknownPath,
    /// The model is not loaded.
    ModelNotLoaded,
    /// The adapter is not loaded.
    AdapterNotLoaded,
    /// Too many requests wait for a slot in the batch.
    QueueFull,
    /// No request with this id is running or completed recently.
    UnknownRequest,
    /// The request was cancelled.
    Cancelled,
    /// The engine has seen an order with a higher fencing number.
    StaleFence,
    /// None of the blocks is cached.
    BlocksNotHeld,
    /// The blob belongs to a model, adapter or version that is not loaded.
    ForeignBlob,
}

impl EngineErrorCode {
    /// Returns the HTTP status of the code.
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

/// An engine's error in answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineError {
    /// The error code.
    pub code: EngineErrorCode,
    /// A human-readable message.
    pub message: String,
    /// The highest fencing number seen, set with [`EngineErrorCode::StaleFence`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub highest_fence: Option<u64>,
}

/// The body of an engine's error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineFailure {
    /// The error.
    pub error: EngineError,
}
