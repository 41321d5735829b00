//! Failure domains that are evacuated according to the source.
//!
//! Evacuations belong to a position of the source, like the list of servers. Routers that read the source
//! send all evacuations in force to their followers, so that a follower that missed one report is
//! complete again with the next.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use papayamux_state::evacuation::EvacuationOrder;
use papayamux_state::ids::FailureDomain;
use papayamux_state::source::SourcePosition;

/// Time for which an order stays in force that a restored source lacks. The operator writes it again shortly after
/// the source is back.
pub const REWRITE_GRACE: Duration = Duration::from_millis(3_000);

/// A change of a failure domain's evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The evacuation began: the domain's servers receive no more requests.
    Begun(EvacuationOrder),
    /// The evacuation ended: the domain's servers may receive requests again.
    Ended(FailureDomain),
}

/// The evacuations in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DomainEvacuations {
    orders: BTreeMap<FailureDomain, SourcePosition>,
    /// Orders that a restored source lacks, with the times at which they end unless they are written again.
    unconfirmed: BTreeMap<FailureDomain, Instant>,
}

impl DomainEvacuations {
    /// Returns whether `domain` is evacuated, so that its servers may receive no requests.
    pub fn covers(&self, domain: &FailureDomain) -> bool {
        self.orders.contains_key(domain)
    }

    /// Returns the orders that the source holds, sorted by failure domain. Orders that a restored source lacks are
    /// not among them: each router keeps those by itself.
    pub fn orders(&self) -> Vec<EvacuationOrder> {
        let orders = self.in_force().into_iter();
        orders.filter(|order| !self.unconfirmed.contains_key(&order.domain)).collect()
    }

    /// Returns all orders in force, sorted by failure domain.
    pub fn in_force(&self) -> Vec<EvacuationOrder> {
        let orders = self.orders.iter();
        let order = |(domain, position): (&FailureDomain, &SourcePosition)| EvacuationOrder {
            domain: domain.clone(),
            position: *position,
        };
        orders.map(order).collect()
    }

    /// Returns the number of evacuated failure domains.
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    /// Returns whether no failure domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Applies an order and returns the change. A repeated order for the same domain continues the same
    /// evacuation.
    pub fn begin(&mut self, order: EvacuationOrder) -> Option<EvacuationChange> {
        let EvacuationOrder { domain, position } = order;
        self.unconfirmed.remove(&domain);
        let known = self.orders.insert(domain.clone(), position);
        known.is_none().then_some(EvacuationChange::Begun(EvacuationOrder { domain, position }))
    }

    /// Applies the withdrawal of an order and returns the change.
    pub fn end(&mut self, domain: &FailureDomain) -> Option<EvacuationChange> {
        self.unconfirmed.remove(domain);
        self.orders.remove(domain).map(|_| EvacuationChange::Ended(domain.clone()))
    }

    /// Replaces the orders by those of a restored source and returns the changes. Orders that its copy lacks stay in
    /// force for [`REWRITE_GRACE`].
    pub fn replace_restored(
        &mut self,
        orders: Vec<EvacuationOrder>,
        now: Instant,
    ) -> Vec<EvacuationChange> {
        let missing = self.orders.keys().filter(|domain| {
            let is_listed = |order: &EvacuationOrder| order.domain == **domain;
            !orders.iter().any(is_listed)
        });
        for domain in missing {
            self.unconfirmed.entry(domain.clone()).or_insert(now + REWRITE_GRACE);
        }
        orders.into_iter().filter_map(|order| self.begin(order)).collect()
    }

    /// Ends the orders that have not been written again in time, and returns the changes.
    pub fn expire(&mut self, now: Instant) -> Vec<EvacuationChange> {
        let due = self.unconfirmed.iter().filter(|(_, until)| **until <= now);
        let due: Vec<_> = due.map(|(domain, _)| domain.clone()).collect();
        due.iter().filter_map(|domain| self.end(domain)).collect()
    }

    /// Replaces the orders that the source holds and returns the changes. An order at a later position than the
    /// known one indicates an end and a new start, of which the end was missed; it yields no change.
    pub fn replace(&mut self, orders: Vec<EvacuationOrder>) -> Vec<EvacuationChange> {
        let ordered: BTreeSet<_> = orders.iter().map(|order| order.domain.clone()).collect();
        let is_ended = |domain: &&FailureDomain| {
            !ordered.contains(*domain) && !self.unconfirmed.contains_key(*domain)
        };
        let ended: Vec<_> = self.orders.keys().filter(is_ended).cloned().collect();
        let ended: Vec<_> = ended.iter().filter_map(|domain| self.end(domain)).collect();
        ended.into_iter().chain(orders.into_iter().filter_map(|order| self.begin(order))).collect()
    }
}
