//! Runs calls with an idempotency key at most once, and answers retries with the answer of the
//! first run.

use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_protocol::failure::{FailureBody, FailureCode, FailureOutcome};
use papayamux_protocol::link::RefusalNotice;
use papayamux_state::claims::{CallFingerprint, ClaimId, ClaimKey, HeldClaim};
use papayamux_state::ids::{IdempotencyKey, OrganisationId};
use papayamux_state::refusal::RefusalReason;

use super::recall::{answer_not_kept, key_in_use, key_reused, recall_answer, RecallOutcome};
use super::witness_round::{claim_key, RoundOutcome};
use super::ClaimAttempt;
use crate::callers::{offer_request, AcceptedRequest, CallerFrontend, RequestOffer};
use crate::routing::RoutePlan;

/// Maximum number of claim rounds for one call while other attempts hold its key.
const MAX_CLAIM_ROUNDS: u32 = 4;
/// Range of the random delay before a further round. The jitter keeps competing attempts from
/// colliding again.
const ROUND_DELAY_MS: std::ops::Range<u64> = 10..60;

/// The idempotency key of a call, and the call that it identifies.
#[derive(Debug, Clone)]
pub struct KeyedCall {
    /// The calling organisation.
    pub organisation: OrganisationId,
    /// The key as the caller sent it.
    pub idempotency_key: IdempotencyKey,
    /// The key as sent to witnesses.
    pub key: ClaimKey,
    /// The fingerprint of the call, which tells a retry from another call under the same key.
    pub fingerprint: CallFingerprint,
}

impl KeyedCall {
    /// Creates the keyed call for `offer`.
    pub fn new(offer: &RequestOffer, idempotency_key: &IdempotencyKey) -> Self {
        Self {
            organisation: offer.organisation.clone(),
            idempotency_key: idempotency_key.clone(),
            key: ClaimKey::new(&offer.organisation, idempotency_key),
            fingerprint: CallFingerprint::new(&offer.method, &offer.path, &offer.body),
        }
    }
}

/// Claims the key and offers the call to the servers of `plan`, or returns the first run's answer.
pub async fn run_keyed(
    frontend: &CallerFrontend,
    call: &KeyedCall,
    offer: RequestOffer,
    plan: RoutePlan,
) -> Result<AcceptedRequest, FailureBody> {
    let started = Instant::now();
    let mut failure = key_in_use("another call with this key is under way");
    for round in 0..MAX_CLAIM_ROUNDS {
        if round > 0 {
            let delay_ms = rand::random_range(ROUND_DELAY_MS);
            monoio::time::sleep(Duration::from_millis(delay_ms)).await;
            frontend.metrics.retries.count(RefusalReason::KeyHeld.label());
        }
        let claim = ClaimId(frontend.request_ids.generate());
        let attempt = ClaimAttempt::new(call.key, claim, started);
        match claim_key(&frontend.fleets, call, attempt, frontend.settings.start_within).await {
            RoundOutcome::Won(attempt) => {
                return run_under_claim(frontend, offer, plan, attempt).await
            }
            RoundOutcome::Lost { held, refusal } => {
                frontend.metrics.refusals.count(refusal.reason.label());
                match after_lost_round(frontend, call, held, refusal).await {
                    LostRound::Accepted(accepted) => return Ok(*accepted),
                    LostRound::Failed(failure) => return Err(failure),
                    LostRound::Retry(reason) => failure = reason,
                }
            }
        }
    }
    Err(failure)
}

/// The outcome of a lost round for its call.
enum LostRound {
    Accepted(Box<AcceptedRequest>),
    Failed(FailureBody),
    Retry(FailureBody),
}

async fn after_lost_round(
    frontend: &CallerFrontend,
    call: &KeyedCall,
    held: Option<HeldClaim>,
    refusal: RefusalNotice,
) -> LostRound {
    if refusal.reason == RefusalReason::KeyReused {
        return LostRound::Failed(key_reused());
    }
    let Some(held) = held else { return LostRound::Failed(no_majority(refusal)) };
    let Some(place) = held.place else {
        return LostRound::Retry(key_in_use("another call with this key is under way"));
    };
    match recall_answer(frontend, call, &place).await {
        RecallOutcome::Accepted(accepted) => LostRound::Accepted(accepted),
        RecallOutcome::NotThere => LostRound::Retry(answer_not_kept()),
        RecallOutcome::Failed(failure) => LostRound::Failed(failure),
    }
}

/// Returns the failure for a key that no attempt is known to hold, but that too few witnesses
/// granted. This call was not run; whether an earlier one with its key was is unknown.
fn no_majority(refusal: RefusalNotice) -> FailureBody {
    let message = format!("too few witnesses of the idempotency key agreed: {}", refusal.reason);
    FailureBody::not_run(FailureCode::ClaimsUnavailable, message)
        .with_reason(refusal.reason)
        .earlier_attempts(FailureOutcome::Unknown)
        .retry_after(refusal.retry_after_ms.div_ceil(1_000).max(1))
}

async fn run_under_claim(
    frontend: &CallerFrontend,
    offer: RequestOffer,
    plan: RoutePlan,
    attempt: Rc<ClaimAttempt>,
) -> Result<AcceptedRequest, FailureBody> {
    let offer = RequestOffer { claim: Some(attempt.clone()), ..offer };
    let outcome = offer_request(frontend, &offer, plan).await;
    match outcome {
        Err(failure) if failure.outcome != FailureOutcome::NotRun => Err(failure),
        Err(failure) if ran_before(&failure) => {
            Err(key_in_use("a call with this key has run").with_reason(RefusalReason::KeyRunBefore))
        }
        Err(failure) => {
            attempt.release();
            Err(failure)
        }
        Ok(accepted) => Ok(accepted),
    }
}

fn ran_before(failure: &FailureBody) -> bool {
    failure.reason.as_deref() == Some(RefusalReason::KeyRunBefore.label())
}
