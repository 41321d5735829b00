//! Start-time fair queueing: flows share the service by weight.
//!
//! The flow whose next entry has the lowest start tag, in virtual time, is served first. Each
//! served entry advances its flow's start tag by its cost divided by the flow's weight. Over time
//! each flow gets its share, and an idle flow saves nothing up.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// The weight of a flow and the cost of one of its entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FlowShare {
    /// The weight of the flow, above zero.
    pub weight: f64,
    /// The cost of the entry, in a unit that all entries share.
    pub cost: f64,
}

#[derive(Debug)]
struct FlowEntry<T> {
    cost: f64,
    item: T,
}

#[derive(Debug)]
struct Flow<T> {
    start_tag: f64,
    weight: f64,
    entries: VecDeque<FlowEntry<T>>,
}

/// The queued entries of all flows.
#[derive(Debug)]
pub struct FairShare<K, T> {
    virtual_time: f64,
    flows: HashMap<K, Flow<T>>,
}

impl<K, T> Default for FairShare<K, T> {
    fn default() -> Self {
        Self { virtual_time: 0.0, flows: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash + Ord, T> FairShare<K, T> {
    /// Appends an entry to its flow.
    pub fn push(&mut self, key: K, share: FlowShare, item: T) {
        self.push_before(key, share, item, |_| false);
    }

    /// Inserts an entry into its flow, before the first entry that matches `before`.
    pub fn push_before(&mut self, key: K, share: FlowShare, item: T, before: impl Fn(&T) -> bool) {
        let now = self.virtual_time;
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            start_tag: now,
            weight: share.weight,
            entries: VecDeque::new(),
        });
        if flow.entries.is_empty() {
            flow.start_tag = flow.start_tag.max(now);
        }
        flow.weight = share.weight;
        let index = flow.entries.iter().position(|entry| before(&entry.item));
        let index = index.unwrap_or(flow.entries.len());
        flow.entries.insert(index, FlowEntry { cost: share.cost, item });
    }

    /// Returns the next entry.
    pub fn peek(&self) -> Option<&T> {
        let entry = self.flows.get(self.next_key(|_, _| true)?)?.entries.front();
        entry.map(|entry| &entry.item)
    }

    /// Removes and returns the next entry.
    pub fn pop(&mut self) -> Option<T> {
        self.pop_where(|_, _| true)
    }

    /// Removes and returns the next entry of the flows that match `predicate`, which gets the key
    /// of a flow and the cost of its first entry.
    pub fn pop_where(&mut self, predicate: impl Fn(&K, f64) -> bool) -> Option<T> {
        let next = self.next_key(predicate)?.clone();
        let flow = self.flows.get_mut(&next)?;
        let entry = flow.entries.pop_front()?;
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        flow.start_tag += entry.cost / flow.weight;
        let now = self.virtual_time;
        self.flows.retain(|_, flow| !flow.entries.is_empty() || flow.start_tag > now);
        Some(entry.item)
    }

    /// Removes and returns the entries that match `predicate`.
    pub fn remove_where(&mut self, mut predicate: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut taken = Vec::new();
        for flow in self.flows.values_mut() {
            let entries = std::mem::take(&mut flow.entries);
            let (removed, kept): (VecDeque<_>, _) =
                entries.into_iter().partition(|entry| predicate(&entry.item));
            taken.extend(removed.into_iter().map(|entry| entry.item));
            flow.entries = kept;
        }
        taken
    }

    /// Removes and returns the last entry of a flow.
    pub fn pop_last(&mut self, key: &K) -> Option<T> {
        self.flows.get_mut(key)?.entries.pop_back().map(|entry| entry.item)
    }

    /// Returns the flow with the most entries for its weight, and their number divided by the
    /// weight.
    pub fn longest_flow(&self) -> Option<(&K, f64)> {
        let lengths = self.flows.iter().map(|(key, flow)| {
            let length = flow.entries.len() as f64 / flow.weight;
            (key, length)
        });
        lengths.max_by(|left, right| left.1.total_cmp(&right.1).then_with(|| left.0.cmp(right.0)))
    }

    /// Returns the number of entries of a flow after one more is added, divided by its weight.
    pub fn length_after_push(&self, key: &K, weight: f64) -> f64 {
        let flow = self.flows.get(key);
        flow.map_or(1.0 / weight, |flow| (flow.entries.len() + 1) as f64 / flow.weight)
    }

    /// Returns the sum of the weights of all backlogged flows other than `key`.
    pub fn weight_of_others(&self, key: &K) -> f64 {
        let others = self.flows.iter().filter(|(other, _)| *other != key);
        let waiting = others.filter(|(_, flow)| !flow.entries.is_empty());
        waiting.map(|(_, flow)| flow.weight).sum()
    }

    /// Returns the cost of the entries of `key` that match `ahead`.
    pub fn cost_where(&self, key: &K, ahead: impl Fn(&T) -> bool) -> f64 {
        let entries = self.flows.get(key).into_iter().flat_map(|flow| &flow.entries);
        entries.filter(|entry| ahead(&entry.item)).map(|entry| entry.cost).sum()
    }

    /// Returns the entries of a flow in their order, each with the cost up to its end.
    pub fn entries_of(&self, key: &K) -> impl Iterator<Item = (&T, f64)> {
        let entries = self.flows.get(key).into_iter().flat_map(|flow| &flow.entries);
        entries.scan(0.0, |end, entry| {
            *end += entry.cost;
            Some((&entry.item, *end))
        })
    }

    /// Returns the cost of the first entry of a flow, or 0 if it has none.
    pub fn first_cost(&self, key: &K) -> f64 {
        let first = self.flows.get(key).and_then(|flow| flow.entries.front());
        first.map_or(0.0, |entry| entry.cost)
    }

    /// Returns the keys of all flows with entries.
    pub fn backlogged_keys(&self) -> impl Iterator<Item = &K> {
        self.flows.iter().filter(|(_, flow)| !flow.entries.is_empty()).map(|(key, _)| key)
    }

    /// Returns the cost of all entries.
    pub fn total_cost(&self) -> f64 {
        let entries = self.flows.values().flat_map(|flow| &flow.entries);
        entries.map(|entry| entry.cost).sum()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.entries.len()).sum()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.flows.values().all(|flow| flow.entries.is_empty())
    }

    /// Returns whether there are no entries and no flow is ahead of its share.
    pub fn is_idle(&self) -> bool {
        self.flows.is_empty()
    }

    fn next_key(&self, predicate: impl Fn(&K, f64) -> bool) -> Option<&K> {
        let waiting = self.flows.iter().filter(|(key, flow)| {
            flow.entries.front().is_some_and(|first| predicate(key, first.cost))
        });
        let next = waiting.min_by(|(left_key, left), (right_key, right)| {
            left.start_tag.total_cmp(&right.start_tag).then_with(|| left_key.cmp(right_key))
        });
        next.map(|(key, _)| key)
    }
}
