//! A bounded queue: priority classes first, and within a class fair shares by organisation.

use std::collections::{BTreeMap, HashMap, VecDeque};

use papayamux_state::ids::OrganisationId;

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

/// What came of adding an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// It waits.
    Waits,
    /// It waits in the place of another entry, which has to be refused.
    Displaced(T),
    /// There is no place for it.
    Full(T),
}

#[derive(Debug)]
struct OrganisationQueue<T> {
    /// The virtual time at which the organisation's next entry is due.
    due: f64,
    share: f64,
    items: VecDeque<T>,
}

impl<T> OrganisationQueue<T> {
    /// Entries by weight, with `more` added.
    fn weighted(&self, more: usize) -> f64 {
        (self.items.len() + more) as f64 / self.share
    }
}

/// One priority class, served by start-time fair queueing: of the organisations that wait, the
/// one whose next entry is due first in virtual time. Each entry moves its organisation's due time
/// on by the inverse of its weight, so that over time each gets its share, and one that sends
/// nothing can't save up.
#[derive(Debug)]
struct ClassQueue<T> {
    virtual_time: f64,
    organisations: HashMap<OrganisationId, OrganisationQueue<T>>,
}

impl<T> ClassQueue<T> {
    fn push(&mut self, entry: QueueEntry<T>) {
        let due = self.virtual_time;
        let share = f64::from(entry.share.max(1));
        let queue = self
            .organisations
            .entry(entry.organisation)
            .or_insert_with(|| OrganisationQueue { due, share, items: VecDeque::new() });
        if queue.items.is_empty() {
            queue.due = queue.due.max(due);
        }
        queue.share = share;
        queue.items.push_back(entry.item);
    }

    /// The organisation whose entry goes next.
    fn next(&self) -> Option<&OrganisationId> {
        let waiting = self.organisations.iter().filter(|(_, queue)| !queue.items.is_empty());
        let next = waiting.min_by(|(left_name, left), (right_name, right)| {
            left.due.total_cmp(&right.due).then_with(|| left_name.cmp(right_name))
        });
        next.map(|(name, _)| name)
    }

    fn peek(&self) -> Option<&T> {
        self.organisations.get(self.next()?)?.items.front()
    }

    fn pop(&mut self) -> Option<T> {
        let next = self.next()?.clone();
        let queue = self.organisations.get_mut(&next)?;
        let item = queue.items.pop_front();
        self.virtual_time = self.virtual_time.max(queue.due);
        queue.due += 1.0 / queue.share;
        let now = self.virtual_time;
        self.organisations.retain(|_, queue| !queue.items.is_empty() || queue.due > now);
        item
    }

    /// The organisation with the most entries for its weight.
    fn longest(&self) -> Option<(&OrganisationId, f64)> {
        let weighted = self.organisations.iter().map(|(name, queue)| (name, queue.weighted(0)));
        weighted.max_by(|left, right| left.1.total_cmp(&right.1).then_with(|| left.0.cmp(right.0)))
    }

    fn weighted_with_one_more(&self, organisation: &OrganisationId, share: u32) -> f64 {
        let queue = self.organisations.get(organisation);
        queue.map_or(1.0 / f64::from(share.max(1)), |queue| queue.weighted(1))
    }

    fn drop_newest(&mut self, organisation: &OrganisationId) -> Option<T> {
        self.organisations.get_mut(organisation)?.items.pop_back()
    }

    fn is_empty(&self) -> bool {
        self.organisations.values().all(|queue| queue.items.is_empty())
    }
}

/// The queue of an agent.
#[derive(Debug)]
pub struct FairQueue<T> {
    classes: BTreeMap<u32, ClassQueue<T>>,
    length: usize,
    longest: usize,
}

impl<T: PartialEq> FairQueue<T> {
    /// A queue of at most `longest` entries.
    pub fn new(longest: usize) -> Self {
        Self { classes: BTreeMap::new(), length: 0, longest }
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
        let classes = self.classes.range(..=priority);
        classes
            .flat_map(|(_, class)| class.organisations.values())
            .map(|queue| queue.items.len())
            .sum()
    }

    /// Adds an entry. A full queue makes place at the cost of a lower class, or of the
    /// organisation that waits with the most for its weight, never of one with less than the
    /// newcomer's.
    pub fn push(&mut self, entry: QueueEntry<T>) -> PushOutcome<T> {
        if self.length < self.longest {
            self.insert(entry);
            return PushOutcome::Waits;
        }
        match self.make_place(&entry) {
            Some(displaced) => {
                self.insert(entry);
                PushOutcome::Displaced(displaced)
            }
            None => PushOutcome::Full(entry.item),
        }
    }

    fn insert(&mut self, entry: QueueEntry<T>) {
        let fresh = || ClassQueue { virtual_time: 0.0, organisations: HashMap::new() };
        self.classes.entry(entry.priority).or_insert_with(fresh).push(entry);
        self.length += 1;
    }

    fn make_place(&mut self, entry: &QueueEntry<T>) -> Option<T> {
        let mut classes = self.classes.iter_mut().rev();
        let (priority, class) = classes.find(|(_, class)| !class.is_empty())?;
        if *priority < entry.priority {
            return None;
        }
        let (organisation, weighted) = class.longest()?;
        let own = class.weighted_with_one_more(&entry.organisation, entry.share);
        if *priority == entry.priority && weighted <= own {
            return None;
        }
        let organisation = organisation.clone();
        let displaced = class.drop_newest(&organisation)?;
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
        self.classes.values().find_map(ClassQueue::peek)
    }

    /// Takes out the entry that goes next.
    pub fn pop(&mut self) -> Option<T> {
        let item = self.classes.values_mut().find_map(ClassQueue::pop)?;
        self.length -= 1;
        self.classes.retain(|_, class| !class.organisations.is_empty());
        Some(item)
    }

    /// Takes out an entry that no longer waits; `false` where there is none.
    pub fn remove(&mut self, item: &T) -> bool {
        let classes = self.classes.values_mut();
        let mut queues = classes.flat_map(|class| class.organisations.values_mut());
        let removed = queues.any(|queue| {
            let index = queue.items.iter().position(|waiting| waiting == item);
            index.and_then(|index| queue.items.remove(index)).is_some()
        });
        self.length -= usize::from(removed);
        removed
    }
}
