//! The share of retries that succeed, learnt by service and cause of the failure.
//!
//! Errors that belong to a request come back from every server. While a service is short of slots,
//! a retry of such a request takes the slot of a first attempt and brings nothing. Errors that
//! belong to a server don't come back from another one. Both look alike in a single answer, and
//! differ in what retries have brought.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use papayamux_state::ids::ServiceId;

use super::success_share::SuccessShare;
use super::FailureCause;

/// Share of the chance of a first attempt that a retry must have while the service is contended.
const MIN_RELATIVE_CHANCE: f64 = 0.5;
/// Share of the retries that are made although they are not worthwhile. What isn't tried isn't
/// learnt, and their cost stays small.
const EXPLORED_SHARE: f64 = 0.125;
/// Chance of a first attempt of which nothing is known.
const UNKNOWN_CHANCE: f64 = 1.0;

/// A request that failed and may be retried.
#[derive(Debug, Clone, Copy)]
pub struct RetryCase<'a> {
    /// The service of the request.
    pub service: &'a ServiceId,
    /// The cause of the failure.
    pub cause: FailureCause,
    /// `true` if the service has no slot left for first attempts.
    pub is_contended: bool,
    /// A random number from 0 to 1, which selects the retries that are made in order to learn.
    pub sample: f64,
}

/// The decision on a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The retry is made: it takes no slot of a first attempt, or its chance is good enough.
    Worthwhile,
    /// The retry is made in order to learn.
    Explored,
    /// The retry is not made.
    Withheld,
}

impl RetryDecision {
    /// Returns whether the retry is made.
    pub fn is_made(self) -> bool {
        self != Self::Withheld
    }
}

/// What is expected of a retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryEstimate {
    /// The chance that the retry succeeds, from 0 to 1.
    pub chance: f64,
    /// The chance that a first attempt succeeds, from 0 to 1.
    pub first_chance: f64,
    /// The number of retries that the chance is known from; older ones count less.
    pub samples: f64,
}

impl RetryEstimate {
    fn is_good_enough(self) -> bool {
        self.chance >= self.first_chance * MIN_RELATIVE_CHANCE
    }
}

#[derive(Debug, Default)]
struct ServiceOutcomes {
    first_attempts: SuccessShare,
    retries: BTreeMap<FailureCause, SuccessShare>,
}

impl ServiceOutcomes {
    fn has_decayed(&self, now: Instant) -> bool {
        let retries = self.retries.values();
        retries.chain([&self.first_attempts]).all(|share| share.has_decayed(now))
    }
}

/// What first attempts and retries have brought lately.
#[derive(Debug, Default)]
pub struct BenefitTracker {
    services: HashMap<ServiceId, ServiceOutcomes>,
}

impl BenefitTracker {
    /// Records whether the first attempt of a request succeeded.
    pub fn record_first(&mut self, service: &ServiceId, succeeded: bool, now: Instant) {
        self.outcomes(service).first_attempts.record(succeeded, now);
    }

    /// Records whether the retry of a request that failed by `cause` succeeded.
    pub fn record_retry(
        &mut self,
        service: &ServiceId,
        cause: FailureCause,
        succeeded: bool,
        now: Instant,
    ) {
        self.outcomes(service).retries.entry(cause).or_default().record(succeeded, now);
    }

    /// Returns what is expected of the retry of a request that failed by `cause`.
    pub fn estimate(
        &self,
        service: &ServiceId,
        cause: FailureCause,
        now: Instant,
    ) -> RetryEstimate {
        let outcomes = self.services.get(service);
        let first = outcomes.map(|outcomes| outcomes.first_attempts).unwrap_or_default();
        let first_chance = first.chance(UNKNOWN_CHANCE, now);
        let retries = outcomes.and_then(|outcomes| outcomes.retries.get(&cause));
        let retries = retries.copied().unwrap_or_default();
        let chance = retries.chance(first_chance, now);
        RetryEstimate { chance, first_chance, samples: retries.samples(now) }
    }

    /// Decides whether a failed request is retried.
    pub fn decide(&self, case: &RetryCase<'_>, now: Instant) -> RetryDecision {
        let is_worthwhile =
            !case.is_contended || self.estimate(case.service, case.cause, now).is_good_enough();
        match is_worthwhile {
            true => RetryDecision::Worthwhile,
            false if case.sample < EXPLORED_SHARE => RetryDecision::Explored,
            false => RetryDecision::Withheld,
        }
    }

    /// Removes services whose outcomes have decayed.
    pub fn remove_decayed(&mut self, now: Instant) {
        self.services.retain(|_, outcomes| !outcomes.has_decayed(now));
    }

    /// Returns the number of services with outcomes.
    pub fn len(&self) -> usize {
        self.services.len()
    }

    /// Returns whether no outcome is known.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    fn outcomes(&mut self, service: &ServiceId) -> &mut ServiceOutcomes {
        self.services.entry(service.clone()).or_default()
    }
}
