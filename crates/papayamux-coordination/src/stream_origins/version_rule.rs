//! Which software versions may serve a request.

use papayamux_state::backend::BackendServer;
use papayamux_state::ids::SoftwareVersion;

/// The software versions at which a request may run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum VersionRule {
    /// Any version: no event of the stream has reached the caller.
    #[default]
    Any,
    /// The version that began the stream; `None` if it is unknown, so that no server qualifies.
    Began(Option<SoftwareVersion>),
}

impl VersionRule {
    /// Returns whether the request may run at a server.
    pub fn admits(&self, server: &BackendServer) -> bool {
        match self {
            Self::Any => true,
            Self::Began(version) => version.is_some() && server.software == *version,
        }
    }
}
