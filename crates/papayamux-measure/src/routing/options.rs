//! Options of the routing measurement.

use bon::Builder;

use super::scenario::Scenario;
use super::site::SiteName;

/// The policies to compare, in the order in which they run.
pub const POLICIES: [&str; 5] =
    ["random", "two-choices", "consistent-hash", "bounded-hash", "papayamux"];
/// The name for running routers without a policy setting.
pub const UNSET_POLICY: &str = "unset";

/// Options of the measurement.
#[derive(Debug, Clone, Builder)]
pub struct RoutingOptions {
    /// The seed of the workload.
    pub seed: u64,
    /// The site to simulate.
    #[builder(default = SiteName::Yanchang)]
    pub site: SiteName,
    /// The policies to run, each on the same workload.
    #[builder(default = POLICIES.map(str::to_string).to_vec())]
    pub policies: Vec<String>,
    /// The scenarios to run.
    #[builder(default = Scenario::ALL.to_vec())]
    pub scenarios: Vec<Scenario>,
    /// The duration of one run in seconds, including its warm-up.
    #[builder(default = 16.0)]
    pub seconds: f64,
    /// The factor applied to the rate of new chats.
    #[builder(default = 1.0)]
    pub load: f64,
    /// Additional lines for the routers' `[router]` section.
    #[builder(default)]
    pub router_lines: String,
    /// Additional lines for the agents' `[server]` section.
    #[builder(default)]
    pub agent_lines: String,
}
