//! Failure domains that are evacuated according to the source.
//!
//! Evacuations belong to a position of the source, like the list of servers. Routers that read the source
//! send all evacuations in force to their followers, so that a follower that missed one report is
//! complete again with the next.

use std::collections::{BTreeMap, BTreeSet};

use papayamux_state::evacuation::EvacuationOrder;
use papayamux_state::ids::FailureDomain;
use papayamux_state::source::SourcePosition;

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
}

impl DomainEvacuations {
    /// Returns whether `domain` is evacuated, so that its servers may receive no requests.
    pub fn covers(&self, domain: &FailureDomain) -> bool {
        self.orders.contains_key(domain)
    }

    /// Returns all orders in force, sorted by failure domain.
    pub fn orders(&self) -> Vec<EvacuationOrder> {
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
        let known = self.orders.insert(domain.clone(), position);
        known.is_none().then_some(EvacuationChange::Begun(EvacuationOrder { domain, position }))
    }

    /// Applies the withdrawal of an order and returns the change.
    pub fn end(&mut self, domain: &FailureDomain) -> Option<EvacuationChange> {
        self.orders.remove(domain).map(|_| EvacuationChange::Ended(domain.clone()))
    }

    /// Replaces all orders in force and returns the changes. An order at a later position than the known
    /// one indicates an end and a new start, of which the end was missed; it yields no change.
    pub fn replace(&mut self, orders: Vec<EvacuationOrder>) -> Vec<EvacuationChange> {
        let ordered: BTreeSet<_> = orders.iter().map(|order| order.domain.clone()).collect();
        let ended: Vec<_> =
            self.orders.keys().filter(|domain| !ordered.contains(*domain)).cloned().collect();
        let ended: Vec<_> = ended.iter().filter_map(|domain| self.end(domain)).collect();
        ended.into_iter().chain(orders.into_iter().filter_map(|order| self.begin(order))).collect()
    }
}
