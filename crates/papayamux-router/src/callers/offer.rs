//! Offering a request to one server after the other until one takes it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use papayamux_coordination::server_evidence::EvidenceKind;
use papayamux_protocol::failure::{FailureBody, FailureCode, FailureOutcome};
use papayamux_protocol::link::{
    content_fingerprint, AgentClock, AnswerHead, ChatTarget, HeaderField, OpenRequest,
    RefusalNotice, RetryRule,
};
use papayamux_state::claims::RunPlace;
use papayamux_state::crash_record::CrashRecord;
use papayamux_state::ids::{OrganisationId, RequestId, ServerId};
use papayamux_state::refusal::RefusalReason;
use papayamux_state::request_fingerprint::RequestFingerprint;

use super::CallerDesk;
use crate::agents::{AgentLink, RequestQuarantine, StreamEvent, StreamHandle};
use crate::claims::ClaimHold;
use crate::routing::{OccupiedPlace, RouteCandidate, RoutePlan};

/// What is offered.
#[derive(Debug, Clone)]
pub struct RequestOffer {
    /// Who calls.
    pub organisation: OrganisationId,
    /// How the call may be repeated.
    pub repeat: RetryRule,
    /// The claim under which a call with a key may run.
    pub claim: Option<Rc<ClaimHold>>,
    /// Set for chats.
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

    /// How long the request is still to be kept from servers, since others have ended under it.
    fn hold_left(&self, quarantine: &RequestQuarantine) -> Option<Duration> {
        match quarantine.is_empty() {
            true => None,
            false => quarantine.hold_left(self.fingerprint()),
        }
    }

    /// The crashes that the request is sent after.
    fn begin_attempt(&self, quarantine: &RequestQuarantine) -> CrashRecord {
        match quarantine.is_empty() {
            true => CrashRecord::default(),
            false => quarantine.begin_attempt(self.fingerprint()),
        }
    }

    /// The time on the agent's clock before which the request must start; none where it is past.
    fn start_before(&self, link: &AgentLink, within: Duration) -> Option<AgentClock> {
        match &self.claim {
            Some(hold) => hold.deadline(link, within),
            None => Some(link.agent_clock().after(within)),
        }
    }
}

/// A request that a server has taken, with the head of its answer.
pub struct TakenRequest {
    /// The attempt's id.
    pub id: RequestId,
    /// The server.
    pub server: ServerId,
    /// The answer's head.
    pub head: AnswerHead,
    /// The rest of the answer.
    pub stream: StreamHandle,
    /// Its place in the router's count of requests at the server, where the router offered it.
    pub place: Option<OccupiedPlace>,
}

/// What came of offering a request to one server.
enum OfferOutcome {
    Taken(Box<TakenRequest>),
    NotRun(RefusalNotice),
    Unknown,
}

const UNREACHABLE: RefusalNotice = RefusalNotice::new(RefusalReason::NoAgentReachable, 1_000);

/// Offers a request to the servers of `plan`.
///
/// After a refusal the next server is asked. After an unknown outcome it is asked only where the
/// request is idempotent, and no later refusal makes the outcome known again.
pub async fn offer_request(
    desk: &CallerDesk,
    offer: &RequestOffer,
    mut plan: RoutePlan,
) -> Result<TakenRequest, FailureBody> {
    let mut refusal = UNREACHABLE;
    let mut may_have_run = false;
    let mut named = None;
    let organisation = desk.settings.organisation(&offer.organisation);
    plan = plan.with_share(organisation.share).with_offers(desk.settings.most_offers);
    desk.planner.retries().note_request();
    let quarantine = &desk.directory.news().quarantine;
    while let Some(candidate) = plan.next(named.as_ref()) {
        named = None;
        // Each offer would end one more server, as those before it did.
        if let Some(left) = offer.hold_left(quarantine) {
            let left = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            log::info!(fingerprint:% = offer.fingerprint(), held_ms = left; "request is held");
            refusal = RefusalNotice::new(RefusalReason::Quarantined, left);
            desk.metrics.refusals.count(refusal.reason.label());
            break;
        }
        let server = candidate.record.entry.server.clone();
        match offer_to(desk, offer, &candidate).await {
            OfferOutcome::Taken(taken) => {
                desk.planner.note_answer(&server);
                desk.planner.loads().note_taken(&server);
                plan.note_taken(&server);
                return Ok(*taken);
            }
            OfferOutcome::NotRun(notice) => {
                if let Some(kind) = evidence_of(notice.reason) {
                    desk.planner.note_evidence(&server, kind);
                }
                desk.metrics.refusals.count(notice.reason.label());
                refusal = notice;
                if !refusal.reason.may_ask_elsewhere() {
                    break;
                }
                desk.metrics.retries.count(refusal.reason.label());
                named.clone_from(&refusal.better);
            }
            OfferOutcome::Unknown => {
                desk.planner.note_evidence(&server, EvidenceKind::Unreachable);
                may_have_run = true;
                if offer.repeat != RetryRule::Idempotent {
                    break;
                }
                if !desk.planner.retries().take_retry() {
                    desk.metrics.retries_denied.count("connection_lost");
                    break;
                }
                desk.metrics.retries.count("connection_lost");
            }
        }
    }
    Err(match may_have_run {
        true => lost(&offer.repeat),
        false => refused(&refusal),
    })
}

/// Offers a request to one server, once more where the connection was lost before it arrived.
async fn offer_to(
    desk: &CallerDesk,
    offer: &RequestOffer,
    candidate: &RouteCandidate,
) -> OfferOutcome {
    match attempt_at(desk, offer, candidate).await {
        OfferOutcome::NotRun(notice) if notice.reason == RefusalReason::NeverArrived => {
            desk.metrics.retries.count(notice.reason.label());
            attempt_at(desk, offer, candidate).await
        }
        outcome => outcome,
    }
}

async fn attempt_at(
    desk: &CallerDesk,
    offer: &RequestOffer,
    candidate: &RouteCandidate,
) -> OfferOutcome {
    let peer = &candidate.record.peer;
    let Ok(link) = peer.link().await else {
        return OfferOutcome::NotRun(UNREACHABLE);
    };
    if link.is_leaving() {
        return OfferOutcome::NotRun(RefusalNotice::new(RefusalReason::Leaving, 0));
    }
    let Some(start_before) = offer.start_before(&link, desk.settings.start_within) else {
        return OfferOutcome::NotRun(RefusalNotice::new(RefusalReason::DeadlinePassed, 0));
    };
    let id = desk.request_ids.draw();
    let open = OpenRequest {
        id,
        agent: link.welcome().incarnation,
        organisation: offer.organisation.clone(),
        priority: desk.settings.organisation(&offer.organisation).priority,
        start_before,
        repeat: offer.repeat.clone(),
        claim: offer.claim.as_ref().map(|hold| hold.claim()),
        chat: offer.chat.clone(),
        method: offer.method.clone(),
        path: offer.path.clone(),
        headers: offer.headers.clone(),
        body: offer.body.clone(),
        placement: candidate.placement,
        sent_after: offer.begin_attempt(&desk.directory.news().quarantine),
    };
    if let Some(hold) = &offer.claim {
        hold.place(RunPlace { server: peer.server().clone(), agent: peer.address() });
    }
    let place = Some(desk.planner.loads().occupy(peer.server()));
    let Some(mut stream) = link.open_stream(open) else {
        return OfferOutcome::NotRun(UNREACHABLE);
    };
    match stream.next_event().await {
        StreamEvent::Refused(notice) => {
            desk.metrics.refused_request_bytes.inc_by(offer.body.len() as u64);
            OfferOutcome::NotRun(notice)
        }
        StreamEvent::Head(head) => {
            let server = peer.server().clone();
            OfferOutcome::Taken(Box::new(TakenRequest { id, server, head, stream, place }))
        }
        StreamEvent::Data(_) | StreamEvent::End(_) | StreamEvent::NotHeld | StreamEvent::Lost => {
            OfferOutcome::Unknown
        }
    }
}

/// What a refusal says of the server that refused.
fn evidence_of(reason: RefusalReason) -> Option<EvidenceKind> {
    match reason {
        RefusalReason::NoAgentReachable => Some(EvidenceKind::Unreachable),
        RefusalReason::ServerUnreachable => Some(EvidenceKind::ServerDown),
        RefusalReason::Leaving => Some(EvidenceKind::Leaving),
        _ => None,
    }
}

fn refused(notice: &RefusalNotice) -> FailureBody {
    let message = format!("no server took the request: {}", notice.reason);
    FailureBody::not_run(FailureCode::Refused, message)
        .with_reason(notice.reason)
        .retry_after(notice.retry_after_ms.div_ceil(1_000).max(1))
}

fn lost(repeat: &RetryRule) -> FailureBody {
    let message = match repeat {
        RetryRule::Idempotent => "the connection to the server was lost",
        RetryRule::AtMostOnce(_) => "the connection to the server was lost; it may have run",
    };
    FailureBody::new(FailureCode::ConnectionLost, FailureOutcome::Unknown, message)
}
