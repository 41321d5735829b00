//! An agent's decision whether to take a request.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashSet};
use std::rc::Rc;

use papayamux_protocol::link::{AgentClock, OpenRequest};
use papayamux_state::ids::{Incarnation, RequestId};
use papayamux_state::quantities::RequestCount;
use papayamux_state::refusal::RefusalReason;

/// Ids of requests that were seen, each kept until its own deadline refuses it.
#[derive(Debug, Default)]
struct SeenRequests {
    ids: HashSet<RequestId>,
    expiries: BTreeSet<(AgentClock, RequestId)>,
}

impl SeenRequests {
    /// Notes `id`; `false` where it was seen before.
    fn note(&mut self, id: RequestId, start_before: AgentClock, now: AgentClock) -> bool {
        while let Some((expiry, expired)) = self.expiries.first().copied() {
            if expiry > now {
                break;
            }
            self.expiries.pop_first();
            self.ids.remove(&expired);
        }
        self.expiries.insert((start_before, id));
        self.ids.insert(id)
    }
}

/// The agent's book of what it has admitted.
///
/// A request that it refuses is never run: the id is remembered until the request's deadline has
/// passed on the agent's clock, and from then on the deadline refuses it.
#[derive(Debug)]
pub struct AdmissionBook {
    incarnation: Incarnation,
    capacity: RequestCount,
    running: Cell<u64>,
    leaving: Cell<bool>,
    seen: RefCell<SeenRequests>,
}

/// A place among the running requests; dropping it frees the place.
#[derive(Debug)]
pub struct AdmissionPermit {
    book: Rc<AdmissionBook>,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.book.running.set(self.book.running.get() - 1);
    }
}

impl AdmissionBook {
    /// A book for one life of an agent that runs at most `capacity` requests at once.
    pub fn new(incarnation: Incarnation, capacity: RequestCount) -> Rc<Self> {
        Rc::new(Self {
            incarnation,
            capacity,
            running: Cell::new(0),
            leaving: Cell::new(false),
            seen: RefCell::default(),
        })
    }

    /// Takes no new work from now on.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Whether the agent takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Requests admitted and not finished.
    pub fn running(&self) -> RequestCount {
        RequestCount::new(self.running.get())
    }

    /// Refuses a request that never came, from `now` until its own deadline does so; `false`
    /// where it came, or where that can't be told any more.
    pub fn refuse_unseen(&self, id: RequestId, start_before: AgentClock, now: AgentClock) -> bool {
        now < start_before && self.seen.borrow_mut().note(id, start_before, now)
    }

    /// Decides on a request at `now`.
    pub fn admit(
        self: &Rc<Self>,
        open: &OpenRequest,
        now: AgentClock,
    ) -> Result<AdmissionPermit, RefusalReason> {
        if open.agent != self.incarnation {
            return Err(RefusalReason::WrongIncarnation);
        }
        if now >= open.start_before {
            return Err(RefusalReason::DeadlinePassed);
        }
        if !self.seen.borrow_mut().note(open.id, open.start_before, now) {
            return Err(RefusalReason::SeenBefore);
        }
        if self.leaving.get() {
            return Err(RefusalReason::Leaving);
        }
        if self.running.get() >= self.capacity.get() {
            return Err(RefusalReason::AtCapacity);
        }
        self.running.set(self.running.get() + 1);
        Ok(AdmissionPermit { book: self.clone() })
    }
}
