//! The transfer of a complete view of the source from one router to another, over a connection.
//!
//! A router that has just started, or that lacks changes which the routers it follows no longer have,
//! requests a view instead of reading the source.

use std::io::{self, Read};
use std::net::{IpAddr, Ipv4Addr};

use bytes::Bytes;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use flate2::Compression;
use papayamux_state::service_config::ConfigurationSnapshot;
use papayamux_state::source::{SourceEra, SourcePosition};
use prost::Message;
use thiserror::Error;

use crate::fleet_update::{FleetUpdate, NewsWire, UpdateError};
use crate::service_configuration::{ConfigurationError, SnapshotWire};

/// Maximum size of a decompressed view: several times the entries of ten thousand servers with a large
/// configuration.
const MAX_VIEW_BYTES: u64 = 32 * 1024 * 1024;

/// A request for a complete view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewRequest {
    /// The incarnation of the requesting router, whose clock restarts with its instance.
    pub life: u64,
    /// The time of the request, in milliseconds of the requesting router's clock.
    pub asked_ms: u64,
    /// The source position that the view must lie beyond; the default one for any view.
    pub position: SourcePosition,
    /// The configuration version that the view must have; 0 for any view.
    pub version: u64,
}

/// A complete view of the source at one position.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetView {
    /// The position, and all servers and evacuations as changes after position 0. The fields of the
    /// request that it answers are zero until [`TimedView`] sets them.
    pub update: FleetUpdate,
    /// The configuration that the sender has in force. The update may name a newer version.
    pub configuration: Option<ConfigurationSnapshot>,
}

/// A compressed view, which is the same for all requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PackedView(Bytes);

impl PackedView {
    /// Compresses a view.
    pub fn pack(view: &FleetView) -> io::Result<Self> {
        let body = BodyWire {
            update: Some(NewsWire::from(&view.update)),
            configuration: view.configuration.as_ref().map(SnapshotWire::from),
        };
        let body = body.encode_to_vec();
        let mut packed = Vec::new();
        DeflateEncoder::new(body.as_slice(), Compression::fast()).read_to_end(&mut packed)?;
        Ok(Self(packed.into()))
    }

    /// Returns the size in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the view has no contents.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Decompresses the view.
    pub fn unpack(&self) -> Result<FleetView, ViewError> {
        let mut body = Vec::new();
        let mut decoder = DeflateDecoder::new(self.0.as_ref()).take(MAX_VIEW_BYTES);
        decoder.read_to_end(&mut body)?;
        let body = BodyWire::decode(body.as_slice())?;
        let update = body.update.ok_or(ViewError::Incomplete)?;
        Ok(FleetView {
            update: update.try_into()?,
            configuration: body.configuration.map(TryInto::try_into).transpose()?,
        })
    }
}

/// A view with the time at which it was current.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedView {
    /// The request that is answered.
    pub request: ViewRequest,
    /// Offset in milliseconds from the arrival of the request to the time at which the view was last
    /// known to be current; negative if that time was earlier.
    pub shift_ms: i64,
    /// The routers that the sender knows, including itself.
    pub routers: Vec<IpAddr>,
    /// The view.
    pub view: PackedView,
}

impl TimedView {
    /// Decompresses the view and sets the fields of its update that depend on the request.
    pub fn unpack(&self) -> Result<FleetView, ViewError> {
        let mut view = self.view.unpack()?;
        view.update.life = self.request.life;
        view.update.asked_ms = self.request.asked_ms;
        view.update.shift_ms = self.shift_ms;
        Ok(view)
    }
}

/// The answer to a request for a view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewAnswer {
    /// The view.
    View(TimedView),
    /// The sender has handed on its view often enough; these routers have received it.
    Referral(Vec<IpAddr>),
    /// The sender has no view.
    Unavailable,
}

/// The error of decoding a request or an answer.
#[derive(Debug, Error)]
pub enum ViewError {
    /// The frame is not a valid protobuf message.
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
    /// The contents can't be decompressed.
    #[error("the view can't be decompressed: {0}")]
    Compression(#[from] io::Error),
    /// The view of servers is malformed.
    #[error(transparent)]
    Update(#[from] UpdateError),
    /// The configuration is malformed.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// A required part is missing.
    #[error("the view is incomplete")]
    Incomplete,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct RequestWire {
    #[prost(fixed64, tag = "1")]
    life: u64,
    #[prost(uint64, tag = "2")]
    asked_ms: u64,
    #[prost(uint64, tag = "3")]
    revision: u64,
    #[prost(uint64, tag = "4")]
    version: u64,
    #[prost(uint64, tag = "5")]
    era: u64,
}

impl From<ViewRequest> for RequestWire {
    fn from(request: ViewRequest) -> Self {
        let ViewRequest { life, asked_ms, position, version } = request;
        let SourcePosition { era, revision } = position;
        Self { life, asked_ms, revision, version, era: era.0 }
    }
}

impl From<RequestWire> for ViewRequest {
    fn from(wire: RequestWire) -> Self {
        let RequestWire { life, asked_ms, revision, version, era } = wire;
        let position = SourcePosition::new(SourceEra(era), revision);
        Self { life, asked_ms, position, version }
    }
}

#[derive(Clone, PartialEq, Message)]
struct BodyWire {
    #[prost(message, optional, tag = "1")]
    update: Option<NewsWire>,
    #[prost(message, optional, tag = "2")]
    configuration: Option<SnapshotWire>,
}

#[derive(Clone, PartialEq, Message)]
struct TimedWire {
    #[prost(message, optional, tag = "1")]
    request: Option<RequestWire>,
    #[prost(sint64, tag = "2")]
    shift_ms: i64,
    #[prost(fixed32, repeated, tag = "3")]
    routers: Vec<u32>,
    #[prost(bytes = "bytes", tag = "4")]
    view: Bytes,
}

/// Exactly one field is set, or none if there is no view.
#[derive(Clone, PartialEq, Message)]
struct ViewAnswerWire {
    #[prost(message, optional, tag = "1")]
    view: Option<TimedWire>,
    #[prost(fixed32, repeated, tag = "2")]
    referral: Vec<u32>,
}

impl ViewRequest {
    /// Encodes the request as the contents of a frame.
    pub fn encode(&self) -> Bytes {
        RequestWire::from(*self).encode_to_vec().into()
    }

    /// Decodes a request.
    pub fn decode(frame: Bytes) -> Result<Self, ViewError> {
        Ok(RequestWire::decode(frame)?.into())
    }
}

impl ViewAnswer {
    /// Encodes the answer as the contents of a frame.
    pub fn encode(&self) -> Bytes {
        let wire = match self {
            Self::View(view) => ViewAnswerWire {
                view: Some(TimedWire {
                    request: Some(view.request.into()),
                    shift_ms: view.shift_ms,
                    routers: to_wire(&view.routers),
                    view: view.view.0.clone(),
                }),
                referral: Vec::new(),
            },
            Self::Referral(routers) => ViewAnswerWire { view: None, referral: to_wire(routers) },
            Self::Unavailable => ViewAnswerWire::default(),
        };
        wire.encode_to_vec().into()
    }

    /// Decodes an answer.
    pub fn decode(frame: Bytes) -> Result<Self, ViewError> {
        let ViewAnswerWire { view, referral } = ViewAnswerWire::decode(frame)?;
        match view {
            Some(TimedWire { request, shift_ms, routers, view }) => Ok(Self::View(TimedView {
                request: request.ok_or(ViewError::Incomplete)?.into(),
                shift_ms,
                routers: from_wire(&routers),
                view: PackedView(view),
            })),
            None if referral.is_empty() => Ok(Self::Unavailable),
            None => Ok(Self::Referral(from_wire(&referral))),
        }
    }
}

/// Routers have IPv4 addresses only.
fn to_wire(routers: &[IpAddr]) -> Vec<u32> {
    let addresses = routers.iter().filter_map(|router| match router {
        IpAddr::V4(address) => Some(u32::from(*address)),
        IpAddr::V6(_) => None,
    });
    addresses.collect()
}

fn from_wire(routers: &[u32]) -> Vec<IpAddr> {
    routers.iter().map(|router| IpAddr::V4(Ipv4Addr::from(*router))).collect()
}
