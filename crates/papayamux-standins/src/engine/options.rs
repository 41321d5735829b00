//! Options of an engine stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use papayamux_state::ids::{AdapterId, ModelId, ServerId};

use super::event_log::EventLogOptions;

/// Options of an engine stand-in. The defaults are typical of a present-day engine.
#[derive(Debug, Clone, Builder)]
pub struct EngineOptions {
    /// Server id of the engine.
    pub server: ServerId,
    /// Models loaded at startup.
    pub models: Vec<ModelId>,
    /// Adapters loaded at startup.
    #[builder(default)]
    pub adapters: Vec<AdapterId>,
    /// Duration of a step, in which each decoding request gets one token.
    #[builder(default = Duration::from_millis(4))]
    pub step: Duration,
    /// Maximum number of requests in the batch.
    #[builder(default = 64)]
    pub batch_limit: usize,
    /// Maximum number of prompt tokens prefilled per step, over all requests.
    #[builder(default = 512)]
    pub prefill_per_step: u64,
    /// Capacity of the prefix cache in blocks.
    #[builder(default = 8_192)]
    pub cache_blocks: usize,
    /// Options of the cache event log.
    #[builder(default)]
    pub events: EventLogOptions,
    /// Age of the state shown by load reports.
    #[builder(default)]
    pub load_lag: Duration,
    /// Maximum number of requests that wait for a slot in the batch.
    #[builder(default = 10_000)]
    pub waiting_limit: usize,
    /// Time for which a request keeps running after its last reader has disconnected.
    #[builder(default)]
    pub cancel_grace: Duration,
    /// Accepts orders regardless of their fencing number.
    #[builder(default)]
    pub ignore_fencing: bool,
    /// Time to load a model or adapter after its weights were fetched.
    #[builder(default = Duration::from_millis(200))]
    pub load_time: Duration,
    /// Address of the weight store from which weights are fetched before a load.
    pub weight_store: Option<SocketAddr>,
    /// Time to export one block of KV cache.
    #[builder(default = Duration::from_micros(20))]
    pub kv_export_time: Duration,
    /// Time to import one block of KV cache.
    #[builder(default = Duration::from_micros(50))]
    pub kv_import_time: Duration,
    /// Size of one block in a KV blob, in bytes.
    #[builder(default = 256)]
    pub kv_block_bytes: usize,
    /// Text that makes the process exit when a prompt contains it.
    pub crash_on: Option<String>,
    /// Ends streams with their connection, with neither a length nor chunks.
    #[builder(default)]
    pub close_delimited: bool,
    /// Answers chats with bytes without end that are no events.
    #[builder(default)]
    pub is_endless: bool,
}
