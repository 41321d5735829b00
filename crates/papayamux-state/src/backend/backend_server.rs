//! A backend server as the list of servers describes it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{FailureDomain, ServerId, ServerName, ServerStart, ServiceId, SoftwareVersion};

/// The lifecycle phase of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerPhase {
    /// The server accepts new requests.
    Serving,
    /// The server completes its current requests and will then depart.
    Draining,
}

/// One start of a backend server. A restarted server has another identifier, even if its address and
/// name are the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Identifies this start of the server: [`ServerId::of_start`] of name and start.
    pub id: ServerId,
    /// The name under which the server is listed.
    pub name: ServerName,
    /// When the server started, if it reports that.
    pub start: Option<ServerStart>,
    /// The service that the server belongs to.
    pub service: ServiceId,
    /// The version of the server's software, if known. What servers of two versions write doesn't
    /// fit together in one stream.
    pub software: Option<SoftwareVersion>,
    /// The address on which the server listens. Another server may use it later.
    pub address: SocketAddr,
    /// The server's failure domain.
    pub domain: FailureDomain,
    /// The number of requests that the server runs concurrently; 0 if it doesn't report that.
    pub slots: u32,
    /// The server's lifecycle phase.
    pub phase: ServerPhase,
    /// The remaining time for which the server is cold and can run only few requests, as it reported with
    /// the last renewal of its entry; zero if it is warm.
    pub cold_left: Duration,
}

impl BackendServer {
    /// Returns the version of the server's software for logs; empty if unknown.
    pub fn version_text(&self) -> &str {
        self.software.as_ref().map_or("", SoftwareVersion::as_str)
    }
}
