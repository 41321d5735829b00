//! A bounded queue: priority classes first, and within a class fair shares by organisation.

use std::collections::BTreeMap;

use papayamux_state::ids::OrganisationId;

use crate::fair_share::{FairShare, FlowShare};

/// Who waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueEntry<T> {
    /// The priority class; a lower number goes first.
    pub priority: u32,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The organisation's weight; 0 counts as 1.
    pub share: u32,
    /// What waits.
    pub item: T,
}

impl<T> QueueEntry<T> {
    fn weight(&self) -> f64 {
        f64::from(self.share.max(1))
    }
}

/// What came of adding an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// It waits.
    Queued,
    /// It waits in the place of another entry, which has to be refused.
    Displaced(T),
    /// There is no place for it.
    Full(T),
}

/// The queue of an agent.
#[derive(Debug)]
pub struct FairQueue<T> {
    classes: BTreeMap<u32, FairShare<OrganisationId, T>>,
    length: usize,
    max_length: usize,
}

impl<T: PartialEq> FairQueue<T> {
    /// A queue of at most `longest` entries.
    pub fn new(max_length: usize) -> Self {
        Self { classes: BTreeMap::new(), length: 0, max_length }
    }

    /// Entries that wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Entries that would go before a new one of this class, at most.
    pub fn ahead_of(&self, priority: u32) -> usize {
        self.classes.range(..=priority).map(|(_, class)| class.len()).sum()
    }

    /// Adds an entry. A full queue makes place at the cost of a lower class, or of the
    /// organisation that waits with the most for its weight, never of one with less than the
    /// newcomer's.
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

    /// The class of the entry that goes next.
    pub fn next_priority(&self) -> Option<u32> {
        let mut classes = self.classes.iter();
        classes.find(|(_, class)| !class.is_empty()).map(|(priority, _)| *priority)
    }

    /// The entry that goes next.
    pub fn peek(&self) -> Option<&T> {
        self.classes.values().find_map(FairShare::peek)
    }

    /// Takes out the entry that goes next.
    pub fn pop(&mut self) -> Option<T> {
        let item = self.classes.values_mut().find_map(FairShare::pop)?;
        self.length -= 1;
        self.classes.retain(|_, class| !class.is_idle());
        Some(item)
    }

    /// Takes out an entry that no longer waits; `false` where there is none.
    pub fn remove(&mut self, item: &T) -> bool {
        let mut classes = self.classes.values_mut();
        let removed =
            classes.any(|class| !class.remove_where(|waiting| waiting == item).is_empty());
        self.length -= usize::from(removed);
        removed
    }
}
