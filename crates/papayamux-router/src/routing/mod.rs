//! Selects the servers that a request is offered to.

mod baselines;
mod first_token;
mod load_tracker;
mod planning;
mod policy;
mod probe;
mod route_plan;
mod route_planner;
mod service_call;

pub use load_tracker::{LoadTracker, OccupiedSlot};
pub use policy::{PolicyError, RoutingPolicy};
pub use route_plan::{PlanBound, RouteCandidate, RoutePlan};
pub use route_planner::RoutePlanner;
