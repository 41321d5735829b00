//! How an engine stand-in behaves.

use std::time::Duration;

use papayamux_state::ids::{ModelId, ServerId};

/// Options of an engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Its name.
    pub server: ServerId,
    /// Models it has loaded.
    pub models: Vec<ModelId>,
    /// Time of one step, in which each running request gets one token.
    pub step: Duration,
    /// Places in the batch.
    pub batch_limit: usize,
    /// Prompt tokens computed in one step, over all requests.
    pub prefill_per_step: u64,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
}

impl EngineOptions {
    /// The options of an engine like those of today.
    pub fn new(server: ServerId, models: Vec<ModelId>) -> Self {
        Self {
            server,
            models,
            step: Duration::from_millis(4),
            batch_limit: 64,
            prefill_per_step: 512,
            cache_blocks: 8_192,
        }
    }
}
