//! Baseline routing policies, which the default policy is compared with.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use papayamux_protocol::link::LoadProbe;
use papayamux_state::hash_ring::HashRing;
use papayamux_state::ids::{ChatKey, ServerId};
use papayamux_state::load::GroupId;

use super::load_tracker::LoadTracker;
use super::probe::probe_all;
use crate::directory::ServerRecord;

/// Maximum ratio of a server's requests in flight to the mean in consistent hashing with bounded
/// loads.
const BOUNDED_LOAD_FACTOR: f64 = 1.25;
/// Maximum number of cached rings.
const MAX_RINGS: usize = 256;

/// A cache of hash rings by group. A ring is rebuilt when the servers of its group change.
#[derive(Debug, Default)]
pub struct RingCache {
    rings: RefCell<HashMap<GroupId, Rc<HashRing>>>,
}

impl RingCache {
    fn ring(&self, group: GroupId, servers: &[Rc<ServerRecord>]) -> Rc<HashRing> {
        let mut names: Vec<ServerId> =
            servers.iter().map(|record| record.entry.server.clone()).collect();
        names.sort_unstable();
        let mut rings = self.rings.borrow_mut();
        if let Some(ring) = rings.get(&group).filter(|ring| ring.has_servers(&names)) {
            return ring.clone();
        }
        if rings.len() >= MAX_RINGS {
            rings.clear();
        }
        let ring = Rc::new(HashRing::new(names));
        rings.insert(group, ring.clone());
        ring
    }

    /// Returns the servers in ring order, starting at the chat's position.
    pub fn walk(
        &self,
        group: GroupId,
        chat: &ChatKey,
        servers: &[Rc<ServerRecord>],
    ) -> Vec<Rc<ServerRecord>> {
        let ring = self.ring(group, servers);
        let by_name: HashMap<_, _> =
            servers.iter().map(|record| (&record.entry.server, record)).collect();
        ring.walk(chat).iter().filter_map(|name| by_name.get(name).copied().cloned()).collect()
    }
}

/// Returns the servers in random order.
pub fn shuffled(servers: &[Rc<ServerRecord>]) -> Vec<Rc<ServerRecord>> {
    let mut order: Vec<_> =
        servers.iter().map(|record| (rand::random::<u64>(), record.clone())).collect();
    order.sort_unstable_by_key(|(sample, _)| *sample);
    order.into_iter().map(|(_, record)| record).collect()
}

/// Returns the servers in random order, with the less loaded of the first two in front.
pub async fn two_choices(servers: &[Rc<ServerRecord>]) -> Vec<Rc<ServerRecord>> {
    let mut order = shuffled(servers);
    let probe = LoadProbe { checkpoints: Vec::new(), chat: 0, group_load: None };
    let probed = &order[..order.len().min(2)];
    let loads: Vec<_> = probe_all(probed, &probe)
        .await
        .into_iter()
        .map(|reply| {
            reply.map_or(u64::MAX, |reply| (reply.load.running + reply.load.waiting).get())
        })
        .collect();
    if loads.len() == 2 && loads[1] < loads[0] {
        order.swap(0, 1);
    }
    order
}

/// Moves the servers at which this router's requests in flight reach [`BOUNDED_LOAD_FACTOR`] times
/// the mean, with the new request included, to the end of `walk`.
pub fn defer_full(walk: Vec<Rc<ServerRecord>>, tracker: &LoadTracker) -> Vec<Rc<ServerRecord>> {
    let in_flight = |record: &Rc<ServerRecord>| tracker.in_flight(&record.entry.server);
    let total: u64 = walk.iter().map(in_flight).sum();
    let bound = (BOUNDED_LOAD_FACTOR * (total + 1) as f64 / walk.len().max(1) as f64).ceil() as u64;
    let (open, full): (Vec<_>, Vec<_>) =
        walk.into_iter().partition(|record| in_flight(record) < bound);
    open.into_iter().chain(full).collect()
}
