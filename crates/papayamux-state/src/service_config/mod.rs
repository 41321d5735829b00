//! The configuration of services: the routes of requests to services, and who may send them.

mod api_key;
mod caller_limits;
mod home_regions;
mod organisation_keys;
mod request_kind;
mod route;
mod route_table;
mod service;
mod snapshot;

pub use api_key::{ApiKey, ApiKeyError};
pub use caller_limits::CallerLimits;
pub use home_regions::HomeRegions;
pub use organisation_keys::{KeyHolder, OrganisationKeys};
pub use request_kind::RequestKind;
pub use route::{Route, ServiceShare};
pub use route_table::{RouteLookup, RouteTable};
pub use service::{ColdStart, EngineProfile, Service};
pub use snapshot::{ConfigVersion, ConfigurationSnapshot};
