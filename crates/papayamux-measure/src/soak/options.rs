//! How a soak is run.

use std::time::Duration;

use bon::Builder;

/// The settings of one soak.
#[derive(Debug, Clone, Builder)]
pub struct SoakOptions {
    /// Draws the faults and the requests.
    #[builder(default = 1)]
    pub seed: u64,
    /// How long faults are injected.
    #[builder(default = Duration::from_secs(30))]
    pub length: Duration,
    /// Routers, each a process.
    #[builder(default = 3)]
    pub routers: usize,
    /// Servers of each service.
    #[builder(default = 3)]
    pub servers: usize,
    /// Whether servers start again under their names and others write entries, beside other faults.
    #[builder(default)]
    pub entries: bool,
    /// Whether a request is repeated all the while under which every engine ends.
    #[builder(default)]
    pub fatal: bool,
    /// Callers, each with one request at a time.
    #[builder(default = 12)]
    pub callers: usize,
}
