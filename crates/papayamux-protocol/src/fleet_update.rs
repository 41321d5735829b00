//! Updates that routers send to their followers: changes of the source and how recent they are.

use std::net::SocketAddr;
use std::time::Duration;

use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::evacuation::EvacuationOrder;
use papayamux_state::ids::{ServerId, ServerName, ServerStart};
use papayamux_state::source::{SourceEra, SourcePosition};
use prost::Message;
use thiserror::Error;

/// A request to be sent changes of the source, repeated every second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowRequest {
    /// The incarnation of the querying router, whose clock restarts with its instance.
    pub life: u64,
    /// The time of the query, in milliseconds of the querying router's clock.
    pub asked_ms: u64,
    /// The source position up to which the querying router knows all changes.
    pub position: SourcePosition,
}

/// A change of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerUpdate {
    /// The server is present in this state.
    Present(BackendServer),
    /// The server's entry is missing. The sender keeps the server while the entry may still be renewed.
    Expired(BackendServer),
    /// The server has departed.
    Departed {
        /// The name under which the server was listed.
        name: ServerName,
        /// `true` if the server is terminating: departed, but still finishing its work.
        terminating: bool,
    },
}

/// Changes of servers between two source positions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpdateSpan {
    /// The position after which the changes begin.
    pub behind: SourcePosition,
    /// The changes, at most one per server.
    pub changes: Vec<ServerUpdate>,
    /// `true` if these are certainly all changes. Otherwise servers may be missing that came and went, and
    /// the changes only apply if they lead to `digest`.
    pub is_complete: bool,
    /// Digest of all servers listed at the position of the update.
    pub digest: u64,
    /// All evacuations in force at the position of the update, changed or not.
    pub evacuations: Vec<EvacuationOrder>,
}

impl UpdateSpan {
    /// Returns the total length of all names in bytes, which makes up nearly all of the encoded size.
    pub fn name_bytes(&self) -> usize {
        let changes = self.changes.iter().map(|change| match change {
            ServerUpdate::Present(server) | ServerUpdate::Expired(server) => {
                let software =
                    server.software.as_ref().map_or(0, |software| software.as_str().len());
                let place = server.service.as_str().len() + server.domain.as_str().len();
                server.name.as_str().len() + place + software
            }
            ServerUpdate::Departed { name, .. } => name.as_str().len(),
        });
        let evacuations = self.evacuations.iter().map(|order| order.domain.as_str().len());
        changes.chain(evacuations).sum()
    }
}

/// A router's knowledge of the source, sent in answer to a [`FollowRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetUpdate {
    /// The incarnation of the querying router, copied from its request.
    pub life: u64,
    /// The time of the query, copied from the request.
    pub asked_ms: u64,
    /// Offset in milliseconds from the arrival of the query to the time at which the update was
    /// last known to be current; negative if that time was earlier.
    pub shift_ms: i64,
    /// The source position up to which the sender knows all changes.
    pub position: SourcePosition,
    /// The newest configuration version up to that position.
    pub version: u64,
    /// `true` if the sender could read the newest configuration up to that position; `None` from a router
    /// that doesn't report it.
    pub configuration_readable: Option<bool>,
    /// The number of routers that have sent the update on, including the one that read the source;
    /// 1 if it comes directly from that router.
    pub hops: u32,
    /// Milliseconds for which servers with expired entries may still return, in the sender's view.
    pub grace_ms: u32,
    /// The changes since the requested position; `None` if there are none to send or they don't fit into a
    /// datagram.
    pub span: Option<UpdateSpan>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct FollowWire {
    #[prost(fixed64, tag = "1")]
    life: u64,
    #[prost(uint64, tag = "2")]
    asked_ms: u64,
    #[prost(uint64, tag = "3")]
    revision: u64,
    #[prost(uint64, tag = "4")]
    era: u64,
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
    /// If set, the server has departed and only `name` and `lingers` are meaningful.
    #[prost(bool, tag = "8")]
    gone: bool,
    #[prost(bool, tag = "9")]
    lingers: bool,
    #[prost(uint32, tag = "10")]
    cold_ms: u32,
    /// If set, the server's entry is missing and may still be renewed.
    #[prost(bool, tag = "11")]
    expired: bool,
    /// Version of the server's software.
    #[prost(string, optional, tag = "12")]
    software: Option<String>,
}

#[derive(Clone, PartialEq, Message)]
struct EvacuationWire {
    #[prost(string, tag = "1")]
    domain: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(uint64, tag = "3")]
    era: u64,
}

#[derive(Clone, PartialEq, Message)]
struct SpanWire {
    /// Revision after which the changes begin.
    #[prost(uint64, tag = "1")]
    behind: u64,
    #[prost(message, repeated, tag = "2")]
    changes: Vec<ServerWire>,
    #[prost(fixed64, tag = "3")]
    digest: u64,
    #[prost(message, repeated, tag = "4")]
    evacuations: Vec<EvacuationWire>,
    /// Era of `behind`.
    #[prost(uint64, tag = "5")]
    behind_era: u64,
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
    revision: u64,
    #[prost(uint64, tag = "5")]
    version: u64,
    #[prost(uint32, tag = "6")]
    hops: u32,
    #[prost(message, optional, tag = "7")]
    span: Option<SpanWire>,
    #[prost(uint32, tag = "8")]
    grace_ms: u32,
    /// Set instead of `span` if changes may be missing.
    #[prost(message, optional, tag = "9")]
    partial_span: Option<SpanWire>,
    #[prost(uint64, tag = "10")]
    era: u64,
    #[prost(bool, optional, tag = "11")]
    configuration_readable: Option<bool>,
}

/// The error of decoding an update.
#[derive(Debug, Error)]
pub enum UpdateError {
    /// A field is malformed.
    #[error("malformed {part}: {cause}")]
    Part {
        /// The name of the field.
        part: &'static str,
        /// The cause.
        cause: String,
    },
}

fn invalid_part(part: &'static str) -> impl Fn(&dyn std::error::Error) -> UpdateError {
    move |cause| UpdateError::Part { part, cause: cause.to_string() }
}

impl From<FollowRequest> for FollowWire {
    fn from(request: FollowRequest) -> Self {
        let FollowRequest { life, asked_ms, position } = request;
        Self { life, asked_ms, revision: position.revision, era: position.era.0 }
    }
}

impl From<FollowWire> for FollowRequest {
    fn from(wire: FollowWire) -> Self {
        let FollowWire { life, asked_ms, revision, era } = wire;
        Self { life, asked_ms, position: SourcePosition::new(SourceEra(era), revision) }
    }
}

impl From<&BackendServer> for ServerWire {
    fn from(server: &BackendServer) -> Self {
        Self {
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
            expired: false,
            software: server.software.as_ref().map(ToString::to_string),
        }
    }
}

impl TryFrom<ServerWire> for BackendServer {
    type Error = UpdateError;

    fn try_from(wire: ServerWire) -> Result<Self, UpdateError> {
        let name: ServerName =
            wire.name.parse().map_err(|error| invalid_part("server name")(&error))?;
        let start = wire.start.map(ServerStart);
        let address: SocketAddr =
            wire.address.parse().map_err(|error| invalid_part("server address")(&error))?;
        Ok(Self {
            id: ServerId::of_start(&name, start),
            name,
            start,
            service: wire
                .service
                .parse()
                .map_err(|error| invalid_part("service of a server")(&error))?,
            software: wire
                .software
                .map(|text| text.parse())
                .transpose()
                .map_err(|error| invalid_part("software version of a server")(&error))?,
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
        })
    }
}

impl From<&ServerUpdate> for ServerWire {
    fn from(update: &ServerUpdate) -> Self {
        match update {
            ServerUpdate::Departed { name, terminating } => Self {
                name: name.to_string(),
                gone: true,
                lingers: *terminating,
                ..Self::default()
            },
            ServerUpdate::Present(server) => Self::from(server),
            ServerUpdate::Expired(server) => Self { expired: true, ..Self::from(server) },
        }
    }
}

impl TryFrom<ServerWire> for ServerUpdate {
    type Error = UpdateError;

    fn try_from(wire: ServerWire) -> Result<Self, UpdateError> {
        if wire.gone {
            let name = wire.name.parse().map_err(|error| invalid_part("server name")(&error))?;
            return Ok(Self::Departed { name, terminating: wire.lingers });
        }
        let is_expired = wire.expired;
        let server = BackendServer::try_from(wire)?;
        Ok(match is_expired {
            true => Self::Expired(server),
            false => Self::Present(server),
        })
    }
}

impl From<&EvacuationOrder> for EvacuationWire {
    fn from(order: &EvacuationOrder) -> Self {
        let SourcePosition { era, revision } = order.position;
        Self { domain: order.domain.to_string(), revision, era: era.0 }
    }
}

impl TryFrom<EvacuationWire> for EvacuationOrder {
    type Error = UpdateError;

    fn try_from(wire: EvacuationWire) -> Result<Self, UpdateError> {
        let domain =
            wire.domain.parse().map_err(|error| invalid_part("evacuated domain")(&error))?;
        Ok(Self { domain, position: SourcePosition::new(SourceEra(wire.era), wire.revision) })
    }
}

impl From<&UpdateSpan> for SpanWire {
    fn from(span: &UpdateSpan) -> Self {
        Self {
            behind: span.behind.revision,
            behind_era: span.behind.era.0,
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
            behind: SourcePosition::new(SourceEra(wire.behind_era), wire.behind),
            changes: changes?,
            digest: wire.digest,
            evacuations: evacuations?,
            is_complete: true,
        })
    }
}

impl From<&FleetUpdate> for NewsWire {
    fn from(update: &FleetUpdate) -> Self {
        Self {
            life: update.life,
            asked_ms: update.asked_ms,
            shift_ms: update.shift_ms,
            revision: update.position.revision,
            era: update.position.era.0,
            version: update.version,
            configuration_readable: update.configuration_readable,
            hops: update.hops,
            grace_ms: update.grace_ms,
            span: update.span.as_ref().filter(|span| span.is_complete).map(SpanWire::from),
            partial_span: update.span.as_ref().filter(|span| !span.is_complete).map(SpanWire::from),
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
            position: SourcePosition::new(SourceEra(wire.era), wire.revision),
            version: wire.version,
            configuration_readable: wire.configuration_readable,
            hops: wire.hops,
            grace_ms: wire.grace_ms,
            span: match (wire.span, wire.partial_span) {
                (Some(span), _) => Some(span.try_into()?),
                (None, Some(span)) => Some(UpdateSpan { is_complete: false, ..span.try_into()? }),
                (None, None) => None,
            },
        })
    }
}
