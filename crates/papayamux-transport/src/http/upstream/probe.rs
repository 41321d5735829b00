//! Probes whether a process listens at an address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::TcpStream;

/// Outcome of a connection that was opened as a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was accepted.
    Accepted,
    /// The instance answered that nothing listens there.
    Refused,
    /// There was no conclusive answer.
    Unanswered,
}

impl ProbeResult {
    /// Returns the stable label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ProbeResult::Accepted => "accepted",
            ProbeResult::Refused => "refused",
            ProbeResult::Unanswered => "unanswered",
        }
    }
}

/// Opens a connection to `address` within `limit` and closes it.
pub async fn probe_listener(address: SocketAddr, limit: Duration) -> ProbeResult {
    match monoio::time::timeout(limit, TcpStream::connect_addr(address)).await {
        Ok(Ok(_)) => ProbeResult::Accepted,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeResult::Refused,
        Ok(Err(error)) => {
            log::debug!(address:% = address, error:% = error; "probe failed");
            ProbeResult::Unanswered
        }
        Err(_) => ProbeResult::Unanswered,
    }
}
