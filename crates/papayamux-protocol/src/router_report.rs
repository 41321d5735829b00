//! What routers tell one another in datagrams: their requests at each server, and who is there.

use std::net::{IpAddr, Ipv4Addr};

use bytes::Bytes;
use papayamux_state::ids::{IdError, ServerId};
use prost::Message;
use thiserror::Error;

/// One router's requests at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedLoad {
    /// The server.
    pub server: ServerId,
    /// Requests that were sent and have not ended.
    pub requests: u32,
    /// Prompt tokens that wait to be read.
    pub backlog: u64,
}

/// A router's report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouterReport {
    /// Counts up with each report of one start of a router: later datagrams replace earlier ones.
    pub sequence: u64,
    /// Other routers that it hears.
    pub known: Vec<IpAddr>,
    /// Its requests.
    pub loads: Vec<ReportedLoad>,
    /// Whether it is about to end.
    pub leaving: bool,
}

/// Why a datagram is not a report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The bytes are no message.
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
    /// A server's identifier is none.
    #[error(transparent)]
    Server(#[from] IdError),
}

#[derive(Clone, PartialEq, Message)]
struct LoadWire {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint32, tag = "2")]
    requests: u32,
    #[prost(uint64, tag = "3")]
    backlog: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ReportWire {
    #[prost(uint64, tag = "1")]
    sequence: u64,
    #[prost(fixed32, repeated, tag = "2")]
    known: Vec<u32>,
    #[prost(message, repeated, tag = "3")]
    loads: Vec<LoadWire>,
    #[prost(bool, tag = "4")]
    leaving: bool,
}

impl From<&RouterReport> for ReportWire {
    fn from(report: &RouterReport) -> Self {
        let known = report.known.iter().filter_map(|address| match address {
            IpAddr::V4(address) => Some(u32::from(*address)),
            IpAddr::V6(_) => None,
        });
        let loads = report.loads.iter().map(|load| LoadWire {
            server: load.server.to_string(),
            requests: load.requests,
            backlog: load.backlog,
        });
        Self {
            sequence: report.sequence,
            known: known.collect(),
            loads: loads.collect(),
            leaving: report.leaving,
        }
    }
}

impl TryFrom<ReportWire> for RouterReport {
    type Error = ReportError;

    fn try_from(wire: ReportWire) -> Result<Self, ReportError> {
        let loads = wire.loads.into_iter().map(|load| {
            let server = load.server.parse()?;
            Ok(ReportedLoad { server, requests: load.requests, backlog: load.backlog })
        });
        Ok(Self {
            sequence: wire.sequence,
            known: wire.known.into_iter().map(|bits| Ipv4Addr::from(bits).into()).collect(),
            loads: loads.collect::<Result<_, ReportError>>()?,
            leaving: wire.leaving,
        })
    }
}

impl RouterReport {
    /// The datagram.
    pub fn encode(&self) -> Vec<u8> {
        ReportWire::from(self).encode_to_vec()
    }

    /// Reads a datagram.
    pub fn decode(bytes: Bytes) -> Result<Self, ReportError> {
        ReportWire::decode(bytes)?.try_into()
    }
}
