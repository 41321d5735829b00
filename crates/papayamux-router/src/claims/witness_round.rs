//! Asking all witnesses of a key for one attempt.

use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use papayamux_coordination::claims::{ClaimRound, ClaimVerdict};
use papayamux_protocol::link::{ClaimReply, ClaimRequest, RefusalNotice};
use papayamux_state::claims::{ClaimQuery, HeldClaim};
use papayamux_state::ids::ServerId;
use papayamux_state::refusal::RefusalReason;

use super::fleet_keeper::WitnessSets;
use super::{ClaimHold, FleetKeeper, KeyedCall};

/// How long a lost round still waits for answers that may say who holds the key.
const LAST_ANSWERS_WITHIN: Duration = Duration::from_millis(50);
/// Time after which to try again where no fleet is known.
const NO_FLEET_RETRY_MS: u32 = 5_000;

/// What came of a round.
pub enum RoundOutcome {
    /// The attempt holds the key.
    Won(Rc<ClaimHold>),
    /// It does not, and has released what it held.
    Lost {
        /// The attempt that some witness has granted the key to.
        held: Option<HeldClaim>,
        /// What speaks against this attempt.
        refusal: RefusalNotice,
    },
}

/// Asks all witnesses at once. A won round goes on without those that have not answered; they are
/// still told, so that the key outlives the loss of those that have.
pub async fn claim_key(
    keeper: &Rc<FleetKeeper>,
    call: &KeyedCall,
    hold: Rc<ClaimHold>,
    start_within: Duration,
) -> RoundOutcome {
    let Some(WitnessSets { digests, fleets }) = keeper.witnesses(call.key) else {
        let reason = RefusalReason::OtherFleet;
        let refusal = RefusalNotice::new(reason, NO_FLEET_RETRY_MS);
        return RoundOutcome::Lost { held: None, refusal };
    };
    let ask = ClaimQuery {
        key: call.key,
        fingerprint: call.fingerprint,
        claim: hold.claim(),
        views: digests,
    };
    let mut round = ClaimRound::new(fleets);
    let claim_within = keeper.settings().claim_within;
    let mut replies: FuturesUnordered<_> = round
        .asked()
        .into_iter()
        .map(|witness| {
            let (keeper, hold, ask) = (keeper.clone(), hold.clone(), ask.clone());
            async move {
                let asked = ask_witness(&keeper, &witness, ask, &hold, start_within);
                let reply = monoio::time::timeout(claim_within, asked).await;
                (witness, reply.ok().flatten())
            }
        })
        .collect();
    while round.verdict() == ClaimVerdict::Pending {
        let Some((witness, reply)) = replies.next().await else { break };
        round.take(&witness, reply);
    }
    if round.verdict() == ClaimVerdict::Won {
        monoio::spawn(async move { while replies.next().await.is_some() {} });
        return RoundOutcome::Won(hold);
    }
    let rest = async {
        while let Some((witness, reply)) = replies.next().await {
            round.take(&witness, reply);
        }
    };
    let _ = monoio::time::timeout(LAST_ANSWERS_WITHIN, rest).await;
    hold.release();
    RoundOutcome::Lost { held: round.held().cloned(), refusal: round.refusal() }
}

async fn ask_witness(
    keeper: &FleetKeeper,
    witness: &ServerId,
    ask: ClaimQuery,
    hold: &ClaimHold,
    start_within: Duration,
) -> Option<ClaimReply> {
    let link = keeper.peer(witness)?.link().await.ok()?;
    let grant_before = hold.deadline(&link, start_within)?;
    let agent = link.welcome().incarnation;
    let request = ClaimRequest { agent, grant_before, ask };
    hold.note_asked(link.clone());
    let reply = link.claim(request).await;
    hold.catch_up(&link);
    reply
}
