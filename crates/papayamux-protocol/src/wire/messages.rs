//! Prost types of messages between routers and agents. Retired field numbers are never reused.

use bytes::Bytes;

use super::claim_messages::{WireClaim, WireClaimNotice, WireClaimReply, WireRecall};
use super::load_messages::{WireGroupLoad, WireLoad, WireMoved, WireProbe, WireProbed};
use super::serving_messages::{WireServingAnswer, WireServingQuestion};
use super::shared_messages::{WireRefusal, WireRequestId};
use crate::crash_notices::CrashNoticesWire;

/// A frame from a router to an agent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RouterFrame {
    /// The stream; 0 is the connection.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// The message.
    #[prost(oneof = "RouterBody", tags = "2, 3, 4, 5, 6, 7, 8, 10, 11, 12, 13, 14, 15, 16, 50")]
    pub body: Option<RouterBody>,
}

/// A message from a router.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum RouterBody {
    /// See [`crate::link::RouterHello`].
    #[prost(message, tag = "2")]
    Hello(WireHello),
    /// See [`crate::link::OpenRequest`].
    #[prost(message, boxed, tag = "3")]
    Open(Box<WireOpen>),
    /// The offset up to which the caller has received the answer.
    #[prost(uint64, tag = "4")]
    Acknowledge(u64),
    /// The caller has disconnected.
    #[prost(message, tag = "5")]
    Cancel(WireNothing),
    /// The number of the ping, returned in the pong.
    #[prost(uint64, tag = "6")]
    Ping(u64),
    /// See [`crate::link::ResumeRequest`].
    #[prost(message, boxed, tag = "13")]
    Resume(Box<WireResume>),
    /// See [`crate::proof::ProofTag`].
    #[prost(bytes = "bytes", tag = "14")]
    Prove(Bytes),
    /// The complete answer was received.
    #[prost(message, tag = "15")]
    Received(WireNothing),
    /// The number of the agent's ping.
    #[prost(uint64, tag = "16")]
    Pong(u64),
    /// See [`crate::link::ClaimRequest`].
    #[prost(message, tag = "10")]
    Claim(WireClaim),
    /// See [`crate::link::ClaimNotice`].
    #[prost(message, tag = "11")]
    ClaimNotice(WireClaimNotice),
    /// See [`crate::link::RecallRequest`].
    #[prost(message, tag = "12")]
    Recall(WireRecall),
    /// See [`crate::link::LoadProbe`].
    #[prost(message, tag = "7")]
    Probe(WireProbe),
    /// See [`crate::link::MovedChat`].
    #[prost(message, tag = "8")]
    Moved(WireMoved),
    /// See [`crate::serving::ServingQuery`].
    #[prost(message, tag = "50")]
    AskServing(WireServingQuestion),
}

/// A frame from an agent to a router.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AgentFrame {
    /// The stream; 0 is the connection.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// The message.
    #[prost(oneof = "AgentBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 15, 16, 17, 18, 50")]
    pub body: Option<AgentBody>,
}

/// A message from an agent.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum AgentBody {
    /// See [`crate::link::AgentWelcome`].
    #[prost(message, tag = "2")]
    Welcome(WireWelcome),
    /// See [`crate::link::RefusalNotice`].
    #[prost(message, tag = "3")]
    Refused(WireRefusal),
    /// See [`crate::link::AnswerHead`].
    #[prost(message, tag = "4")]
    Head(WireHead),
    /// See [`crate::link::AnswerData`].
    #[prost(message, tag = "5")]
    Data(WireData),
    /// See [`crate::link::AnswerEnd`].
    #[prost(message, tag = "6")]
    End(WireEnd),
    /// See [`crate::link::PongNotice`].
    #[prost(message, tag = "7")]
    Pong(WirePong),
    /// The agent is draining and accepts no new requests.
    #[prost(message, tag = "8")]
    Leaving(WireNothing),
    /// See [`crate::link::ResumeNotice`].
    #[prost(message, tag = "15")]
    Resumed(WireResumed),
    /// The agent does not hold the requested answer.
    #[prost(message, tag = "16")]
    NotHeld(WireNothing),
    /// The number of the ping, returned in the pong.
    #[prost(uint64, tag = "17")]
    Ping(u64),
    /// See [`crate::link::ClaimReply`].
    #[prost(message, tag = "12")]
    Claim(WireClaimReply),
    /// See [`papayamux_state::load::LoadReport`].
    #[prost(message, tag = "9")]
    Load(WireLoad),
    /// See [`crate::link::ProbeReply`].
    #[prost(message, tag = "10")]
    Probed(WireProbed),
    /// See [`crate::serving::ServingAnswer`].
    #[prost(message, tag = "50")]
    Serving(WireServingAnswer),
    /// Records of requests under which servers crashed.
    #[prost(message, tag = "18")]
    Crashes(CrashNoticesWire),
}

/// A message without content.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireNothing {}

/// The wire form of [`crate::link::RouterHello`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireHello {
    /// Protocol version.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The router's incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The router's failure domain.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// The nonce that the agent's proof must cover.
    #[prost(bytes = "bytes", optional, tag = "26")]
    pub nonce: Option<Bytes>,
}

/// The wire form of [`crate::link::AgentWelcome`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireWelcome {
    /// Protocol version.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The agent's incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The backend server.
    #[prost(string, tag = "3")]
    pub server: String,
    /// The agent's failure domain.
    #[prost(string, tag = "4")]
    pub domain: String,
    /// The agent's clock, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub clock_ms: u64,
    /// The nonce that the router's proof must cover.
    #[prost(bytes = "bytes", optional, tag = "26")]
    pub nonce: Option<Bytes>,
    /// The agent's proof.
    #[prost(bytes = "bytes", optional, tag = "27")]
    pub proof: Option<Bytes>,
}

/// The wire form of [`crate::link::ResumeRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireResume {
    /// The attempt's id.
    #[prost(message, optional, tag = "1")]
    pub id: Option<WireRequestId>,
    /// The agent's incarnation.
    #[prost(fixed64, optional, tag = "2")]
    pub agent: Option<u64>,
    /// The organisation.
    #[prost(string, tag = "3")]
    pub organisation: String,
    /// The start deadline of the attempt, in milliseconds of the agent's clock.
    #[prost(uint64, optional, tag = "4")]
    pub start_before_ms: Option<u64>,
    /// The offset in the body of the next chunk.
    #[prost(uint64, tag = "5")]
    pub offset: u64,
    /// The number of the last event received, used instead of the offset if set.
    #[prost(uint64, optional, tag = "6")]
    pub after_event: Option<u64>,
}

/// The wire form of [`crate::link::ResumeNotice`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireResumed {
    /// The offset in the body of the next chunk.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// The answer's head.
    #[prost(message, optional, tag = "2")]
    pub head: Option<WireHead>,
}

/// The wire form of [`crate::link::PongNotice`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WirePong {
    /// The ping's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The agent's clock, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub clock_ms: u64,
}

/// The wire form of [`crate::link::HeaderField`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireHeader {
    /// The name, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// The wire form of [`crate::link::ChatTarget`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireChat {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The adapter, if any.
    #[prost(string, optional, tag = "2")]
    pub adapter: Option<String>,
    /// The chat's key.
    #[prost(string, tag = "3")]
    pub chat: String,
}

/// The wire form of [`crate::link::OpenRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireOpen {
    /// The attempt's id.
    #[prost(message, optional, tag = "1")]
    pub id: Option<WireRequestId>,
    /// The agent's incarnation.
    #[prost(fixed64, tag = "2")]
    pub agent: u64,
    /// The organisation.
    #[prost(string, tag = "3")]
    pub organisation: String,
    /// The priority class.
    #[prost(uint32, tag = "4")]
    pub priority: u32,
    /// The start deadline, in milliseconds of the agent's clock.
    #[prost(uint64, tag = "5")]
    pub start_before_ms: u64,
    /// `true` if the call may run at most once.
    #[prost(bool, tag = "6")]
    pub at_most_once: bool,
    /// The caller's idempotency key.
    #[prost(string, optional, tag = "7")]
    pub idempotency_key: Option<String>,
    /// The chat's target; absent for plain services.
    #[prost(message, optional, tag = "8")]
    pub chat: Option<WireChat>,
    /// The HTTP method.
    #[prost(string, tag = "9")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "10")]
    pub path: String,
    /// End-to-end headers.
    #[prost(message, repeated, tag = "11")]
    pub headers: Vec<WireHeader>,
    /// The body.
    #[prost(bytes = "bytes", tag = "12")]
    pub body: Bytes,
    /// The claim of a call with an idempotency key.
    #[prost(message, optional, tag = "20")]
    pub claim: Option<WireRequestId>,
    /// The organisation's weight.
    #[prost(uint32, tag = "13")]
    pub share: u32,
    /// Maximum expected wait for a slot, in milliseconds.
    #[prost(uint32, tag = "14")]
    pub patience_ms: u32,
    /// `true` if the request may be refused in favour of the server that holds its context.
    #[prost(bool, tag = "15")]
    pub may_redirect: bool,
    /// The router's mean load of the group.
    #[prost(message, optional, tag = "16")]
    pub group_load: Option<WireGroupLoad>,
    /// The number of complete runs in the request's crash record at the time of sending.
    #[prost(uint32, tag = "17")]
    pub cleared: u32,
    /// The number of crashes since the last complete run in that record.
    #[prost(uint32, tag = "18")]
    pub crashes: u32,
}

/// The wire form of [`crate::link::AnswerHead`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireHead {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// End-to-end headers.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<WireHeader>,
}

/// The wire form of [`crate::link::AnswerData`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireData {
    /// The offset of the chunk in the body.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// The chunk.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: Bytes,
}

/// The wire form of [`crate::link::AnswerEnd`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireEnd {
    /// Length of the complete body in bytes.
    #[prost(uint64, tag = "1")]
    pub length: u64,
    /// The cause of the server's failure, if it failed.
    #[prost(string, optional, tag = "2")]
    pub failure: Option<String>,
}
