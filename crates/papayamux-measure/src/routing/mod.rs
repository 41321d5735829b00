//! The measurement `routing`: cache reuse, load skew and control traffic of the policies.

mod control_traffic;
mod disturbance;
mod experiment;
mod load_sampler;
mod options;
mod prefix_oracle;
mod report;
mod scenario;
mod session;
mod site;
mod table;
mod tally;
mod workload;

pub use control_traffic::control_bytes;
pub use experiment::measure_routing;
pub use load_sampler::{LoadSample, SkewSummary};
pub use options::RoutingOptions;
pub use prefix_oracle::PrefixOracle;
pub use report::RoutingReport;
pub use scenario::Scenario;
pub use site::{SiteName, SiteProfile};
pub use table::tabulate;
pub use tally::{AnsweredTurn, RunTally, TurnOutcome, TurnRecord};
pub use workload::{CallScript, ChatScript, TurnScript, Workload};
