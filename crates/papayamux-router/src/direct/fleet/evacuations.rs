//! Evacuated failure domains, to whose servers no requests are sent.

use std::collections::BTreeMap;
use std::time::Instant;

use papayamux_coordination::domain_evacuations::EvacuationChange;
use papayamux_state::evacuation::EvacuationOrder;
use papayamux_state::ids::FailureDomain;

use super::Fleet;

impl Fleet {
    /// Applies the evacuation of a failure domain.
    pub(in crate::direct) fn begin_evacuation(&self, order: EvacuationOrder) {
        let change = self.evacuations.borrow_mut().begin(order);
        change.iter().for_each(|change| self.record_evacuation(change));
    }

    /// Applies the end of the evacuation of a failure domain.
    pub(in crate::direct) fn end_evacuation(&self, domain: &FailureDomain) {
        let change = self.evacuations.borrow_mut().end(domain);
        change.iter().for_each(|change| self.record_evacuation(change));
    }

    /// Replaces the evacuations by those that the source holds. One that was restored from a copy may lack some.
    pub(in crate::direct) fn replace_evacuations(
        &self,
        orders: Vec<EvacuationOrder>,
        is_restored: bool,
        now: Instant,
    ) {
        let changes = {
            let mut evacuations = self.evacuations.borrow_mut();
            match is_restored {
                true => evacuations.replace_restored(orders, now),
                false => evacuations.replace(orders),
            }
        };
        changes.iter().for_each(|change| self.record_evacuation(change));
    }

    /// Ends the evacuations that a copy of the source lacked, and that have not been written again.
    pub(in crate::direct) fn expire_evacuations(&self) {
        let changes = self.evacuations.borrow_mut().expire(Instant::now());
        changes.iter().for_each(|change| self.record_evacuation(change));
    }

    /// Returns the evacuations that the source holds.
    pub(in crate::direct) fn evacuation_orders(&self) -> Vec<EvacuationOrder> {
        self.evacuations.borrow().orders()
    }

    /// Returns the evacuated failure domains, each with the source position of its order.
    pub(in crate::direct) fn evacuated_revisions(&self) -> BTreeMap<String, u64> {
        let orders = self.evacuations.borrow().in_force().into_iter();
        orders.map(|order| (order.domain.to_string(), order.position.revision)).collect()
    }

    fn record_evacuation(&self, change: &EvacuationChange) {
        let evacuated = self.evacuations.borrow().len();
        self.metrics.evacuated_domains.set(i64::try_from(evacuated).unwrap_or(i64::MAX));
        match change {
            EvacuationChange::Begun(EvacuationOrder { domain, position }) => {
                log::info!(domain:% = domain, position:% = position; "failure domain evacuated");
            }
            EvacuationChange::Ended(domain) => {
                self.assume_cold(domain, Instant::now());
                log::info!(domain:% = domain; "evacuation ended");
            }
        }
    }
}
