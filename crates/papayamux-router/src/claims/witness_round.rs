//! Requests a claim from all witnesses of a key.

use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use papayamux_coordination::claims::{ClaimRound, ClaimVerdict};
use papayamux_protocol::link::{ClaimReply, ClaimRequest, RefusalNotice};
use papayamux_state::claims::{ClaimQuery, HeldClaim};
use papayamux_state::ids::ServerId;
use papayamux_state::refusal::RefusalReason;

use super::fleet_tracker::WitnessSets;
use super::{ClaimAttempt, FleetTracker, KeyedCall};

/// Maximum time that a lost round waits for outstanding replies, which may name the attempt that
/// holds the key.
const LATE_REPLY_TIMEOUT: Duration = Duration::from_millis(50);
/// Delay until a retry if no fleet is known.
const NO_FLEET_RETRY_MS: u32 = 5_000;

/// The outcome of a round.
pub enum RoundOutcome {
    /// The attempt holds the key.
    Won(Rc<ClaimAttempt>),
    /// The attempt doesn't hold the key, and has released the claims it was granted.
    Lost {
        /// The attempt that a witness has granted the key to, if known.
        held: Option<HeldClaim>,
        /// The reason why this attempt lost.
        refusal: RefusalNotice,
    },
}

/// Requests a claim from all witnesses concurrently. A won round doesn't wait for outstanding
/// replies, but these requests still complete in the background, so that the claim survives the
/// loss of the witnesses that have replied.
pub async fn claim_key(
    tracker: &Rc<FleetTracker>,
    call: &KeyedCall,
    attempt: Rc<ClaimAttempt>,
    start_within: Duration,
) -> RoundOutcome {
    let Some(WitnessSets { digests, fleets }) = tracker.witnesses(call.key) else {
        let reason = RefusalReason::OtherFleet;
        let refusal = RefusalNotice::new(reason, NO_FLEET_RETRY_MS);
        return RoundOutcome::Lost { held: None, refusal };
    };
    let ask = ClaimQuery {
        key: call.key,
        fingerprint: call.fingerprint,
        claim: attempt.claim(),
        views: digests,
    };
    let mut round = ClaimRound::new(fleets);
    let claim_within = tracker.settings().claim_within;
    let mut replies: FuturesUnordered<_> = round
        .all_witnesses()
        .into_iter()
        .map(|witness| {
            let (tracker, attempt, ask) = (tracker.clone(), attempt.clone(), ask.clone());
            async move {
                let claim_reply = request_claim(&tracker, &witness, ask, &attempt, start_within);
                let reply = monoio::time::timeout(claim_within, claim_reply).await;
                (witness, reply.ok().flatten())
            }
        })
        .collect();
    while round.verdict() == ClaimVerdict::Pending {
        let Some((witness, reply)) = replies.next().await else { break };
        round.record_reply(&witness, reply);
    }
    if round.verdict() == ClaimVerdict::Won {
        monoio::spawn(async move { while replies.next().await.is_some() {} });
        return RoundOutcome::Won(attempt);
    }
    let rest = async {
        while let Some((witness, reply)) = replies.next().await {
            round.record_reply(&witness, reply);
        }
    };
    let _ = monoio::time::timeout(LATE_REPLY_TIMEOUT, rest).await;
    attempt.release();
    RoundOutcome::Lost { held: round.held().cloned(), refusal: round.refusal() }
}

async fn request_claim(
    tracker: &FleetTracker,
    witness: &ServerId,
    ask: ClaimQuery,
    attempt: &ClaimAttempt,
    start_within: Duration,
) -> Option<ClaimReply> {
    let link = tracker.peer(witness)?.link().await.ok()?;
    let grant_before = attempt.deadline(&link, start_within)?;
    let agent = link.welcome().incarnation;
    let request = ClaimRequest { agent, grant_before, ask };
    attempt.record_link(link.clone());
    let reply = link.claim(request).await;
    attempt.send_last_change(&link);
    reply
}
