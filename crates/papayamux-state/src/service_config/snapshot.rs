//! A snapshot of the configuration at one version.

use std::collections::HashMap;
use std::fmt;

use super::{CallerLimits, OrganisationKeys, RouteTable, Service};
use crate::ids::ServiceId;

/// The version of a configuration. A higher version replaces a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// A complete configuration. It is immutable and only replaced as a whole.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigurationSnapshot {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The routes of requests to services.
    pub routes: RouteTable,
    /// The services that the routes refer to.
    pub services: HashMap<ServiceId, Service>,
    /// The limits on callers.
    pub limits: CallerLimits,
    /// The API keys of organisations; `None` if requests need none.
    pub organisations: Option<OrganisationKeys>,
    /// Number of parts that can't be read, such as routes and organisations. The other parts are in force.
    pub unreadable_parts: u32,
}
