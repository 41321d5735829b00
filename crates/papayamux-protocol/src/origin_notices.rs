//! Notices, queries and answers between routers about where streams began.

use std::collections::BTreeMap;

use papayamux_state::ids::IdError;
use papayamux_state::stream_origin::{StreamKey, StreamOrigin};
use prost::Message;

/// A notice that a stream has begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginNotice {
    /// The stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
}

/// A query for the origin of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginQuery {
    /// The querying router's sequence number, which matches the answer to the query.
    pub number: u64,
    /// The stream.
    pub key: StreamKey,
}

/// The answer to an [`OriginQuery`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginAnswer {
    /// The number of the query.
    pub number: u64,
    /// Where the stream began; `None` if the answering router doesn't know.
    pub origin: Option<StreamOrigin>,
}

/// Streams with the same origin.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct OriginNoticesWire {
    #[prost(message, optional, tag = "1")]
    origin: Option<OriginWire>,
    #[prost(fixed64, repeated, tag = "2")]
    keys: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct OriginWire {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    version: String,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct OriginQueryWire {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(fixed64, tag = "2")]
    key: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct OriginAnswerWire {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(message, optional, tag = "2")]
    origin: Option<OriginWire>,
}

impl From<&StreamOrigin> for OriginWire {
    fn from(origin: &StreamOrigin) -> Self {
        Self { service: origin.service.to_string(), version: origin.version.to_string() }
    }
}

impl TryFrom<OriginWire> for StreamOrigin {
    type Error = IdError;

    fn try_from(wire: OriginWire) -> Result<Self, IdError> {
        Ok(Self { service: wire.service.parse()?, version: wire.version.parse()? })
    }
}

/// Groups notices by origin, which most of them share.
pub(crate) fn group_notices(notices: &[OriginNotice]) -> Vec<OriginNoticesWire> {
    let mut groups: BTreeMap<(&str, &str), OriginNoticesWire> = BTreeMap::new();
    for OriginNotice { key, origin } in notices {
        let group = groups.entry((origin.service.as_str(), origin.version.as_str()));
        let group = group.or_insert_with(|| OriginNoticesWire {
            origin: Some(OriginWire::from(origin)),
            keys: Vec::new(),
        });
        group.keys.push(key.0);
    }
    groups.into_values().collect()
}

/// Returns the notices of all groups.
pub(crate) fn ungroup_notices(
    groups: Vec<OriginNoticesWire>,
) -> Result<Vec<OriginNotice>, IdError> {
    let mut notices = Vec::new();
    for group in groups {
        let origin: StreamOrigin = group.origin.unwrap_or_default().try_into()?;
        let keys = group.keys.into_iter().map(StreamKey);
        notices.extend(keys.map(|key| OriginNotice { key, origin: origin.clone() }));
    }
    Ok(notices)
}

impl From<OriginQuery> for OriginQueryWire {
    fn from(query: OriginQuery) -> Self {
        Self { number: query.number, key: query.key.0 }
    }
}

impl From<OriginQueryWire> for OriginQuery {
    fn from(wire: OriginQueryWire) -> Self {
        Self { number: wire.number, key: StreamKey(wire.key) }
    }
}

impl From<&OriginAnswer> for OriginAnswerWire {
    fn from(answer: &OriginAnswer) -> Self {
        Self { number: answer.number, origin: answer.origin.as_ref().map(OriginWire::from) }
    }
}

impl TryFrom<OriginAnswerWire> for OriginAnswer {
    type Error = IdError;

    fn try_from(wire: OriginAnswerWire) -> Result<Self, IdError> {
        let origin = wire.origin.map(StreamOrigin::try_from).transpose()?;
        Ok(Self { number: wire.number, origin })
    }
}
