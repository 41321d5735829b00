//! A bounded queue: strict priority classes, and fair shares by organisation within a class.

use std::collections::BTreeMap;

use papayamux_state::ids::OrganisationId;

use crate::fair_share::{FairShare, FlowShare};

/// An entry to queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueEntry<T> {
    /// The priority class; lower numbers go first.
    pub priority: u32,
    /// The organisation that the entry is queued for.
    pub organisation: OrganisationId,
    /// The organisation's weight; 0 counts as 1.
    pub share: u32,
    /// The queued item.
    pub item: T,
}

impl<T> QueueEntry<T> {
    fn weight(&self) -> f64 {
        f64::from(self.share.max(1))
    }
}

/// The result of adding an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// The entry is queued.
    Queued,
    /// The entry is queued and has displaced another one, which has to be refused.
    Displaced(T),
    /// The queue is full and the entry was not added.
    Full(T),
}

/// The request queue of an agent.
#[derive(Debug)]
pub struct FairQueue<T> {
    classes: BTreeMap<u32, FairShare<OrganisationId, T>>,
    length: usize,
    max_length: usize,
}

impl<T: PartialEq> FairQueue<T> {
    /// Creates a queue of at most `max_length` entries.
    pub fn new(max_length: usize) -> Self {
        Self { classes: BTreeMap::new(), length: 0, max_length }
    }

    /// Returns the number of queued entries.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the maximum number of entries that would go before a new one of this class.
    pub fn ahead_of(&self, priority: u32) -> usize {
        self.classes.range(..=priority).map(|(_, class)| class.len()).sum()
    }

    /// Adds an entry. A full queue displaces an entry of a lower class, or of the organisation with
    /// the most queued entries for its weight, but never of one that has fewer than the
    /// organisation of the new entry.
    pub fn push(&mut self, entry: QueueEntry<T>) -> PushOutcome<T> {
        if self.length < self.max_length {
            self.insert(entry);
            return PushOutcome::Queued;
        }
        match self.make_room(&entry) {
            Some(displaced) => {
                self.insert(entry);
                PushOutcome::Displaced(displaced)
            }
            None => PushOutcome::Full(entry.item),
        }
    }

    fn insert(&mut self, entry: QueueEntry<T>) {
        let share = FlowShare { weight: entry.weight(), cost: 1.0 };
        let class = self.classes.entry(entry.priority).or_default();
        class.push(entry.organisation, share, entry.item);
        self.length += 1;
    }

    fn make_room(&mut self, entry: &QueueEntry<T>) -> Option<T> {
        let mut classes = self.classes.iter_mut().rev();
        let (priority, class) = classes.find(|(_, class)| !class.is_empty())?;
        if *priority < entry.priority {
            return None;
        }
        let (organisation, weighted) = class.longest_flow()?;
        let own = class.length_after_push(&entry.organisation, entry.weight());
        if *priority == entry.priority && weighted <= own {
            return None;
        }
        let organisation = organisation.clone();
        let displaced = class.pop_last(&organisation)?;
        self.length -= 1;
        Some(displaced)
    }

    /// Returns the class of the next entry.
    pub fn next_priority(&self) -> Option<u32> {
        let mut classes = self.classes.iter();
        classes.find(|(_, class)| !class.is_empty()).map(|(priority, _)| *priority)
    }

    /// Returns the next entry.
    pub fn peek(&self) -> Option<&T> {
        self.classes.values().find_map(FairShare::peek)
    }

    /// Removes and returns the next entry.
    pub fn pop(&mut self) -> Option<T> {
        let item = self.classes.values_mut().find_map(FairShare::pop)?;
        self.length -= 1;
        self.classes.retain(|_, class| !class.is_idle());
        Some(item)
    }

    /// Removes an entry. Returns `false` if it is not queued.
    pub fn remove(&mut self, item: &T) -> bool {
        let mut classes = self.classes.values_mut();
        let removed =
            classes.any(|class| !class.remove_where(|waiting| waiting == item).is_empty());
        self.length -= usize::from(removed);
        removed
    }
}
