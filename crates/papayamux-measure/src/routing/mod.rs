//! The measurement `routing`: cache reuse, load skew and control traffic of the policies.

mod best_possible;
mod control_traffic;
mod disturbance;
mod experiment;
mod load_sampler;
mod options;
mod report;
mod scenario;
mod session;
mod site;
mod table;
mod tally;
mod workload;

pub use best_possible::PrefixOracle;
pub use control_traffic::control_bytes;
pub use experiment::measure_routing;
pub use load_sampler::{LoadSample, SkewSummary};
pub use options::RoutingOptions;
pub use report::RoutingReport;
pub use scenario::Scenario;
pub use site::{SiteName, SiteProfile};
pub use table::tabulate;
pub use tally::{AnsweredTurn, RunTally, TurnOutcome, TurnRecord};
pub use workload::{CallScript, ChatScript, TurnScript, Workload};
