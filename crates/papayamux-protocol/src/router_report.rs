//! Reports that routers exchange in datagrams: their load on each server, the routers that they
//! know, and queries with their answers.

use std::net::{IpAddr, Ipv4Addr};

use bytes::Bytes;
use papayamux_state::capacity_class::CapacityClass;
use papayamux_state::crash_record::CrashNotice;
use papayamux_state::ids::{IdError, ServerKey, ServiceId};
use papayamux_state::prompt::{PartId, PromptPart};
use papayamux_state::quantities::TokenCount;
use papayamux_state::shared_queue::{QueueAnswer, QueueReport};
use prost::Message;
use thiserror::Error;

use crate::crash_notices::CrashNoticesWire;
use crate::fleet_update::{FleetUpdate, FollowRequest, FollowWire, NewsWire, UpdateError};
use crate::origin_notices::{
    group_notices, ungroup_notices, OriginAnswer, OriginAnswerWire, OriginNotice,
    OriginNoticesWire, OriginQuery, OriginQueryWire,
};
use crate::part_inquiry::{PartAnswer, PartAnswerWire, PartQuery, PartQuestionWire};
use crate::queue_exchange::{QueueAnswerWire, QueueExchangeError, QueueReportWire};

/// The load of one router's requests on a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedLoad {
    /// The server.
    pub server: ServerKey,
    /// The number of requests in flight.
    pub requests: u32,
    /// The number of prompt tokens that await prefill.
    pub backlog: u64,
}

/// A server that holds shared prompt parts in its cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedHolder {
    /// The server.
    pub server: ServerKey,
    /// The cached prefixes with their lengths, the longest last.
    pub prefixes: Vec<(PartId, TokenCount)>,
}

/// A prefill of shared prompt parts that a server has started, or completed, for a request of the
/// sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedPrefill {
    /// The server.
    pub server: ServerKey,
    /// The prefixes being prefilled, the longest last.
    pub prefixes: Vec<(PartId, TokenCount)>,
    /// The total number of tokens that the server prefills for the request.
    pub cold: TokenCount,
    /// Expected duration of the prefill in milliseconds; zero if it has completed.
    pub expected_ms: u32,
}

/// The prompt parts that an engine listed from its cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedListing {
    /// The engine.
    pub server: ServerKey,
    /// The parts, the largest first.
    pub parts: Vec<PromptPart>,
}

/// A query whether the sender's configuration is still current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedQuery {
    /// The incarnation of the querying router.
    pub life: u64,
    /// The time of the query, in milliseconds of the querying router's clock.
    pub asked_ms: u64,
}

/// The sender's knowledge of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedConfiguration {
    /// The configuration version in force.
    pub version: u64,
    /// Milliseconds since the version was last known to be current, rounded up.
    pub age_ms: u64,
    /// The queries answered by this report, each with the address of its router.
    pub answers: Vec<(IpAddr, ReportedQuery)>,
}

/// A report of one router to the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouterReport {
    /// Sequence number within the sender's incarnation; later reports replace earlier ones.
    pub sequence: u64,
    /// Addresses of the other routers that the sender receives reports from.
    pub known: Vec<IpAddr>,
    /// The load of the sender's requests, by server.
    pub loads: Vec<ReportedLoad>,
    /// Some of the shared prompt parts that the sender used recently, by server.
    pub holders: Vec<ReportedHolder>,
    /// The cache contents that engines listed to the sender.
    pub listings: Vec<ReportedListing>,
    /// `true` if the sender is draining.
    pub leaving: bool,
    /// `true` if the sender has started so recently that it knows little about caches.
    pub fresh: bool,
    /// The sender's query about the configuration.
    pub question: Option<ReportedQuery>,
    /// The sender's configuration, with its answers to queries.
    pub configuration: Option<ReportedConfiguration>,
    /// Prefills that servers have started for the sender.
    pub readings: Vec<ReportedPrefill>,
    /// A request to be sent changes of the source.
    pub follow: Option<FollowRequest>,
    /// Changes of the source, sent to a follower.
    pub news: Option<FleetUpdate>,
    /// A query for the servers that hold a prompt part.
    pub part_question: Option<PartQuery>,
    /// The answer to such a query.
    pub part_answer: Option<PartAnswer>,
    /// Records of what servers crashed on.
    pub crashes: Vec<CrashNotice>,
    /// Streams that have begun, sent to the owners of their keys.
    pub origins: Vec<OriginNotice>,
    /// A query for the origin of a stream.
    pub origin_query: Option<OriginQuery>,
    /// The answer to such a query.
    pub origin_answer: Option<OriginAnswer>,
    /// The number of routers that the sender knew of recently, including itself; 0 if not reported.
    pub counted: u32,
    /// The sender's state in the shared queue of a service that the receiver owns.
    pub queue_report: Option<QueueReport>,
    /// The answer of the owner of a shared queue.
    pub queue_answer: Option<QueueAnswer>,
    /// Services that are short of slots.
    pub contended: Vec<ServiceId>,
    /// The processor capacity of the sender.
    pub capacity: CapacityClass,
    /// `true` if the report carries no loads because it is sent ahead of the next complete report.
    pub is_partial: bool,
}

/// The error of decoding a report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The datagram is not a valid protobuf message.
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
    /// The update from the source is malformed.
    #[error(transparent)]
    News(#[from] UpdateError),
    /// The origin of a stream is malformed.
    #[error("malformed origin of a stream: {0}")]
    Origin(#[from] IdError),
    /// The suspect of a crash notice is malformed.
    #[error("malformed suspect of a crash notice: {0}")]
    Suspect(IdError),
    /// The message about a shared queue is malformed.
    #[error("malformed message about a shared queue: {0}")]
    SharedQueue(#[from] QueueExchangeError),
    /// The name of a service that is short of slots is malformed.
    #[error("malformed name of a service that is short of slots: {0}")]
    Contended(IdError),
}

/// Loads in columns, which take 7 bytes per server instead of 12 as separate messages.
#[derive(Clone, PartialEq, Message)]
struct LoadsWire {
    #[prost(fixed32, repeated, tag = "1")]
    servers: Vec<u32>,
    #[prost(uint32, repeated, tag = "2")]
    requests: Vec<u32>,
    #[prost(uint64, repeated, tag = "3")]
    backlogs: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct PartsWire {
    #[prost(fixed32, tag = "1")]
    server: u32,
    #[prost(fixed64, repeated, tag = "2")]
    parts: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    tokens: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct ReadingWire {
    #[prost(message, optional, tag = "1")]
    parts: Option<PartsWire>,
    #[prost(uint64, tag = "2")]
    cold: u64,
    #[prost(uint32, tag = "3")]
    expected_ms: u32,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct QuestionWire {
    #[prost(fixed64, tag = "1")]
    life: u64,
    #[prost(uint64, tag = "2")]
    asked_ms: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct AnswerWire {
    #[prost(fixed32, tag = "1")]
    router: u32,
    #[prost(message, optional, tag = "2")]
    question: Option<QuestionWire>,
}

#[derive(Clone, PartialEq, Message)]
struct ConfigurationWire {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    #[prost(message, repeated, tag = "3")]
    answers: Vec<AnswerWire>,
}

/// Tags 3, 5 and 8 carried loads, holders and listings with full identifiers and are not reused.
#[derive(Clone, PartialEq, Message)]
struct ReportWire {
    #[prost(uint64, tag = "1")]
    sequence: u64,
    #[prost(fixed32, repeated, tag = "2")]
    known: Vec<u32>,
    #[prost(bool, tag = "4")]
    leaving: bool,
    #[prost(message, optional, tag = "6")]
    question: Option<QuestionWire>,
    #[prost(message, optional, tag = "7")]
    configuration: Option<ConfigurationWire>,
    #[prost(bool, tag = "9")]
    fresh: bool,
    #[prost(message, optional, tag = "10")]
    loads: Option<LoadsWire>,
    #[prost(message, repeated, tag = "11")]
    holders: Vec<PartsWire>,
    #[prost(message, repeated, tag = "12")]
    listings: Vec<PartsWire>,
    #[prost(message, repeated, tag = "13")]
    readings: Vec<ReadingWire>,
    #[prost(bool, tag = "14")]
    is_partial: bool,
    #[prost(message, optional, tag = "15")]
    follow: Option<FollowWire>,
    #[prost(message, optional, tag = "16")]
    news: Option<NewsWire>,
    #[prost(message, optional, tag = "17")]
    part_question: Option<PartQuestionWire>,
    #[prost(message, optional, tag = "18")]
    part_answer: Option<PartAnswerWire>,
    #[prost(message, optional, tag = "19")]
    crashes: Option<CrashNoticesWire>,
    #[prost(uint32, tag = "20")]
    counted: u32,
    #[prost(message, repeated, tag = "21")]
    origins: Vec<OriginNoticesWire>,
    #[prost(message, optional, tag = "22")]
    origin_query: Option<OriginQueryWire>,
    #[prost(message, optional, tag = "23")]
    origin_answer: Option<OriginAnswerWire>,
    #[prost(message, optional, tag = "24")]
    queue_report: Option<QueueReportWire>,
    #[prost(message, optional, tag = "25")]
    queue_answer: Option<QueueAnswerWire>,
    #[prost(string, repeated, tag = "26")]
    contended: Vec<String>,
    #[prost(uint32, tag = "27")]
    capacity: u32,
}

impl From<&[ReportedLoad]> for LoadsWire {
    fn from(loads: &[ReportedLoad]) -> Self {
        Self {
            servers: loads.iter().map(|load| load.server.0).collect(),
            requests: loads.iter().map(|load| load.requests).collect(),
            backlogs: loads.iter().map(|load| load.backlog).collect(),
        }
    }
}

impl From<LoadsWire> for Vec<ReportedLoad> {
    fn from(wire: LoadsWire) -> Self {
        let loads = wire.servers.into_iter().zip(wire.requests).zip(wire.backlogs);
        let loads = loads.map(|((server, requests), backlog)| ReportedLoad {
            server: ServerKey(server),
            requests,
            backlog,
        });
        loads.collect()
    }
}

impl From<&ReportedHolder> for PartsWire {
    fn from(holder: &ReportedHolder) -> Self {
        Self {
            server: holder.server.0,
            parts: holder.prefixes.iter().map(|(prefix, _)| prefix.0).collect(),
            tokens: holder.prefixes.iter().map(|(_, tokens)| tokens.get()).collect(),
        }
    }
}

impl From<PartsWire> for ReportedHolder {
    fn from(wire: PartsWire) -> Self {
        let prefixes = wire.parts.into_iter().map(PartId);
        let prefixes = prefixes.zip(wire.tokens.into_iter().map(TokenCount::new)).collect();
        Self { server: ServerKey(wire.server), prefixes }
    }
}

impl From<&ReportedPrefill> for ReadingWire {
    fn from(prefill: &ReportedPrefill) -> Self {
        let prefixes = prefill.prefixes.clone();
        let holder = ReportedHolder { server: prefill.server, prefixes };
        Self {
            parts: Some(PartsWire::from(&holder)),
            cold: prefill.cold.get(),
            expected_ms: prefill.expected_ms,
        }
    }
}

impl From<ReadingWire> for ReportedPrefill {
    fn from(wire: ReadingWire) -> Self {
        let holder = ReportedHolder::from(wire.parts.unwrap_or_default());
        Self {
            server: holder.server,
            prefixes: holder.prefixes,
            cold: TokenCount::new(wire.cold),
            expected_ms: wire.expected_ms,
        }
    }
}

impl From<&ReportedListing> for PartsWire {
    fn from(listing: &ReportedListing) -> Self {
        Self {
            server: listing.server.0,
            parts: listing.parts.iter().map(|part| part.id.0).collect(),
            tokens: listing.parts.iter().map(|part| part.tokens.get()).collect(),
        }
    }
}

impl From<PartsWire> for ReportedListing {
    fn from(wire: PartsWire) -> Self {
        let parts = wire.parts.into_iter().zip(wire.tokens);
        let parts = parts
            .map(|(id, tokens)| PromptPart { id: PartId(id), tokens: TokenCount::new(tokens) });
        Self { server: ServerKey(wire.server), parts: parts.collect() }
    }
}

impl From<ReportedQuery> for QuestionWire {
    fn from(question: ReportedQuery) -> Self {
        Self { life: question.life, asked_ms: question.asked_ms }
    }
}

impl From<QuestionWire> for ReportedQuery {
    fn from(wire: QuestionWire) -> Self {
        Self { life: wire.life, asked_ms: wire.asked_ms }
    }
}

impl From<&ReportedConfiguration> for ConfigurationWire {
    fn from(configuration: &ReportedConfiguration) -> Self {
        let answers = configuration.answers.iter().filter_map(|(router, question)| {
            let router = address_bits(router)?;
            Some(AnswerWire { router, question: Some((*question).into()) })
        });
        Self {
            version: configuration.version,
            age_ms: configuration.age_ms,
            answers: answers.collect(),
        }
    }
}

impl From<ConfigurationWire> for ReportedConfiguration {
    fn from(wire: ConfigurationWire) -> Self {
        let answers = wire.answers.into_iter().filter_map(|answer| {
            let question = answer.question?;
            Some((Ipv4Addr::from(answer.router).into(), question.into()))
        });
        Self { version: wire.version, age_ms: wire.age_ms, answers: answers.collect() }
    }
}

/// Encodes a router address; returns `None` for IPv6, which reports don't carry.
fn address_bits(address: &IpAddr) -> Option<u32> {
    match address {
        IpAddr::V4(address) => Some(u32::from(*address)),
        IpAddr::V6(_) => None,
    }
}

impl From<&RouterReport> for ReportWire {
    fn from(report: &RouterReport) -> Self {
        let (loads, crashes) = (report.loads.as_slice(), report.crashes.as_slice());
        Self {
            sequence: report.sequence,
            known: report.known.iter().filter_map(address_bits).collect(),
            leaving: report.leaving,
            question: report.question.map(QuestionWire::from),
            configuration: report.configuration.as_ref().map(ConfigurationWire::from),
            fresh: report.fresh,
            loads: (!loads.is_empty()).then(|| LoadsWire::from(loads)),
            holders: report.holders.iter().map(PartsWire::from).collect(),
            listings: report.listings.iter().map(PartsWire::from).collect(),
            readings: report.readings.iter().map(ReadingWire::from).collect(),
            is_partial: report.is_partial,
            counted: report.counted,
            follow: report.follow.map(FollowWire::from),
            news: report.news.as_ref().map(NewsWire::from),
            part_question: report.part_question.map(PartQuestionWire::from),
            part_answer: report.part_answer.as_ref().map(PartAnswerWire::from),
            crashes: (!crashes.is_empty()).then(|| CrashNoticesWire::from(crashes)),
            origins: group_notices(&report.origins),
            origin_query: report.origin_query.map(OriginQueryWire::from),
            origin_answer: report.origin_answer.as_ref().map(OriginAnswerWire::from),
            queue_report: report.queue_report.as_ref().map(QueueReportWire::from),
            queue_answer: report.queue_answer.as_ref().map(QueueAnswerWire::from),
            contended: report.contended.iter().map(ServiceId::to_string).collect(),
            capacity: report.capacity.get(),
        }
    }
}

impl TryFrom<ReportWire> for RouterReport {
    type Error = ReportError;

    fn try_from(wire: ReportWire) -> Result<Self, ReportError> {
        let crashes = Vec::try_from(wire.crashes.unwrap_or_default());
        let contended: Result<_, _> = wire.contended.iter().map(|text| text.parse()).collect();
        Ok(Self {
            sequence: wire.sequence,
            known: wire.known.into_iter().map(|bits| Ipv4Addr::from(bits).into()).collect(),
            loads: wire.loads.map(Vec::from).unwrap_or_default(),
            holders: wire.holders.into_iter().map(ReportedHolder::from).collect(),
            listings: wire.listings.into_iter().map(ReportedListing::from).collect(),
            leaving: wire.leaving,
            fresh: wire.fresh,
            question: wire.question.map(ReportedQuery::from),
            configuration: wire.configuration.map(ReportedConfiguration::from),
            readings: wire.readings.into_iter().map(ReportedPrefill::from).collect(),
            is_partial: wire.is_partial,
            counted: wire.counted,
            follow: wire.follow.map(FollowRequest::from),
            news: wire.news.map(FleetUpdate::try_from).transpose()?,
            part_question: wire.part_question.map(PartQuery::from),
            part_answer: wire.part_answer.map(PartAnswer::from),
            crashes: crashes.map_err(ReportError::Suspect)?,
            origins: ungroup_notices(wire.origins)?,
            origin_query: wire.origin_query.map(OriginQuery::from),
            origin_answer: wire.origin_answer.map(OriginAnswer::try_from).transpose()?,
            queue_report: wire.queue_report.map(QueueReport::try_from).transpose()?,
            queue_answer: wire.queue_answer.map(QueueAnswer::try_from).transpose()?,
            contended: contended.map_err(ReportError::Contended)?,
            capacity: CapacityClass::from(wire.capacity),
        })
    }
}

impl RouterReport {
    /// Encodes the report as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        ReportWire::from(self).encode_to_vec()
    }

    /// Decodes a datagram.
    pub fn decode(bytes: Bytes) -> Result<Self, ReportError> {
        ReportWire::decode(bytes)?.try_into()
    }
}
