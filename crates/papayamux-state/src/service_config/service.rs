//! The configuration of a service.

use std::time::Duration;

use crate::quantities::TokenCount;

/// The capacity of a model engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineProfile {
    /// The number of requests that one engine runs concurrently.
    pub slots: u32,
    /// The number of tokens that fit into one engine's key-value cache.
    pub cache_tokens: TokenCount,
    /// The number of cached tokens that one engine can transfer to another per millisecond; `None` if
    /// it can't transfer any.
    pub transfer_tokens_per_ms: Option<f64>,
}

/// The limit on requests to a server that has recently started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// The duration for which a server is cold after its start.
    pub duration: Duration,
    /// The number of requests per second that a cold server can run.
    pub per_second: f64,
}

/// The settings of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Service {
    /// The number of connections that one server accepts from all callers together.
    pub connection_limit: Option<u32>,
    /// The capacity of the service's engines; `None` for a service that runs no models.
    pub engine: Option<EngineProfile>,
    /// The limit on the service's servers after their start; `None` if they are never cold.
    pub cold_start: Option<ColdStart>,
}
