//! Options of a soak.

use std::time::Duration;

use bon::Builder;

/// What requests that crash every engine have in common.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FatalKind {
    /// There are none.
    #[default]
    Absent,
    /// All of their content: one request is sent again and again.
    Content,
    /// One part of their prompts.
    Part,
}

/// Options of one soak.
#[derive(Debug, Clone, Builder)]
pub struct SoakOptions {
    /// Seed of the faults and the requests.
    #[builder(default = 1)]
    pub seed: u64,
    /// Duration of fault injection.
    #[builder(default = Duration::from_secs(30))]
    pub length: Duration,
    /// Number of routers, each a process of its own.
    #[builder(default = 3)]
    pub routers: usize,
    /// Number of servers of each service.
    #[builder(default = 3)]
    pub servers: usize,
    /// `true` to also restart servers under their names and to write entries as another writer
    /// would.
    #[builder(default)]
    pub entries: bool,
    /// `true` to also have outages of the store for all and for some routers overlap.
    #[builder(default)]
    pub outages: bool,
    /// `true` to also restore the store from copies.
    #[builder(default)]
    pub restores: bool,
    /// `true` to also run servers of several software versions, whose streams callers resume.
    #[builder(default)]
    pub versions: bool,
    /// `true` to also have two organisations compete for a service with few slots.
    #[builder(default)]
    pub scarce: bool,
    /// What crashes every engine that runs it.
    #[builder(default)]
    pub fatal: FatalKind,
    /// Number of callers, each with one request at a time.
    #[builder(default = 12)]
    pub callers: usize,
}
