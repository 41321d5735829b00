//! What routers tell those who follow them of the source: changes, and how recent they are.

use std::net::SocketAddr;
use std::time::Duration;

use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::evacuation::EvacuationOrder;
use papayamux_state::ids::{ServerId, ServerName, ServerStart};
use papayamux_state::source::SourcePosition;
use prost::Message;
use thiserror::Error;

/// Asks to be told of changes. It is asked again each second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowRequest {
    /// The life of the router that asks: its clock begins anew with its instance.
    pub life: u64,
    /// When it asked, in milliseconds of its own clock.
    pub asked_ms: u64,
    /// The source's position up to which it knows all.
    pub position: u64,
}

/// A change of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerUpdate {
    /// It is there, as described.
    Present(BackendServer),
    /// It is gone.
    Gone {
        /// The name under which it was listed.
        name: ServerName,
        /// Whether it lives on for a while.
        lingers: bool,
    },
}

/// Changes of servers between two positions of the source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpdateSpan {
    /// The changes are those behind this position.
    pub behind: u64,
    /// All changes, one a server.
    pub changes: Vec<ServerUpdate>,
    /// A digest of all servers at the news' position.
    pub digest: u64,
    /// All evacuations in force at the news' position, changed or not.
    pub evacuations: Vec<EvacuationOrder>,
}

/// What a router knows of the source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetUpdate {
    /// The life of the router that asked, as it said.
    pub life: u64,
    /// When it asked, as it said.
    pub asked_ms: u64,
    /// Milliseconds from the question's arrival to the moment at which all this was known to be
    /// newest; negative where that was earlier.
    pub shift_ms: i64,
    /// The position up to which the sender knows all.
    pub position: u64,
    /// The newest version of the configuration up to that position.
    pub version: u64,
    /// How many routers have passed this on; 1 from the one that read it.
    pub hops: u32,
    /// Milliseconds for which servers whose entries lapsed may still come back, as the sender believes.
    pub grace_ms: u32,
    /// The changes since the position that was asked for; `None` where the sender no longer knows them
    /// all, or they are too many for a datagram.
    pub span: Option<UpdateSpan>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct FollowWire {
    #[prost(fixed64, tag = "1")]
    life: u64,
    #[prost(uint64, tag = "2")]
    asked_ms: u64,
    #[prost(uint64, tag = "3")]
    position: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ServerWire {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, optional, tag = "2")]
    start: Option<u64>,
    #[prost(string, tag = "3")]
    service: String,
    #[prost(string, tag = "4")]
    address: String,
    #[prost(string, tag = "5")]
    domain: String,
    #[prost(uint32, tag = "6")]
    slots: u32,
    #[prost(bool, tag = "7")]
    draining: bool,
    /// The rest is not meant where this is set.
    #[prost(bool, tag = "8")]
    gone: bool,
    #[prost(bool, tag = "9")]
    lingers: bool,
    #[prost(uint32, tag = "10")]
    cold_ms: u32,
}

#[derive(Clone, PartialEq, Message)]
struct EvacuationWire {
    #[prost(string, tag = "1")]
    domain: String,
    #[prost(uint64, tag = "2")]
    position: u64,
}

#[derive(Clone, PartialEq, Message)]
struct SpanWire {
    #[prost(uint64, tag = "1")]
    behind: u64,
    #[prost(message, repeated, tag = "2")]
    changes: Vec<ServerWire>,
    #[prost(fixed64, tag = "3")]
    digest: u64,
    #[prost(message, repeated, tag = "4")]
    evacuations: Vec<EvacuationWire>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct NewsWire {
    #[prost(fixed64, tag = "1")]
    life: u64,
    #[prost(uint64, tag = "2")]
    asked_ms: u64,
    #[prost(sint64, tag = "3")]
    shift_ms: i64,
    #[prost(uint64, tag = "4")]
    position: u64,
    #[prost(uint64, tag = "5")]
    version: u64,
    #[prost(uint32, tag = "6")]
    hops: u32,
    #[prost(message, optional, tag = "7")]
    span: Option<SpanWire>,
    #[prost(uint32, tag = "8")]
    grace_ms: u32,
}

/// Why news can't be read.
#[derive(Debug, Error)]
pub enum UpdateError {
    /// A part doesn't fit.
    #[error("{part} does not fit: {cause}")]
    Part {
        /// Which part.
        part: &'static str,
        /// Why.
        cause: String,
    },
}

fn invalid_part(part: &'static str) -> impl Fn(&dyn std::error::Error) -> UpdateError {
    move |cause| UpdateError::Part { part, cause: cause.to_string() }
}

impl From<FollowRequest> for FollowWire {
    fn from(request: FollowRequest) -> Self {
        let FollowRequest { life, asked_ms, position } = request;
        Self { life, asked_ms, position }
    }
}

impl From<FollowWire> for FollowRequest {
    fn from(wire: FollowWire) -> Self {
        let FollowWire { life, asked_ms, position } = wire;
        Self { life, asked_ms, position }
    }
}

impl From<&ServerUpdate> for ServerWire {
    fn from(update: &ServerUpdate) -> Self {
        match update {
            ServerUpdate::Gone { name, lingers } => {
                Self { name: name.to_string(), gone: true, lingers: *lingers, ..Self::default() }
            }
            ServerUpdate::Present(server) => Self {
                name: server.name.to_string(),
                start: server.start.map(|start| start.0),
                service: server.service.to_string(),
                address: server.address.to_string(),
                domain: server.domain.to_string(),
                slots: server.slots,
                draining: server.phase == ServerPhase::Draining,
                gone: false,
                lingers: false,
                cold_ms: u32::try_from(server.cold_left.as_millis()).unwrap_or(u32::MAX),
            },
        }
    }
}

impl TryFrom<ServerWire> for ServerUpdate {
    type Error = UpdateError;

    fn try_from(wire: ServerWire) -> Result<Self, UpdateError> {
        let name: ServerName =
            wire.name.parse().map_err(|error| invalid_part("name of a server")(&error))?;
        if wire.gone {
            return Ok(Self::Gone { name, lingers: wire.lingers });
        }
        let start = wire.start.map(ServerStart);
        let address: SocketAddr =
            wire.address.parse().map_err(|error| invalid_part("address of a server")(&error))?;
        Ok(Self::Present(BackendServer {
            id: ServerId::of_start(&name, start),
            name,
            start,
            service: wire
                .service
                .parse()
                .map_err(|error| invalid_part("service of a server")(&error))?,
            address,
            domain: wire
                .domain
                .parse()
                .map_err(|error| invalid_part("failure domain of a server")(&error))?,
            slots: wire.slots,
            phase: match wire.draining {
                true => ServerPhase::Draining,
                false => ServerPhase::Serving,
            },
            cold_left: Duration::from_millis(u64::from(wire.cold_ms)),
        }))
    }
}

impl From<&EvacuationOrder> for EvacuationWire {
    fn from(order: &EvacuationOrder) -> Self {
        Self { domain: order.domain.to_string(), position: order.position.0 }
    }
}

impl TryFrom<EvacuationWire> for EvacuationOrder {
    type Error = UpdateError;

    fn try_from(wire: EvacuationWire) -> Result<Self, UpdateError> {
        let domain =
            wire.domain.parse().map_err(|error| invalid_part("evacuated domain")(&error))?;
        Ok(Self { domain, position: SourcePosition(wire.position) })
    }
}

impl From<&UpdateSpan> for SpanWire {
    fn from(span: &UpdateSpan) -> Self {
        Self {
            behind: span.behind,
            changes: span.changes.iter().map(ServerWire::from).collect(),
            digest: span.digest,
            evacuations: span.evacuations.iter().map(EvacuationWire::from).collect(),
        }
    }
}

impl TryFrom<SpanWire> for UpdateSpan {
    type Error = UpdateError;

    fn try_from(wire: SpanWire) -> Result<Self, UpdateError> {
        let changes: Result<_, UpdateError> =
            wire.changes.into_iter().map(ServerUpdate::try_from).collect();
        let evacuations: Result<_, UpdateError> =
            wire.evacuations.into_iter().map(EvacuationOrder::try_from).collect();
        Ok(Self {
            behind: wire.behind,
            changes: changes?,
            digest: wire.digest,
            evacuations: evacuations?,
        })
    }
}

impl From<&FleetUpdate> for NewsWire {
    fn from(update: &FleetUpdate) -> Self {
        Self {
            life: update.life,
            asked_ms: update.asked_ms,
            shift_ms: update.shift_ms,
            position: update.position,
            version: update.version,
            hops: update.hops,
            grace_ms: update.grace_ms,
            span: update.span.as_ref().map(SpanWire::from),
        }
    }
}

impl TryFrom<NewsWire> for FleetUpdate {
    type Error = UpdateError;

    fn try_from(wire: NewsWire) -> Result<Self, UpdateError> {
        Ok(Self {
            life: wire.life,
            asked_ms: wire.asked_ms,
            shift_ms: wire.shift_ms,
            position: wire.position,
            version: wire.version,
            hops: wire.hops,
            grace_ms: wire.grace_ms,
            span: wire.span.map(UpdateSpan::try_from).transpose()?,
        })
    }
}
