//! A call with an idempotency key: run once, or answered with the first run's answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_protocol::failure::{FailureBody, FailureCode, FailureOutcome};
use papayamux_protocol::link::RefusalNotice;
use papayamux_state::claims::{CallFingerprint, ClaimId, ClaimKey, HeldClaim};
use papayamux_state::ids::{IdempotencyKey, OrganisationId};
use papayamux_state::refusal::RefusalReason;

use super::recall::{answer_not_kept, key_in_use, key_reused, recall_answer, RecallOutcome};
use super::witness_round::{claim_key, RoundOutcome};
use super::ClaimHold;
use crate::callers::{offer_request, CallerDesk, RequestOffer, TakenRequest};
use crate::routing::RoutePlan;

/// Rounds of claims for one call, where another attempt is in the way.
const MOST_ROUNDS: u32 = 4;
/// The pause before a further round is drawn from this range, so that attempts part.
const ROUND_PAUSE_MS: std::ops::Range<u64> = 10..60;

/// The key of a call and what it stands for.
#[derive(Debug, Clone)]
pub struct KeyedCall {
    /// The organisation that calls.
    pub organisation: OrganisationId,
    /// The key as the caller sent it.
    pub idempotency_key: IdempotencyKey,
    /// The key as witnesses know it.
    pub key: ClaimKey,
    /// The call.
    pub fingerprint: CallFingerprint,
}

impl KeyedCall {
    /// The keyed call that `offer` makes.
    pub fn new(offer: &RequestOffer, idempotency_key: &IdempotencyKey) -> Self {
        Self {
            organisation: offer.organisation.clone(),
            idempotency_key: idempotency_key.clone(),
            key: ClaimKey::new(&offer.organisation, idempotency_key),
            fingerprint: CallFingerprint::new(&offer.method, &offer.path, &offer.body),
        }
    }
}

/// Claims the key and offers the call to the servers of `plan`, or gets the first run's answer.
pub async fn run_keyed(
    desk: &CallerDesk,
    call: &KeyedCall,
    offer: RequestOffer,
    plan: RoutePlan,
) -> Result<TakenRequest, FailureBody> {
    let started = Instant::now();
    let mut failure = key_in_use("another call with this key is under way");
    for round in 0..MOST_ROUNDS {
        if round > 0 {
            let pause = rand::random_range(ROUND_PAUSE_MS);
            monoio::time::sleep(Duration::from_millis(pause)).await;
            desk.metrics.retries.count(RefusalReason::KeyHeld.label());
        }
        let claim = ClaimId(desk.request_ids.draw());
        let hold = ClaimHold::new(call.key, claim, started);
        match claim_key(&desk.fleets, call, hold, desk.settings.start_within).await {
            RoundOutcome::Won(hold) => return run_under_claim(desk, offer, plan, hold).await,
            RoundOutcome::Lost { held, refusal } => {
                desk.metrics.refusals.count(refusal.reason.label());
                match after_lost_round(desk, call, held, refusal).await {
                    LostRound::Taken(taken) => return Ok(*taken),
                    LostRound::Failed(failure) => return Err(failure),
                    LostRound::TryAgain(reason) => failure = reason,
                }
            }
        }
    }
    Err(failure)
}

/// What follows from a lost round.
enum LostRound {
    Taken(Box<TakenRequest>),
    Failed(FailureBody),
    TryAgain(FailureBody),
}

async fn after_lost_round(
    desk: &CallerDesk,
    call: &KeyedCall,
    held: Option<HeldClaim>,
    refusal: RefusalNotice,
) -> LostRound {
    if refusal.reason == RefusalReason::KeyReused {
        return LostRound::Failed(key_reused());
    }
    let Some(held) = held else { return LostRound::Failed(no_majority(refusal)) };
    let Some(place) = held.place else {
        return LostRound::TryAgain(key_in_use("another call with this key is under way"));
    };
    match recall_answer(desk, call, &place).await {
        RecallOutcome::Taken(taken) => LostRound::Taken(taken),
        RecallOutcome::NotThere => LostRound::TryAgain(answer_not_kept()),
        RecallOutcome::Failed(failure) => LostRound::Failed(failure),
    }
}

/// Nobody is known to hold the key, but too few witnesses granted it: this call was not run.
/// Whether an earlier one with its key was can't be told.
fn no_majority(refusal: RefusalNotice) -> FailureBody {
    let message = format!("too few witnesses of the idempotency key agreed: {}", refusal.reason);
    FailureBody::not_run(FailureCode::ClaimsUnavailable, message)
        .with_reason(refusal.reason)
        .earlier_attempts(FailureOutcome::Unknown)
        .retry_after(refusal.retry_after_ms.div_ceil(1_000).max(1))
}

async fn run_under_claim(
    desk: &CallerDesk,
    offer: RequestOffer,
    plan: RoutePlan,
    hold: Rc<ClaimHold>,
) -> Result<TakenRequest, FailureBody> {
    let offer = RequestOffer { claim: Some(hold.clone()), ..offer };
    let outcome = offer_request(desk, &offer, plan).await;
    match outcome {
        Err(failure) if failure.outcome != FailureOutcome::NotRun => Err(failure),
        Err(failure) if ran_before(&failure) => {
            Err(key_in_use("a call with this key has run").with_reason(RefusalReason::KeyRunBefore))
        }
        Err(failure) => {
            hold.release();
            Err(failure)
        }
        Ok(taken) => Ok(taken),
    }
}

fn ran_before(failure: &FailureBody) -> bool {
    failure.reason.as_deref() == Some(RefusalReason::KeyRunBefore.label())
}
