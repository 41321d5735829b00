//! Mechanisms of the decisions, each of which an experiment can disable.
//!
//! The contribution of a mechanism can only be measured while all others work without it.
//! Production enables all of them.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// A part of the decisions that the others don't depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// An engine copies missing prompt tokens from another engine.
    Copies,
    /// The home of a group of prompts is assumed to hold their shared part.
    HomeBelief,
    /// Routers notify one another of the engines that hold a part.
    HoldersTold,
    /// Engines are asked for listings of their caches after all routers were lost.
    CacheSurvey,
    /// A departed engine is still used as a source of copies while it is terminating.
    DepartedSources,
    /// Requests wait in a queue for a slot, or are refused.
    Line,
    /// Organisations get equal shares of the slots.
    FairShares,
    /// Requests with an urgent priority get larger shares.
    Urgency,
    /// Callers that return are recognised by their shorter deadlines.
    UsualDeadline,
    /// A request is refused if its first event would come too late.
    EarlyRefusal,
    /// Servers with failed connections or broken answers are ejected for a while.
    Evidence,
    /// Servers with a higher failure rate than others get fewer requests.
    AnswerRecords,
    /// Requests leave servers that are silent for longer than usual.
    Liveness,
    /// Servers behind links that delay messages get fewer requests.
    LinkDelays,
    /// Routers that can't reach the source ask other routers to confirm that the configuration is
    /// current.
    PeerVouching,
    /// The requests of a server are bounded by a multiple of the mean.
    LoadBound,
    /// The cost of a copy to an engine with a nearly full cache includes that of the evicted
    /// tokens.
    EvictionCost,
    /// The speed of servers is estimated from their answers.
    LearntProfile,
    /// Requests wait while their engine prefills the same part for another request.
    PartWaits,
    /// Routers notify one another at once of parts that engines begin to prefill.
    ReadingsTold,
    /// The owner of a part is notified of its holders, and queried by routers that know no holder.
    PartOwners,
    /// Requests under which servers crash are quarantined.
    CrashQuarantine,
    /// Servers that have just started get at most their limit from all routers together.
    ColdShares,
    /// The slowdown that a server reports counts in its speed.
    ServerSlowdown,
    /// The requests of all routers wait in one queue while a plain service is short of slots.
    SharedQueue,
    /// More urgent requests go before what the flows of less urgent ones use beyond their shares,
    /// and displace it where there would be no time for them.
    Displacement,
    /// A failed request is only retried if retries of its kind have helped.
    RetryBenefit,
}

/// All mechanisms with their names in settings.
const NAMES: [(Mechanism, &str); 27] = [
    (Mechanism::Copies, "copies"),
    (Mechanism::HomeBelief, "home-belief"),
    (Mechanism::HoldersTold, "holders-told"),
    (Mechanism::CacheSurvey, "cache-survey"),
    (Mechanism::DepartedSources, "departed-sources"),
    (Mechanism::Line, "line"),
    (Mechanism::FairShares, "fair-shares"),
    (Mechanism::Urgency, "urgency"),
    (Mechanism::UsualDeadline, "usual-deadline"),
    (Mechanism::EarlyRefusal, "early-refusal"),
    (Mechanism::Evidence, "evidence"),
    (Mechanism::AnswerRecords, "answer-records"),
    (Mechanism::Liveness, "liveness"),
    (Mechanism::LinkDelays, "link-delays"),
    (Mechanism::PeerVouching, "peer-vouching"),
    (Mechanism::LoadBound, "load-bound"),
    (Mechanism::EvictionCost, "eviction-cost"),
    (Mechanism::LearntProfile, "learnt-profile"),
    (Mechanism::PartWaits, "part-waits"),
    (Mechanism::ReadingsTold, "readings-told"),
    (Mechanism::PartOwners, "part-owners"),
    (Mechanism::CrashQuarantine, "crash-quarantine"),
    (Mechanism::ColdShares, "cold-shares"),
    (Mechanism::ServerSlowdown, "server-slowdown"),
    (Mechanism::SharedQueue, "shared-queue"),
    (Mechanism::Displacement, "displacement"),
    (Mechanism::RetryBenefit, "retry-benefit"),
];

impl Mechanism {
    /// Returns all mechanisms.
    pub fn all() -> impl Iterator<Item = Self> {
        NAMES.into_iter().map(|(mechanism, _)| mechanism)
    }

    fn name(self) -> &'static str {
        let named = NAMES.iter().find(|(mechanism, _)| *mechanism == self);
        named.map_or("", |(_, name)| name)
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// The error of parsing a [`Mechanism`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{name:?} is no mechanism; known are {}", known_names())]
pub struct MechanismError {
    name: String,
}

fn known_names() -> String {
    NAMES.map(|(_, name)| name).join(", ")
}

impl FromStr for Mechanism {
    type Err = MechanismError;

    fn from_str(text: &str) -> Result<Self, MechanismError> {
        let named = NAMES.iter().find(|(_, name)| *name == text);
        let error = || MechanismError { name: text.to_string() };
        named.map(|(mechanism, _)| *mechanism).ok_or_else(error)
    }
}

/// The mechanisms disabled by an experiment; none in production.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DisabledMechanisms(BTreeSet<Mechanism>);

impl DisabledMechanisms {
    /// Returns whether a mechanism is enabled.
    pub fn allow(&self, mechanism: Mechanism) -> bool {
        !self.0.contains(&mechanism)
    }

    /// Returns whether all mechanisms are enabled.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromIterator<Mechanism> for DisabledMechanisms {
    fn from_iter<I: IntoIterator<Item = Mechanism>>(mechanisms: I) -> Self {
        Self(mechanisms.into_iter().collect())
    }
}

impl fmt::Display for DisabledMechanisms {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = self.0.iter().map(Mechanism::to_string).collect();
        formatter.write_str(&names.join(", "))
    }
}
