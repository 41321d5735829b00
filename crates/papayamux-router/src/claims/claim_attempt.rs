//! A key that an attempt holds.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_protocol::link::{AgentClock, ClaimChange, ClaimNotice};
use papayamux_state::claims::{ClaimId, ClaimKey, RunPlace};

use crate::agents::AgentLink;

/// An attempt that has claimed a key, with the connections on which it did so.
pub struct ClaimAttempt {
    key: ClaimKey,
    claim: ClaimId,
    started: Instant,
    links: RefCell<Vec<Rc<AgentLink>>>,
    last_change: RefCell<Option<ClaimChange>>,
}

impl ClaimAttempt {
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
    pub fn record_link(&self, link: Rc<AgentLink>) {
        self.links.borrow_mut().push(link);
    }

    /// Tells a witness that answered late what has become of the attempt meanwhile.
    pub fn send_last_change(&self, link: &AgentLink) {
        if let Some(change) = self.last_change.borrow().clone() {
            link.send_claim_notice(ClaimNotice { key: self.key, claim: self.claim, change });
        }
    }

    /// Tells the witnesses where the attempt is brought to.
    pub fn place(&self, place: RunPlace) {
        self.notify_witnesses(ClaimChange::Placed(place));
    }

    /// Tells the witnesses that the attempt was not run and never will be.
    pub fn release(&self) {
        self.notify_witnesses(ClaimChange::Released);
    }

    fn notify_witnesses(&self, change: ClaimChange) {
        *self.last_change.borrow_mut() = Some(change.clone());
        let notice = ClaimNotice { key: self.key, claim: self.claim, change };
        for link in &*self.links.borrow() {
            link.send_claim_notice(notice.clone());
        }
    }
}

impl fmt::Debug for ClaimAttempt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ClaimHold({} of {})", self.claim, self.key)
    }
}
