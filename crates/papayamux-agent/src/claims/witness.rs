//! Grants claims on idempotency keys as a witness, one member of the quorum.

use std::cell::RefCell;
use std::time::{Duration, SystemTime};

use papayamux_protocol::link::{
    AgentClock, ClaimChange, ClaimNotice, ClaimReply, ClaimRequest, RefusalNotice,
};
use papayamux_state::claims::{ClaimRefusal, ClaimTable, HeldClaim};
use papayamux_state::ids::Incarnation;
use papayamux_state::refusal::RefusalReason;

use super::ClaimSettings;

/// Retry delay in milliseconds for a key that another attempt holds.
const HELD_RETRY_MS: u32 = 1_000;
/// Retry delay in milliseconds if the witness itself was unable to grant the key.
const WITNESS_RETRY_MS: u32 = 5_000;

/// Grants each key to at most one attempt at a time.
pub struct ClaimWitness {
    incarnation: Incarnation,
    table: RefCell<ClaimTable>,
}

impl ClaimWitness {
    /// Creates a witness whose incarnation starts now.
    pub fn new(incarnation: Incarnation, settings: &ClaimSettings) -> Self {
        let ready = settings.ready_in(SystemTime::now());
        let mut table = ClaimTable::new(settings.retention, settings.most_claims).ready_from(ready);
        if let Some(view) = settings.view() {
            table.declare_view(view.digest(), Duration::ZERO);
        }
        Self { incarnation, table: RefCell::new(table) }
    }

    /// Returns the time from `now` until the witness grants claims.
    pub fn ready_in(&self, now: Duration) -> Duration {
        self.table.borrow().ready_in(now)
    }

    /// Returns the number of held keys.
    pub fn held_keys(&self) -> usize {
        self.table.borrow().len()
    }

    /// Answers a claim at `now`, the time since the agent's start.
    pub fn answer(&self, request: &ClaimRequest, now: Duration) -> ClaimReply {
        if request.agent != self.incarnation {
            return refuse(RefusalReason::WrongIncarnation, HELD_RETRY_MS, None);
        }
        if AgentClock::default().after(now) >= request.grant_before {
            return refuse(RefusalReason::DeadlinePassed, HELD_RETRY_MS, None);
        }
        match self.table.borrow_mut().claim(&request.ask, now) {
            Ok(()) => ClaimReply::Granted,
            Err(objection) => object(objection),
        }
    }

    /// Records where an attempt was placed, or that it released its key.
    pub fn note(&self, notice: ClaimNotice) {
        let mut table = self.table.borrow_mut();
        match notice.change {
            ClaimChange::Placed(place) => table.place(notice.key, notice.claim, place),
            ClaimChange::Released => table.release(notice.key, notice.claim),
        }
    }
}

fn object(objection: ClaimRefusal) -> ClaimReply {
    match objection {
        ClaimRefusal::NotReady { ready_in } => {
            let millis = u32::try_from(ready_in.as_millis()).unwrap_or(u32::MAX);
            refuse(RefusalReason::WitnessYoung, millis, None)
        }
        ClaimRefusal::OtherFleet => refuse(RefusalReason::OtherFleet, WITNESS_RETRY_MS, None),
        ClaimRefusal::Held(held) => refuse(RefusalReason::KeyHeld, HELD_RETRY_MS, Some(held)),
        ClaimRefusal::OtherCall => refuse(RefusalReason::KeyReused, 0, None),
        ClaimRefusal::Full => refuse(RefusalReason::ClaimsFull, WITNESS_RETRY_MS, None),
    }
}

fn refuse(reason: RefusalReason, retry_after_ms: u32, held: Option<HeldClaim>) -> ClaimReply {
    ClaimReply::Refused { notice: RefusalNotice::new(reason, retry_after_ms), held }
}
