//! What a router and an agent say to each other, as the code uses it.
//!
//! The wire's own types are in [`crate::wire`].

use std::time::Duration;

use bytes::Bytes;
use papayamux_state::claims::{CallFingerprint, ClaimAsk, ClaimId, ClaimKey, HeldClaim, RunPlace};
use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::ids::{
    AdapterId, ChatKey, FailureDomain, IdempotencyKey, Incarnation, ModelId, OrganisationId,
    RequestId, ServerId,
};
use papayamux_state::load::{GroupLoad, LoadReport};
use papayamux_state::quantities::TokenCount;
use papayamux_state::refusal::RefusalReason;
use papayamux_state::request_fingerprint::{RequestContent, RequestFingerprint};

use crate::proof::{ProofNonce, ProofTag};
use crate::serving::{ServingAnswer, ServingQuery};

/// Version of the protocol between papayamux processes.
pub const PROTOCOL_VERSION: u32 = 1;
/// Bytes of an answer that an agent may send ahead of the router's acknowledgement.
pub const STREAM_WINDOW_BYTES: u64 = 256 * 1024;
/// The longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A time on an agent's monotonic clock, in milliseconds since the agent started.
///
/// A router learns the clock from the agent's welcome and from each pong. What it adds is only
/// time that has passed on its own clock since, so that its estimate is never ahead of the
/// agent's clock and a deadline given in it is never late.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AgentClock(pub u64);

impl AgentClock {
    /// The time `later` after this one.
    pub fn after(self, later: Duration) -> Self {
        Self(self.0.saturating_add(later.as_millis() as u64))
    }
}

/// How a call may be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RepeatRule {
    /// The call is idempotent and may be run again.
    Idempotent,
    /// The call may run at most once.
    AtMostOnce(Option<IdempotencyKey>),
}

/// One header of a request or an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderField {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: Bytes,
}

/// What of a request only a model engine needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatTarget {
    /// The model asked for.
    pub model: ModelId,
    /// The adapter asked for.
    pub adapter: Option<AdapterId>,
    /// The chat's key.
    pub chat: ChatKey,
}

/// A request for the agent's backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct OpenRequest {
    /// The attempt's id.
    pub id: RequestId,
    /// The life of the agent that the request is meant for.
    pub agent: Incarnation,
    /// The organisation that calls.
    pub organisation: OrganisationId,
    /// The priority class; a lower number goes first.
    pub priority: u32,
    /// The request may start only before this time on the agent's own clock.
    pub start_before: AgentClock,
    /// How the call may be repeated.
    pub repeat: RepeatRule,
    /// The claim under which a call with a key may run.
    pub claim: Option<ClaimId>,
    /// Set for chats, absent for plain services.
    pub chat: Option<ChatTarget>,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<HeaderField>,
    /// The body.
    pub body: Bytes,
    /// What the agent may do with the request where it has no place for it.
    pub placement: PlacementRule,
    /// The crashes that the request is sent after.
    pub sent_after: CrashRecord,
}

impl OpenRequest {
    /// What names the request's content.
    pub fn fingerprint(&self) -> RequestFingerprint {
        content_fingerprint(&self.method, &self.path, &self.organisation, &self.body)
    }
}

/// What names the content of an organisation's request.
pub fn content_fingerprint(
    method: &str,
    path: &str,
    organisation: &OrganisationId,
    body: &[u8],
) -> RequestFingerprint {
    let organisation = Some(organisation);
    RequestContent { method, host: "", target: path, organisation, body }.into()
}

/// What an agent needs to know to place a request among others.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PlacementRule {
    /// The organisation's weight among those that wait; 0 counts as 1.
    pub share: u32,
    /// How long the request may be expected to wait for a place; it is refused at once where the
    /// wait would be longer.
    pub wait_budget: Duration,
    /// Whether the agent may refuse because it knows that the chat's context is elsewhere.
    pub may_redirect: bool,
    /// The mean load that the router knows of; without it there is no bound but the capacity.
    pub group_load: Option<GroupLoad>,
}

/// A question for an agent's load and for what its engine's cache holds of a prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadProbe {
    /// Hashes of some of the prompt's blocks, the first block's first, cut to 32 bits.
    pub checkpoints: Vec<u32>,
    /// The chat, as a hash; 0 where the request is no chat.
    pub chat: u64,
    /// The mean load that the router knows of.
    pub group_load: Option<GroupLoad>,
}

/// An agent's answer to a [`LoadProbe`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeReply {
    /// The load.
    pub load: LoadReport,
    /// How many of the leading checkpoints are cached.
    pub warm: u32,
    /// Prompt tokens that the engine computes in a second.
    pub prefill_rate: TokenCount,
    /// Where the chat was sent last, when that was not here.
    pub elsewhere: Option<ServerId>,
}

/// Tells a chat's home that the chat was served elsewhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MovedChat {
    /// The chat, as a hash.
    pub chat: u64,
    /// Where it was served.
    pub server: ServerId,
}

/// An attempt's claim of a key, for one witness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The life of the witness that the claim is meant for.
    pub agent: Incarnation,
    /// The claim may be granted only before this time on the witness's own clock.
    pub grant_before: AgentClock,
    /// What is claimed.
    pub ask: ClaimAsk,
}

/// A witness's answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimReply {
    /// The key is the attempt's.
    Granted,
    /// It is not.
    Refused {
        /// Why, and when to ask again.
        notice: RefusalNotice,
        /// The attempt that holds the key, where one does.
        held: Option<HeldClaim>,
    },
}

/// News of an attempt that holds a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimNotice {
    /// The key.
    pub key: ClaimKey,
    /// The attempt.
    pub claim: ClaimId,
    /// What became of it.
    pub change: ClaimChange,
}

/// What became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimChange {
    /// It is being brought to a server.
    Placed(RunPlace),
    /// It was not run, which is proved, and never will be.
    Released,
}

/// Asks an agent for the answer that it gave to the first run of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecallRequest {
    /// The organisation that calls.
    pub organisation: OrganisationId,
    /// The key.
    pub key: IdempotencyKey,
    /// The call.
    pub fingerprint: CallFingerprint,
}

/// The opening of a connection by a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterHello {
    /// Protocol version the router speaks.
    pub version: u32,
    /// The router's life.
    pub incarnation: Incarnation,
    /// The router's failure domain.
    pub domain: FailureDomain,
    /// What the agent's proof has to cover, where the router asks for one.
    pub nonce: Option<ProofNonce>,
}

/// An agent's answer to [`RouterHello`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentWelcome {
    /// Protocol version the agent speaks.
    pub version: u32,
    /// The agent's life.
    pub incarnation: Incarnation,
    /// The backend server it stands beside.
    pub server: ServerId,
    /// The agent's failure domain.
    pub domain: FailureDomain,
    /// The agent's clock when it answered.
    pub clock: AgentClock,
    /// What the router's proof has to cover, where the agent asks for one.
    pub nonce: Option<ProofNonce>,
    /// The agent's proof that it knows the fleet's secret.
    pub proof: Option<ProofTag>,
}

/// Where an answer is to go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumePoint {
    /// At this byte of the body.
    Offset(u64),
    /// After the event with this number; 0 is before the first.
    AfterEvent(u64),
}

/// Asks for the rest of an answer whose stream was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeRequest {
    /// The attempt that the answer belongs to.
    pub id: RequestId,
    /// The life of the agent that the attempt was meant for, where it is known.
    pub agent: Option<Incarnation>,
    /// The organisation that the answer belongs to.
    pub organisation: OrganisationId,
    /// The attempt's own deadline to start, where it is known: an agent that has never seen the
    /// attempt refuses it until then.
    pub start_before: Option<AgentClock>,
    /// Where to go on.
    pub from: ResumePoint,
}

/// An answer goes on on this stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeNotice {
    /// Bytes of the body before the next piece.
    pub offset: u64,
    /// The answer's head, where it is there already.
    pub head: Option<AnswerHead>,
}

/// An agent's answer to a ping.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PongNotice {
    /// The ping's number.
    pub number: u64,
    /// The agent's clock when it answered.
    pub clock: AgentClock,
}

/// A refusal: the request was not run and won't be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalNotice {
    /// Why.
    pub reason: RefusalReason,
    /// Milliseconds after which it may be worth asking again.
    pub retry_after_ms: u32,
    /// The server to ask next, where the agent knows a better one.
    pub better: Option<ServerId>,
}

impl RefusalNotice {
    /// A refusal that names no better server.
    pub const fn new(reason: RefusalReason, retry_after_ms: u32) -> Self {
        Self { reason, retry_after_ms, better: None }
    }
}

/// Status and headers of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<HeaderField>,
}

/// A piece of an answer's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerData {
    /// Bytes of the body before this piece.
    pub offset: u64,
    /// The piece.
    pub bytes: Bytes,
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The body is whole and has this many bytes.
    Whole(u64),
    /// The server failed after the request was given to it.
    Failed(String),
}

/// What a router says about one stream, or about the connection.
#[derive(Debug, Clone, PartialEq)]
pub enum RouterMessage {
    /// Opens the connection.
    Hello(RouterHello),
    /// Opens a stream with a request.
    Open(Box<OpenRequest>),
    /// The caller has taken the answer up to this offset.
    Acknowledge(u64),
    /// The caller has gone.
    Cancel,
    /// Asks for a [`AgentMessage::Pong`] with the same number.
    Ping(u64),
    /// Opens a stream with the rest of an answer.
    Resume(Box<ResumeRequest>),
    /// Proves that the router knows the fleet's secret.
    Prove(ProofTag),
    /// The answer has arrived to its end; the agent need not keep it for this router.
    Received,
    /// Answers the agent's ping of this number.
    Pong(u64),
    /// Claims a key.
    Claim(ClaimRequest),
    /// Says what became of an attempt that claimed a key.
    ClaimNotice(ClaimNotice),
    /// Asks for the answer of an earlier run.
    Recall(RecallRequest),
    /// Asks for a [`AgentMessage::Probed`] on the same stream.
    Probe(LoadProbe),
    /// A chat was served elsewhere.
    Moved(MovedChat),
    /// Another agent asks for an [`AgentMessage::Serving`].
    AskServing(ServingQuery),
}

/// What an agent says about one stream, or about the connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentMessage {
    /// Answers the hello.
    Welcome(AgentWelcome),
    /// The stream's request was not run.
    Refused(RefusalNotice),
    /// The answer's head.
    Head(AnswerHead),
    /// A piece of the answer.
    Data(AnswerData),
    /// The answer's end.
    End(AnswerEnd),
    /// Answers a ping.
    Pong(PongNotice),
    /// The agent takes no new work on this connection.
    Leaving,
    /// Answers [`RouterMessage::Resume`] where the answer goes on.
    Resumed(ResumeNotice),
    /// Answers [`RouterMessage::Resume`] where the agent does not hold what was asked for.
    NotHeld,
    /// Asks for a [`RouterMessage::Pong`] with the same number.
    Ping(u64),
    /// Answers a claim.
    Claim(ClaimReply),
    /// The load, told unasked beside other messages.
    Load(LoadReport),
    /// Answers a probe.
    Probed(ProbeReply),
    /// Answers [`RouterMessage::AskServing`].
    Serving(ServingAnswer),
    /// Requests under which servers ended, told unasked.
    Crashes(Vec<CrashNotice>),
}

/// A message of either side with the stream it belongs to; stream 0 is the connection itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addressed<M> {
    /// The stream.
    pub stream: u64,
    /// The message.
    pub message: M,
}
