//! Finds out whether anything listens at an address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::TcpStream;

/// What became of a connection that was opened only to see whether it can be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// It was accepted.
    Accepted,
    /// Its instance says that nothing listens there.
    Refused,
    /// Neither is known.
    Unanswered,
}

impl ProbeResult {
    /// The stable word for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ProbeResult::Accepted => "accepted",
            ProbeResult::Refused => "refused",
            ProbeResult::Unanswered => "unanswered",
        }
    }
}

/// Opens a connection to `address` within `limit`, and closes it.
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
