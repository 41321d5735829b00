//! How an engine stand-in behaves.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use papayamux_state::ids::{AdapterId, ModelId, ServerId};

use super::event_log::EventLogOptions;

/// Options of an engine stand-in; the defaults are those of an engine of today.
#[derive(Debug, Clone, Builder)]
pub struct EngineOptions {
    /// Its name.
    pub server: ServerId,
    /// Models it has loaded.
    pub models: Vec<ModelId>,
    /// Adapters it has loaded.
    #[builder(default)]
    pub adapters: Vec<AdapterId>,
    /// Time of one step, in which each running request gets one token.
    #[builder(default = Duration::from_millis(4))]
    pub step: Duration,
    /// Places in the batch.
    #[builder(default = 64)]
    pub batch_limit: usize,
    /// Prompt tokens computed in one step, over all requests.
    #[builder(default = 512)]
    pub prefill_per_step: u64,
    /// Blocks that the prefix cache holds.
    #[builder(default = 8_192)]
    pub cache_blocks: usize,
    /// How cache events are kept.
    #[builder(default)]
    pub events: EventLogOptions,
    /// How old the state is that load reports show.
    #[builder(default)]
    pub load_lag: Duration,
    /// Requests that may wait for a place in the batch.
    #[builder(default = 10_000)]
    pub waiting_limit: usize,
    /// How long a request runs on after its last reader has gone.
    #[builder(default)]
    pub cancel_grace: Duration,
    /// Whether orders are obeyed whatever their fencing number.
    #[builder(default)]
    pub ignore_fencing: bool,
    /// Time to load a model or adapter, after its weights were fetched.
    #[builder(default = Duration::from_millis(200))]
    pub load_time: Duration,
    /// Where weights are fetched from before a load.
    pub weight_store: Option<SocketAddr>,
    /// Time to export one block of KV cache.
    #[builder(default = Duration::from_micros(20))]
    pub kv_export_time: Duration,
    /// Time to import one block of KV cache.
    #[builder(default = Duration::from_micros(50))]
    pub kv_import_time: Duration,
    /// Bytes of one block in a KV blob.
    #[builder(default = 256)]
    pub kv_block_bytes: usize,
    /// The process ends when it gets a chat with this text.
    pub crash_on: Option<String>,
}
