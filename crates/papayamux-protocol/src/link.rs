//! Messages between a router and an agent.
//!
//! Their wire types are in [`crate::wire`].

use std::time::Duration;

use bytes::Bytes;
use papayamux_state::claims::{
    CallFingerprint, ClaimId, ClaimKey, ClaimQuery, HeldClaim, RunLocation,
};
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
/// Maximum number of answer bytes that an agent may send ahead of the router's acknowledgement.
pub const STREAM_WINDOW_BYTES: u64 = 256 * 1024;
/// Maximum length of a frame.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A time on an agent's monotonic clock, in milliseconds since the agent started.
///
/// A router learns the clock from the agent's welcome and from each pong, and adds only the time
/// that has passed on its own clock since. Its estimate is therefore never ahead of the agent's
/// clock, and a deadline expressed in it is never too late.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AgentClock(pub u64);

impl AgentClock {
    /// Returns the time `later` after this one.
    pub fn after(self, later: Duration) -> Self {
        Self(self.0.saturating_add(later.as_millis() as u64))
    }
}

/// The rule for retrying a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryRule {
    /// The call is idempotent and may run repeatedly.
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

/// The parts of a request that only a model engine needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatTarget {
    /// The requested model.
    pub model: ModelId,
    /// The requested adapter.
    pub adapter: Option<AdapterId>,
    /// The chat's key.
    pub chat: ChatKey,
}

/// A request to the agent's backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct OpenRequest {
    /// The id of the attempt.
    pub id: RequestId,
    /// The incarnation of the agent that the request is addressed to.
    pub agent: Incarnation,
    /// The calling organisation.
    pub organisation: OrganisationId,
    /// The priority class; lower numbers are dispatched first.
    pub priority: u32,
    /// The start deadline of the request, on the agent's clock.
    pub start_before: AgentClock,
    /// The rule for retrying the call.
    pub retry_rule: RetryRule,
    /// The claim that permits a call with an idempotency key to run.
    pub claim: Option<ClaimId>,
    /// The chat's target; `None` for plain services.
    pub chat: Option<ChatTarget>,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<HeaderField>,
    /// The body.
    pub body: Bytes,
    /// The rule for queueing, refusing or redirecting the request if the agent has no free slot.
    pub placement: PlacementRule,
    /// The request's crash record at the time of sending.
    pub sent_after: CrashRecord,
}

impl OpenRequest {
    /// Returns the fingerprint of the request's content.
    pub fn fingerprint(&self) -> RequestFingerprint {
        content_fingerprint(&self.method, &self.path, &self.organisation, &self.body)
    }
}

/// Returns the fingerprint of the content of an organisation's request.
pub fn content_fingerprint(
    method: &str,
    path: &str,
    organisation: &OrganisationId,
    body: &[u8],
) -> RequestFingerprint {
    let organisation = Some(organisation);
    RequestContent { method, host: "", target: path, organisation, body: &[body] }.into()
}

/// The rule by which an agent queues, refuses or redirects a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PlacementRule {
    /// The organisation's weight in the queue; 0 counts as 1.
    pub share: u32,
    /// Maximum expected wait for a slot; the request is refused immediately if it is exceeded.
    pub wait_budget: Duration,
    /// `true` if the agent may refuse because the chat's context is known to be on another server.
    pub may_redirect: bool,
    /// The router's mean load of the group; without it, only the capacity limits admission.
    pub group_load: Option<GroupLoad>,
}

/// A query for an agent's load and for the part of a prompt that its engine has cached.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadProbe {
    /// Hashes of some of the prompt's blocks in prompt order, truncated to 32 bits.
    pub checkpoints: Vec<u32>,
    /// The chat's hash; 0 if the request is not a chat.
    pub chat: u64,
    /// The router's mean load of the group.
    pub group_load: Option<GroupLoad>,
}

/// An agent's answer to a [`LoadProbe`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeReply {
    /// The load.
    pub load: LoadReport,
    /// The number of leading checkpoints that are cached.
    pub warm: u32,
    /// The engine's prefill rate, in tokens per second.
    pub prefill_rate: TokenCount,
    /// The server that the chat was last sent to, if it is another one.
    pub elsewhere: Option<ServerId>,
}

/// A notification to a chat's home that another server has served the chat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MovedChat {
    /// The chat's hash.
    pub chat: u64,
    /// The server that served the chat.
    pub server: ServerId,
}

/// An attempt's claim of an idempotency key, addressed to one witness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The incarnation of the witness that the claim is addressed to.
    pub agent: Incarnation,
    /// The deadline for granting the claim, on the witness's clock.
    pub grant_before: AgentClock,
    /// The claim.
    pub ask: ClaimQuery,
}

/// A witness's answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimReply {
    /// The attempt holds the key.
    Granted,
    /// The claim is refused.
    Refused {
        /// The reason, and when to retry.
        notice: RefusalNotice,
        /// The attempt that holds the key, if any.
        held: Option<HeldClaim>,
    },
}

/// A state change of an attempt that holds a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimNotice {
    /// The key.
    pub key: ClaimKey,
    /// The attempt.
    pub claim: ClaimId,
    /// The state change.
    pub change: ClaimChange,
}

/// A state change of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimChange {
    /// The attempt is being sent to a server.
    Placed(RunLocation),
    /// The attempt provably did not run and never will.
    Released,
}

/// A request to an agent for its answer to the first run of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecallRequest {
    /// The calling organisation.
    pub organisation: OrganisationId,
    /// The key.
    pub key: IdempotencyKey,
    /// The fingerprint of the call.
    pub fingerprint: CallFingerprint,
}

/// A router's first message on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterHello {
    /// The router's protocol version.
    pub version: u32,
    /// The router's incarnation.
    pub incarnation: Incarnation,
    /// The router's failure domain.
    pub domain: FailureDomain,
    /// The nonce that the agent's proof must cover, if the router requires a proof.
    pub nonce: Option<ProofNonce>,
}

/// An agent's answer to [`RouterHello`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentWelcome {
    /// The agent's protocol version.
    pub version: u32,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The agent's backend server.
    pub server: ServerId,
    /// The agent's failure domain.
    pub domain: FailureDomain,
    /// The agent's clock at the time of the answer.
    pub clock: AgentClock,
    /// The nonce that the router's proof must cover, if the agent requires a proof.
    pub nonce: Option<ProofNonce>,
    /// The agent's proof of knowing the fleet's secret.
    pub proof: Option<ProofTag>,
}

/// The position from which to resume an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumePoint {
    /// The offset of the next byte of the body.
    Offset(u64),
    /// The number of the last event received; 0 resumes before the first event.
    AfterEvent(u64),
}

/// A request for the rest of an answer whose stream was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeRequest {
    /// The attempt that the answer belongs to.
    pub id: RequestId,
    /// The incarnation of the agent that the attempt was addressed to, if known.
    pub agent: Option<Incarnation>,
    /// The organisation that the answer belongs to.
    pub organisation: OrganisationId,
    /// The start deadline of the attempt, if known. Until then, an agent that has never seen the
    /// attempt refuses it.
    pub start_before: Option<AgentClock>,
    /// The position from which to resume.
    pub from: ResumePoint,
}

/// The notice that an answer resumes on this stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeNotice {
    /// The offset in the body of the next chunk.
    pub offset: u64,
    /// The answer's head, if it is available already.
    pub head: Option<AnswerHead>,
}

/// An agent's answer to a ping.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PongNotice {
    /// The ping's number.
    pub number: u64,
    /// The agent's clock at the time of the answer.
    pub clock: AgentClock,
}

/// The refusal of a request, which did not run and never will.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalNotice {
    /// The reason.
    pub reason: RefusalReason,
    /// Milliseconds after which a retry may succeed.
    pub retry_after_ms: u32,
    /// A better server to try next, if the agent knows one.
    pub better: Option<ServerId>,
}

impl RefusalNotice {
    /// Creates a refusal that names no better server.
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

/// A chunk of an answer's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerData {
    /// The offset of the chunk in the body.
    pub offset: u64,
    /// The chunk.
    pub bytes: Bytes,
}

/// The completion of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The body is complete and has this number of bytes.
    Complete(u64),
    /// The server failed after it had received the request.
    Failed(String),
}

/// A message from a router about one stream or the connection.
#[derive(Debug, Clone, PartialEq)]
pub enum RouterMessage {
    /// Opens the connection.
    Hello(RouterHello),
    /// Opens a stream with a request.
    Open(Box<OpenRequest>),
    /// Acknowledges that the caller has received the answer up to this offset.
    Acknowledge(u64),
    /// Cancels the request because the caller has disconnected.
    Cancel,
    /// Requests an [`AgentMessage::Pong`] with the same number.
    Ping(u64),
    /// Opens a stream to resume an answer.
    Resume(Box<ResumeRequest>),
    /// The router's proof of knowing the fleet's secret.
    Prove(ProofTag),
    /// Confirms receipt of the complete answer; the agent need not keep it for this router.
    Received,
    /// Answers the agent's ping of this number.
    Pong(u64),
    /// Claims a key.
    Claim(ClaimRequest),
    /// Reports a state change of an attempt that claimed a key.
    ClaimNotice(ClaimNotice),
    /// Requests the answer of an earlier run.
    Recall(RecallRequest),
    /// Requests an [`AgentMessage::Probed`] on the same stream.
    Probe(LoadProbe),
    /// Reports that another server has served a chat.
    Moved(MovedChat),
    /// Requests an [`AgentMessage::Serving`]; sent by other agents.
    AskServing(ServingQuery),
}

/// A message from an agent about one stream or the connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentMessage {
    /// Answers [`RouterMessage::Hello`].
    Welcome(AgentWelcome),
    /// Refuses the stream's request, which did not run.
    Refused(RefusalNotice),
    /// Status and headers of the answer.
    Head(AnswerHead),
    /// A chunk of the answer.
    Data(AnswerData),
    /// The completion of the answer.
    End(AnswerEnd),
    /// Answers [`RouterMessage::Ping`].
    Pong(PongNotice),
    /// The agent is draining and accepts no new requests on this connection.
    Leaving,
    /// Answers [`RouterMessage::Resume`] if the answer resumes.
    Resumed(ResumeNotice),
    /// Answers [`RouterMessage::Resume`] if the agent does not hold the answer.
    NotHeld,
    /// Requests a [`RouterMessage::Pong`] with the same number.
    Ping(u64),
    /// Answers [`RouterMessage::Claim`].
    Claim(ClaimReply),
    /// The current load, sent unprompted along with other messages.
    Load(LoadReport),
    /// Answers [`RouterMessage::Probe`].
    Probed(ProbeReply),
    /// Answers [`RouterMessage::AskServing`].
    Serving(ServingAnswer),
    /// Records of requests under which servers crashed, sent unprompted.
    Crashes(Vec<CrashNotice>),
}

/// A message with the stream it belongs to; stream 0 is the connection itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addressed<M> {
    /// The stream.
    pub stream: u64,
    /// The message.
    pub message: M,
}
