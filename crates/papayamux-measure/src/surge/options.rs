//! Options of the load measurement.

use std::time::Duration;

use bon::Builder;
use papayamux_coordination::placement::PlacementPolicy;

use super::{EngineKind, LoadPattern};

/// Options of one measurement.
#[derive(Debug, Clone, Builder)]
pub struct SurgeOptions {
    /// Seed of the requests.
    #[builder(default = 1)]
    pub seed: u64,
    /// Duration of the load.
    #[builder(default = Duration::from_secs(8))]
    pub length: Duration,
    /// Policies to compare.
    pub policies: Vec<PlacementPolicy>,
    /// Load patterns to run.
    pub patterns: Vec<LoadPattern>,
    /// Kinds of engines to run them on.
    pub kinds: Vec<EngineKind>,
    /// Number of routers, each a process of its own.
    #[builder(default = 3)]
    pub routers: usize,
    /// Number of engines.
    #[builder(default = 6)]
    pub engines: usize,
}
