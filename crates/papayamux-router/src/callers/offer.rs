//! Offers a request to one server after another until one accepts it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use papayamux_coordination::server_evidence::EvidenceKind;
use papayamux_protocol::failure::{FailureBody, FailureCode, FailureOutcome};
use papayamux_protocol::link::{
    content_fingerprint, AgentClock, AnswerHead, ChatTarget, HeaderField, OpenRequest,
    RefusalNotice, RetryRule,
};
use papayamux_state::claims::RunLocation;
use papayamux_state::crash_record::CrashRecord;
use papayamux_state::ids::{OrganisationId, RequestId, ServerId};
use papayamux_state::refusal::RefusalReason;
use papayamux_state::request_fingerprint::RequestFingerprint;

use super::CallerFrontend;
use crate::agents::{AgentLink, RequestQuarantine, StreamEvent, StreamHandle};
use crate::claims::ClaimAttempt;
use crate::routing::{OccupiedSlot, RouteCandidate, RoutePlan};

/// A request as it is offered to servers.
#[derive(Debug, Clone)]
pub struct RequestOffer {
    /// The calling organisation.
    pub organisation: OrganisationId,
    /// The rule for retries of the call.
    pub retry_rule: RetryRule,
    /// The claim under which a call with an idempotency key may run.
    pub claim: Option<Rc<ClaimAttempt>>,
    /// The chat's model, adapter and key; `None` for calls to plain services.
    pub chat: Option<ChatTarget>,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<HeaderField>,
    /// The body.
    pub body: Bytes,
}

impl RequestOffer {
    fn fingerprint(&self) -> RequestFingerprint {
        content_fingerprint(&self.method, &self.path, &self.organisation, &self.body)
    }

    /// Returns the time for which the request stays quarantined because servers crashed under it.
    fn quarantine_left(&self, quarantine: &RequestQuarantine) -> Option<Duration> {
        match quarantine.is_empty() {
            true => None,
            false => quarantine.quarantine_left(self.fingerprint()),
        }
    }

    /// Records an attempt and returns the crashes under the request so far.
    fn begin_attempt(&self, quarantine: &RequestQuarantine) -> CrashRecord {
        match quarantine.is_empty() {
            true => CrashRecord::default(),
            false => quarantine.begin_attempt(self.fingerprint()),
        }
    }

    /// Returns the deadline for the start of the request, on the agent's clock. Returns `None` if
    /// it has passed.
    fn start_before(&self, link: &AgentLink, within: Duration) -> Option<AgentClock> {
        match &self.claim {
            Some(attempt) => attempt.deadline(link, within),
            None => Some(link.agent_clock().after(within)),
        }
    }
}

/// A request that a server has accepted, with the head of its answer.
pub struct AcceptedRequest {
    /// The attempt's id.
    pub id: RequestId,
    /// The server.
    pub server: ServerId,
    /// The answer's head.
    pub head: AnswerHead,
    /// The rest of the answer.
    pub stream: StreamHandle,
    /// Counts the request as one of this router's at the server; `None` if this router didn't offer
    /// it.
    pub slot: Option<OccupiedSlot>,
}

/// The outcome of offering a request to one server.
enum OfferOutcome {
    Accepted(Box<AcceptedRequest>),
    NotRun(RefusalNotice),
    Unknown,
}

const UNREACHABLE: RefusalNotice = RefusalNotice::new(RefusalReason::NoAgentReachable, 1_000);

/// Offers a request to the servers of `plan`.
///
/// A refused request is offered to the next server if the reason of the refusal permits. After an
/// unknown outcome, the request must be idempotent and the retry budget must not be used up; the
/// outcome stays unknown even if all later servers refuse.
pub async fn offer_request(
    frontend: &CallerFrontend,
    offer: &RequestOffer,
    mut plan: RoutePlan,
) -> Result<AcceptedRequest, FailureBody> {
    let mut refusal = UNREACHABLE;
    let mut may_have_run = false;
    let mut named = None;
    let organisation = frontend.settings.organisation(&offer.organisation);
    plan = plan.with_share(organisation.share).with_offers(frontend.settings.most_offers);
    frontend.planner.retries().record_request();
    let quarantine = &frontend.directory.updates().quarantine;
    while let Some(candidate) = plan.next(named.as_ref()) {
        named = None;
        // Servers crashed under this request before, so each further offer could crash another.
        if let Some(left) = offer.quarantine_left(quarantine) {
            let left = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            log::info!(fingerprint:% = offer.fingerprint(), held_ms = left; "request is held");
            refusal = RefusalNotice::new(RefusalReason::Quarantined, left);
            frontend.metrics.refusals.count(refusal.reason.label());
            break;
        }
        let server = candidate.record.entry.server.clone();
        match offer_to(frontend, offer, &candidate).await {
            OfferOutcome::Accepted(accepted) => {
                frontend.planner.record_answer(&server);
                frontend.planner.loads().record_accepted(&server);
                plan.record_accepted(&server);
                return Ok(*accepted);
            }
            OfferOutcome::NotRun(notice) => {
                if let Some(kind) = evidence_of(notice.reason) {
                    frontend.planner.record_evidence(&server, kind);
                }
                frontend.metrics.refusals.count(notice.reason.label());
                refusal = notice;
                if !refusal.reason.may_try_elsewhere() {
                    break;
                }
                frontend.metrics.retries.count(refusal.reason.label());
                named.clone_from(&refusal.better);
            }
            OfferOutcome::Unknown => {
                frontend.planner.record_evidence(&server, EvidenceKind::Unreachable);
                may_have_run = true;
                if offer.retry_rule != RetryRule::Idempotent {
                    break;
                }
                if !frontend.planner.retries().take_retry() {
                    frontend.metrics.retries_denied.count("connection_lost");
                    break;
                }
                frontend.metrics.retries.count("connection_lost");
            }
        }
    }
    Err(match may_have_run {
        true => lost(&offer.retry_rule),
        false => refused(&refusal),
    })
}

/// Offers a request to one server, and retries once if the connection was lost before the request
/// arrived.
async fn offer_to(
    frontend: &CallerFrontend,
    offer: &RequestOffer,
    candidate: &RouteCandidate,
) -> OfferOutcome {
    match attempt_at(frontend, offer, candidate).await {
        OfferOutcome::NotRun(notice) if notice.reason == RefusalReason::NeverArrived => {
            frontend.metrics.retries.count(notice.reason.label());
            attempt_at(frontend, offer, candidate).await
        }
        outcome => outcome,
    }
}

async fn attempt_at(
    frontend: &CallerFrontend,
    offer: &RequestOffer,
    candidate: &RouteCandidate,
) -> OfferOutcome {
    let peer = &candidate.record.peer;
    let Ok(link) = peer.link().await else {
        return OfferOutcome::NotRun(UNREACHABLE);
    };
    if link.is_draining() {
        return OfferOutcome::NotRun(RefusalNotice::new(RefusalReason::Leaving, 0));
    }
    let Some(start_before) = offer.start_before(&link, frontend.settings.start_within) else {
        return OfferOutcome::NotRun(RefusalNotice::new(RefusalReason::DeadlinePassed, 0));
    };
    let id = frontend.request_ids.generate();
    let open = OpenRequest {
        id,
        agent: link.welcome().incarnation,
        organisation: offer.organisation.clone(),
        priority: frontend.settings.organisation(&offer.organisation).priority,
        start_before,
        retry_rule: offer.retry_rule.clone(),
        claim: offer.claim.as_ref().map(|attempt| attempt.claim()),
        chat: offer.chat.clone(),
        method: offer.method.clone(),
        path: offer.path.clone(),
        headers: offer.headers.clone(),
        body: offer.body.clone(),
        placement: candidate.placement,
        sent_after: offer.begin_attempt(&frontend.directory.updates().quarantine),
    };
    if let Some(attempt) = &offer.claim {
        attempt.place(RunLocation { server: peer.server().clone(), agent: peer.address() });
    }
    let slot = Some(frontend.planner.loads().occupy_slot(peer.server()));
    let Some(mut stream) = link.open_stream(open) else {
        return OfferOutcome::NotRun(UNREACHABLE);
    };
    match stream.next_event().await {
        StreamEvent::Refused(notice) => {
            frontend.metrics.refused_request_bytes.inc_by(offer.body.len() as u64);
            OfferOutcome::NotRun(notice)
        }
        StreamEvent::Head(head) => {
            let server = peer.server().clone();
            OfferOutcome::Accepted(Box::new(AcceptedRequest { id, server, head, stream, slot }))
        }
        StreamEvent::Data(_) | StreamEvent::End(_) | StreamEvent::NotHeld | StreamEvent::Lost => {
            OfferOutcome::Unknown
        }
    }
}

/// Returns the failure evidence that a refusal gives against the server.
fn evidence_of(reason: RefusalReason) -> Option<EvidenceKind> {
    match reason {
        RefusalReason::NoAgentReachable => Some(EvidenceKind::Unreachable),
        RefusalReason::ServerUnreachable => Some(EvidenceKind::ServerDown),
        RefusalReason::Leaving => Some(EvidenceKind::Draining),
        _ => None,
    }
}

fn refused(notice: &RefusalNotice) -> FailureBody {
    let message = format!("no server took the request: {}", notice.reason);
    FailureBody::not_run(FailureCode::Refused, message)
        .with_reason(notice.reason)
        .retry_after(notice.retry_after_ms.div_ceil(1_000).max(1))
}

fn lost(retry_rule: &RetryRule) -> FailureBody {
    let message = match retry_rule {
        RetryRule::Idempotent => "the connection to the server was lost",
        RetryRule::AtMostOnce(_) => "the connection to the server was lost; it may have run",
    };
    FailureBody::new(FailureCode::ConnectionLost, FailureOutcome::Unknown, message)
}
