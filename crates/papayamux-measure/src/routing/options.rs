//! What the command line asks of the measurement.

use bon::Builder;

use super::scenario::Scenario;
use super::site::SiteName;

/// The policies that are compared, in the order in which they run.
pub const POLICIES: [&str; 5] =
    ["random", "two-choices", "consistent-hash", "bounded-hash", "papayamux"];
/// Stands for routers that are told no policy.
pub const UNSET_POLICY: &str = "unset";

/// Options of the measurement.
#[derive(Debug, Clone, Builder)]
pub struct RoutingOptions {
    /// The seed of the workload.
    pub seed: u64,
    /// The site.
    #[builder(default = SiteName::Yanchang)]
    pub site: SiteName,
    /// The policies, each on the same workload.
    #[builder(default = POLICIES.map(str::to_string).to_vec())]
    pub policies: Vec<String>,
    /// The scenarios.
    #[builder(default = Scenario::ALL.to_vec())]
    pub scenarios: Vec<Scenario>,
    /// Seconds of one run, its warm-up included.
    #[builder(default = 16.0)]
    pub seconds: f64,
    /// Factor on the chats that begin in a second.
    #[builder(default = 1.0)]
    pub load: f64,
    /// Further lines for the routers' `[router]` section.
    #[builder(default)]
    pub router_lines: String,
    /// Further lines for the agents' `[server]` section.
    #[builder(default)]
    pub agent_lines: String,
}
