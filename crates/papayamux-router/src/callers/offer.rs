//! Offering a request to one server after the other until one takes it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use papayamux_protocol::failure::{FailureBody, FailureCode, FailureOutcome};
use papayamux_protocol::link::{
    AgentClock, AnswerHead, ChatTarget, HeaderField, OpenRequest, RefusalNotice, RepeatRule,
};
use papayamux_state::claims::RunPlace;
use papayamux_state::ids::{OrganisationId, RequestId, ServerId};
use papayamux_state::refusal::RefusalReason;

use super::CallerDesk;
use crate::agents::{AgentLink, AgentPeer, StreamEvent, StreamHandle};
use crate::claims::ClaimHold;

/// What is offered.
#[derive(Debug, Clone)]
pub struct RequestOffer {
    /// Who calls.
    pub organisation: OrganisationId,
    /// How the call may be repeated.
    pub repeat: RepeatRule,
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
}

/// What came of offering a request to one server.
enum OfferOutcome {
    Taken(Box<TakenRequest>),
    NotRun(RefusalNotice),
    Unknown,
}

const UNREACHABLE: RefusalNotice =
    RefusalNotice { reason: RefusalReason::NoAgentReachable, retry_after_ms: 1_000 };

/// Offers a request to `peers` in their order.
///
/// After a refusal the next server is asked. After an unknown outcome it is asked only where the
/// request is idempotent, and no later refusal makes the outcome known again.
pub async fn offer_request(
    desk: &CallerDesk,
    offer: &RequestOffer,
    peers: &[Rc<AgentPeer>],
) -> Result<TakenRequest, FailureBody> {
    let mut refusal = UNREACHABLE;
    let mut may_have_run = false;
    for peer in peers.iter().take(desk.settings.most_offers) {
        match offer_to(desk, offer, peer).await {
            OfferOutcome::Taken(taken) => return Ok(*taken),
            OfferOutcome::NotRun(notice) => {
                desk.metrics.refusals.count(notice.reason.label());
                refusal = notice;
                if !notice.reason.may_ask_elsewhere() {
                    break;
                }
                desk.metrics.retries.count(notice.reason.label());
            }
            OfferOutcome::Unknown => {
                may_have_run = true;
                if offer.repeat != RepeatRule::Idempotent {
                    break;
                }
                desk.metrics.retries.count("connection_lost");
            }
        }
    }
    Err(match may_have_run {
        true => lost(&offer.repeat),
        false => refused(refusal),
    })
}

/// Offers a request to one server, once more where the connection was lost before it arrived.
async fn offer_to(desk: &CallerDesk, offer: &RequestOffer, peer: &AgentPeer) -> OfferOutcome {
    match attempt_at(desk, offer, peer).await {
        OfferOutcome::NotRun(notice) if notice.reason == RefusalReason::NeverArrived => {
            desk.metrics.retries.count(notice.reason.label());
            attempt_at(desk, offer, peer).await
        }
        outcome => outcome,
    }
}

async fn attempt_at(desk: &CallerDesk, offer: &RequestOffer, peer: &AgentPeer) -> OfferOutcome {
    let Ok(link) = peer.link().await else {
        return OfferOutcome::NotRun(UNREACHABLE);
    };
    if link.is_leaving() {
        let reason = RefusalReason::Leaving;
        return OfferOutcome::NotRun(RefusalNotice { reason, retry_after_ms: 0 });
    }
    let Some(start_before) = offer.start_before(&link, desk.settings.start_within) else {
        let reason = RefusalReason::DeadlinePassed;
        return OfferOutcome::NotRun(RefusalNotice { reason, retry_after_ms: 0 });
    };
    let id = desk.request_ids.draw();
    let open = OpenRequest {
        id,
        agent: link.welcome().incarnation,
        organisation: offer.organisation.clone(),
        priority: 0,
        start_before,
        repeat: offer.repeat.clone(),
        claim: offer.claim.as_ref().map(|hold| hold.claim()),
        chat: offer.chat.clone(),
        method: offer.method.clone(),
        path: offer.path.clone(),
        headers: offer.headers.clone(),
        body: offer.body.clone(),
    };
    if let Some(hold) = &offer.claim {
        hold.place(RunPlace { server: peer.server().clone(), agent: peer.address() });
    }
    let Some(mut stream) = link.open_stream(open) else {
        return OfferOutcome::NotRun(UNREACHABLE);
    };
    match stream.next_event().await {
        StreamEvent::Refused(notice) => OfferOutcome::NotRun(notice),
        StreamEvent::Head(head) => {
            let server = peer.server().clone();
            OfferOutcome::Taken(Box::new(TakenRequest { id, server, head, stream }))
        }
        StreamEvent::Data(_) | StreamEvent::End(_) | StreamEvent::NotHeld | StreamEvent::Lost => {
            OfferOutcome::Unknown
        }
    }
}

fn refused(notice: RefusalNotice) -> FailureBody {
    let message = format!("no server took the request: {}", notice.reason);
    FailureBody::not_run(FailureCode::Refused, message)
        .because(notice.reason)
        .retry_after(notice.retry_after_ms.div_ceil(1_000).max(1))
}

fn lost(repeat: &RepeatRule) -> FailureBody {
    let message = match repeat {
        RepeatRule::Idempotent => "the connection to the server was lost",
        RepeatRule::AtMostOnce(_) => "the connection to the server was lost; it may have run",
    };
    FailureBody::new(FailureCode::ConnectionLost, FailureOutcome::Unknown, message)
}
