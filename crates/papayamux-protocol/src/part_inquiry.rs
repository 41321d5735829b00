//! Queries between routers for the servers that hold a shared prompt part.

use papayamux_state::ids::ServerKey;
use papayamux_state::prompt::PartId;
use papayamux_state::quantities::TokenCount;
use prost::Message;

/// A query to the owner of a part for the servers that hold it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartQuery {
    /// The querying router's sequence number, which matches the answer to the query.
    pub number: u64,
    /// The id of the prefix that ends with the part.
    pub part: PartId,
}

/// A server that holds a part or is prefilling it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartHolder {
    /// The server.
    pub server: ServerKey,
    /// The number of prompt tokens that the server prefills; zero if it holds the part.
    pub cold: TokenCount,
    /// Remaining time in milliseconds for which the prefill is awaited.
    pub reading_ms: u32,
}

/// The owner's answer to a [`PartQuery`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartAnswer {
    /// The number of the query.
    pub number: u64,
    /// Some of the servers that hold the part or are prefilling it.
    pub holders: Vec<PartHolder>,
    /// `true` if the owner has run long enough to have been notified of any other holder.
    pub is_sure: bool,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct PartQuestionWire {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(fixed64, tag = "2")]
    part: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct PartHolderWire {
    #[prost(fixed32, tag = "1")]
    server: u32,
    #[prost(uint64, tag = "2")]
    cold: u64,
    #[prost(uint32, tag = "3")]
    reading_ms: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct PartAnswerWire {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(message, repeated, tag = "2")]
    holders: Vec<PartHolderWire>,
    #[prost(bool, tag = "3")]
    is_sure: bool,
}

impl From<PartQuery> for PartQuestionWire {
    fn from(query: PartQuery) -> Self {
        Self { number: query.number, part: query.part.0 }
    }
}

impl From<PartQuestionWire> for PartQuery {
    fn from(wire: PartQuestionWire) -> Self {
        Self { number: wire.number, part: PartId(wire.part) }
    }
}

impl From<&PartAnswer> for PartAnswerWire {
    fn from(answer: &PartAnswer) -> Self {
        let holders = answer.holders.iter().map(|holder| PartHolderWire {
            server: holder.server.0,
            cold: holder.cold.get(),
            reading_ms: holder.reading_ms,
        });
        Self { number: answer.number, holders: holders.collect(), is_sure: answer.is_sure }
    }
}

impl From<PartAnswerWire> for PartAnswer {
    fn from(wire: PartAnswerWire) -> Self {
        let holders = wire.holders.into_iter().map(|holder| PartHolder {
            server: ServerKey(holder.server),
            cold: TokenCount::new(holder.cold),
            reading_ms: holder.reading_ms,
        });
        Self { number: wire.number, holders: holders.collect(), is_sure: wire.is_sure }
    }
}
