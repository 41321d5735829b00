//! One version of the configuration.

use std::collections::HashMap;
use std::fmt;

use super::{CallerLimits, OrganisationKeys, RouteTable, Service};
use crate::ids::ServiceId;

/// The version of a configuration; a higher one replaces a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// A whole configuration. It is replaced as a whole, never changed.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationSnapshot {
    /// Its version.
    pub version: ConfigVersion,
    /// Where requests go.
    pub routes: RouteTable,
    /// The services that routes name.
    pub services: HashMap<ServiceId, Service>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// The API keys; `None` where requests need none.
    pub organisations: Option<OrganisationKeys>,
}
