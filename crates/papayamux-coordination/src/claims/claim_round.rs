//! Counts the witnesses' replies to the claim of one attempt.

use std::collections::{BTreeSet, HashSet};

use papayamux_protocol::link::{ClaimReply, RefusalNotice};
use papayamux_state::claims::HeldClaim;
use papayamux_state::ids::ServerId;
use papayamux_state::refusal::RefusalReason;

/// The outcome of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The outcome is still open.
    Pending,
    /// In every fleet that counts, a majority of the witnesses has granted the key.
    Won,
    /// In at least one fleet, a majority is no longer possible.
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
    /// Creates a round over the witnesses of each fleet that counts.
    pub fn new(fleets: Vec<Vec<ServerId>>) -> Self {
        let (granted, refused) = (HashSet::new(), HashSet::new());
        Self { fleets, granted, refused, held: None, most_severe: None }
    }

    /// Returns the witnesses of all fleets, without duplicates.
    pub fn all_witnesses(&self) -> BTreeSet<ServerId> {
        self.fleets.iter().flatten().cloned().collect()
    }

    /// Records a witness's reply; `None` if none arrived on time.
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

    /// Returns the outcome so far.
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

    /// Returns another attempt to which a witness has granted the key, preferably one whose place is
    /// known.
    pub fn held(&self) -> Option<&HeldClaim> {
        self.held.as_ref()
    }

    /// Returns the refusal to report to the caller: a reused key takes precedence, then the longest
    /// retry delay.
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
