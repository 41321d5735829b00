//! What a configuration says of a service.

use crate::quantities::TokenCount;

/// What a model engine can hold and do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineProfile {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that fit into one engine's key-value cache.
    pub cache_tokens: TokenCount,
}

/// A service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Service {
    /// Connections that one server accepts from all callers together.
    pub connection_limit: Option<u32>,
    /// The engine's figures; `None` for a service that runs no models.
    pub engine: Option<EngineProfile>,
}
