//! How an engine stand-in behaves.

use std::time::Duration;

use bon::Builder;
use papayamux_state::ids::{ModelId, ServerId};

use super::event_log::EventLogOptions;

/// Options of an engine stand-in; the defaults are those of an engine of today.
#[derive(Debug, Clone, Builder)]
pub struct EngineOptions {
    /// Its name.
    pub server: ServerId,
    /// Models it has loaded.
    pub models: Vec<ModelId>,
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
}
