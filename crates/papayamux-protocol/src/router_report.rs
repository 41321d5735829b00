//! What routers tell one another in datagrams: their requests at each server, and who is there.

use std::net::{IpAddr, Ipv4Addr};

use bytes::Bytes;
use papayamux_state::ids::{IdError, ServerId};
use papayamux_state::prompt::{PartId, PromptPart};
use papayamux_state::quantities::TokenCount;
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

/// A server that holds a shared part of prompts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedHolder {
    /// The server.
    pub server: ServerId,
    /// The prefixes that it holds, the longest last.
    pub prefixes: Vec<(PartId, TokenCount)>,
}

/// Parts that an engine listed of its cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedListing {
    /// The engine.
    pub server: ServerId,
    /// The parts, the largest first.
    pub parts: Vec<PromptPart>,
}

/// Asks whether the sender's configuration is still the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedQuestion {
    /// The life of the router that asks.
    pub life: u64,
    /// When it asked, in milliseconds of its own clock.
    pub asked_ms: u64,
}

/// What the sender knows of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedConfiguration {
    /// The version in force.
    pub version: u64,
    /// Milliseconds since it was known to be the newest, rounded up.
    pub age_ms: u64,
    /// The questions that this answers, by the routers that asked them.
    pub answers: Vec<(IpAddr, ReportedQuestion)>,
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
    /// Some of the shared parts that it used lately, with their servers.
    pub holders: Vec<ReportedHolder>,
    /// Parts that engines listed to it.
    pub listings: Vec<ReportedListing>,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Whether it has started so lately that it knows little of caches.
    pub fresh: bool,
    /// What it asks the others.
    pub question: Option<ReportedQuestion>,
    /// What it answers others.
    pub configuration: Option<ReportedConfiguration>,
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
struct HolderWire {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(fixed64, repeated, tag = "2")]
    prefixes: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    tokens: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct ListingWire {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(fixed64, repeated, tag = "2")]
    parts: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    tokens: Vec<u64>,
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
    #[prost(message, repeated, tag = "5")]
    holders: Vec<HolderWire>,
    #[prost(message, optional, tag = "6")]
    question: Option<QuestionWire>,
    #[prost(message, optional, tag = "7")]
    configuration: Option<ConfigurationWire>,
    #[prost(message, repeated, tag = "8")]
    listings: Vec<ListingWire>,
    #[prost(bool, tag = "9")]
    fresh: bool,
}

impl From<&ReportedHolder> for HolderWire {
    fn from(holder: &ReportedHolder) -> Self {
        Self {
            server: holder.server.to_string(),
            prefixes: holder.prefixes.iter().map(|(prefix, _)| prefix.0).collect(),
            tokens: holder.prefixes.iter().map(|(_, tokens)| tokens.get()).collect(),
        }
    }
}

impl TryFrom<HolderWire> for ReportedHolder {
    type Error = ReportError;

    fn try_from(wire: HolderWire) -> Result<Self, ReportError> {
        let server = wire.server.parse()?;
        let prefixes = wire.prefixes.into_iter().map(PartId);
        let prefixes = prefixes.zip(wire.tokens.into_iter().map(TokenCount::new)).collect();
        Ok(Self { server, prefixes })
    }
}

impl From<&ReportedListing> for ListingWire {
    fn from(listing: &ReportedListing) -> Self {
        Self {
            server: listing.server.to_string(),
            parts: listing.parts.iter().map(|part| part.id.0).collect(),
            tokens: listing.parts.iter().map(|part| part.tokens.get()).collect(),
        }
    }
}

impl TryFrom<ListingWire> for ReportedListing {
    type Error = ReportError;

    fn try_from(wire: ListingWire) -> Result<Self, ReportError> {
        let server = wire.server.parse()?;
        let parts = wire.parts.into_iter().zip(wire.tokens);
        let parts = parts
            .map(|(id, tokens)| PromptPart { id: PartId(id), tokens: TokenCount::new(tokens) });
        Ok(Self { server, parts: parts.collect() })
    }
}

impl From<ReportedQuestion> for QuestionWire {
    fn from(question: ReportedQuestion) -> Self {
        Self { life: question.life, asked_ms: question.asked_ms }
    }
}

impl From<QuestionWire> for ReportedQuestion {
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

/// An address between routers as it travels; those of version 6 are left out.
fn address_bits(address: &IpAddr) -> Option<u32> {
    match address {
        IpAddr::V4(address) => Some(u32::from(*address)),
        IpAddr::V6(_) => None,
    }
}

impl From<&RouterReport> for ReportWire {
    fn from(report: &RouterReport) -> Self {
        let known = report.known.iter().filter_map(address_bits);
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
            holders: report.holders.iter().map(HolderWire::from).collect(),
            listings: report.listings.iter().map(ListingWire::from).collect(),
            fresh: report.fresh,
            question: report.question.map(QuestionWire::from),
            configuration: report.configuration.as_ref().map(ConfigurationWire::from),
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
            holders: wire
                .holders
                .into_iter()
                .map(ReportedHolder::try_from)
                .collect::<Result<_, _>>()?,
            listings: wire
                .listings
                .into_iter()
                .map(ReportedListing::try_from)
                .collect::<Result<_, _>>()?,
            leaving: wire.leaving,
            fresh: wire.fresh,
            question: wire.question.map(ReportedQuestion::from),
            configuration: wire.configuration.map(ReportedConfiguration::from),
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
