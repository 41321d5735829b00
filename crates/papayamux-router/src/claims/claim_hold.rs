//! A key that an attempt holds.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_protocol::link::{AgentClock, ClaimChange, ClaimNotice};
use papayamux_state::claims::{ClaimId, ClaimKey, RunLocation};

use crate::agents::AgentLink;

/// An attempt that has claimed a key, with the connections on which it did so.
pub struct ClaimHold {
    key: ClaimKey,
    claim: ClaimId,
    started: Instant,
    links: RefCell<Vec<Rc<AgentLink>>>,
    last_change: RefCell<Option<ClaimChange>>,
}

impl ClaimHold {
    /// An attempt that began at `started`, before any witness was asked.
    pub fn new(key: ClaimKey, claim: ClaimId, started: Instant) -> Rc<Self> {
        let (links, last_change) = (RefCell::default(), RefCell::default());
        Rc::new(Self { key, claim, started, links, last_change })
    }

    /// The attempt.
    pub fn claim(&self) -> ClaimId {
        self.claim
    }

    /// The time on an agent's clock before which the attempt must have got what it asks for: at
    /// most `within` after it began, however long the router was paused since.
    pub fn deadline(&self, link: &AgentLink, within: Duration) -> Option<AgentClock> {
        let clock = link.agent_clock();
        let left = within.checked_sub(self.started.elapsed())?;
        Some(clock.after(left))
    }

    /// Notes that a witness is being asked on `link`.
    pub fn note_asked(&self, link: Rc<AgentLink>) {
        self.links.borrow_mut().push(link);
    }

    /// Tells a witness that answered late what has become of the attempt meanwhile.
    pub fn catch_up(&self, link: &AgentLink) {
        if let Some(change) = self.last_change.borrow().clone() {
            link.tell_claim(ClaimNotice { key: self.key, claim: self.claim, change });
        }
    }

    /// Tells the witnesses where the attempt is brought to.
    pub fn place(&self, place: RunLocation) {
        self.tell(ClaimChange::Placed(place));
    }

    /// Tells the witnesses that the attempt was not run and never will be.
    pub fn release(&self) {
        self.tell(ClaimChange::Released);
    }

    fn tell(&self, change: ClaimChange) {
        *self.last_change.borrow_mut() = Some(change.clone());
        let notice = ClaimNotice { key: self.key, claim: self.claim, change };
        for link in &*self.links.borrow() {
            link.tell_claim(notice.clone());
        }
    }
}

impl fmt::Debug for ClaimHold {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ClaimHold({} of {})", self.claim, self.key)
    }
}
