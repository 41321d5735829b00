//! Counting the witnesses' answers to one attempt.

use std::collections::{BTreeSet, HashSet};

use papayamux_protocol::link::{ClaimReply, RefusalNotice};
use papayamux_state::claims::HeldClaim;
use papayamux_state::ids::ServerId;
use papayamux_state::refusal::RefusalReason;

/// Whether an attempt may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// Not decided yet.
    Pending,
    /// A majority of the witnesses in each fleet that counts has granted the key.
    Won,
    /// In some fleet no majority can be had any more.
    Lost,
}

/// One attempt's claim of a key.
#[derive(Debug, Clone)]
pub struct ClaimRound {
    fleets: Vec<Vec<ServerId>>,
    granted: HashSet<ServerId>,
    refused: HashSet<ServerId>,
    held: Option<HeldClaim>,
    most_severe: Option<RefusalNotice>,
}

impl ClaimRound {
    /// A round that asks the witnesses of each fleet that counts.
    pub fn new(fleets: Vec<Vec<ServerId>>) -> Self {
        let (granted, refused) = (HashSet::new(), HashSet::new());
        Self { fleets, granted, refused, held: None, most_severe: None }
    }

    /// All who are asked, each once.
    pub fn all_witnesses(&self) -> BTreeSet<ServerId> {
        self.fleets.iter().flatten().cloned().collect()
    }

    /// Takes a witness's answer; `None` where there was none in time.
    pub fn record_reply(&mut self, witness: &ServerId, reply: Option<ClaimReply>) {
        match reply {
            Some(ClaimReply::Granted) => {
                self.granted.insert(witness.clone());
            }
            Some(ClaimReply::Refused { notice, held }) => {
                self.refused.insert(witness.clone());
                self.record_held(held);
                self.record_refusal(notice);
            }
            None => {
                self.refused.insert(witness.clone());
            }
        }
    }

    /// Whether the attempt may run.
    pub fn verdict(&self) -> ClaimVerdict {
        let verdicts: Vec<_> = self.fleets.iter().map(|fleet| self.fleet_verdict(fleet)).collect();
        if verdicts.is_empty() || verdicts.contains(&ClaimVerdict::Lost) {
            return ClaimVerdict::Lost;
        }
        match verdicts.iter().all(|verdict| *verdict == ClaimVerdict::Won) {
            true => ClaimVerdict::Won,
            false => ClaimVerdict::Pending,
        }
    }

    /// The other attempt that a witness has granted the key to, with its place where known.
    pub fn held(&self) -> Option<&HeldClaim> {
        self.held.as_ref()
    }

    /// What the caller should learn of the refusals: a reused key before all else, then the
    /// longest wait.
    pub fn refusal(&self) -> RefusalNotice {
        let reason = RefusalReason::NoMajority;
        self.most_severe.clone().unwrap_or(RefusalNotice::new(reason, 1_000))
    }

    fn fleet_verdict(&self, fleet: &[ServerId]) -> ClaimVerdict {
        let majority = fleet.len() / 2 + 1;
        let count =
            |set: &HashSet<ServerId>| fleet.iter().filter(|witness| set.contains(*witness)).count();
        if count(&self.granted) >= majority {
            ClaimVerdict::Won
        } else if fleet.len() < majority + count(&self.refused) {
            ClaimVerdict::Lost
        } else {
            ClaimVerdict::Pending
        }
    }

    fn record_held(&mut self, held: Option<HeldClaim>) {
        let Some(held) = held else { return };
        let known_place = self.held.as_ref().is_some_and(|known| known.place.is_some());
        if !known_place {
            self.held = Some(held);
        }
    }

    fn record_refusal(&mut self, notice: RefusalNotice) {
        let rank = |notice: &RefusalNotice| {
            (notice.reason == RefusalReason::KeyReused, notice.retry_after_ms)
        };
        if self.most_severe.as_ref().is_none_or(|most_severe| rank(&notice) > rank(most_severe)) {
            self.most_severe = Some(notice);
        }
    }
}
