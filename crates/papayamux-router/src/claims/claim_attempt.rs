//! An attempt to claim an idempotency key.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_protocol::link::{AgentClock, ClaimChange, ClaimNotice};
use papayamux_state::claims::{ClaimId, ClaimKey, RunLocation};

use crate::agents::AgentLink;

/// An attempt to claim a key, with the connections to the witnesses that it has asked.
pub struct ClaimAttempt {
    key: ClaimKey,
    claim: ClaimId,
    started: Instant,
    links: RefCell<Vec<Rc<AgentLink>>>,
    last_change: RefCell<Option<ClaimChange>>,
}

impl ClaimAttempt {
    /// Creates an attempt that began at `started`, before any witness was asked.
    pub fn new(key: ClaimKey, claim: ClaimId, started: Instant) -> Rc<Self> {
        let (links, last_change) = (RefCell::default(), RefCell::default());
        Rc::new(Self { key, claim, started, links, last_change })
    }

    /// Returns the id of the attempt's claim.
    pub fn claim(&self) -> ClaimId {
        self.claim
    }

    /// Returns the attempt's deadline on an agent's clock: `within` after the attempt began, even
    /// if the router was paused since. Returns `None` if it has passed.
    pub fn deadline(&self, link: &AgentLink, within: Duration) -> Option<AgentClock> {
        let clock = link.agent_clock();
        let left = within.checked_sub(self.started.elapsed())?;
        Some(clock.after(left))
    }

    /// Records the connection to a witness, which is notified of changes of the claim from now on.
    pub fn record_link(&self, link: Rc<AgentLink>) {
        self.links.borrow_mut().push(link);
    }

    /// Sends the last change of the claim again, for a witness that answered after it.
    pub fn send_last_change(&self, link: &AgentLink) {
        if let Some(change) = self.last_change.borrow().clone() {
            link.send_claim_notice(ClaimNotice { key: self.key, claim: self.claim, change });
        }
    }

    /// Notifies the witnesses of the server that the call is offered to.
    pub fn place(&self, place: RunLocation) {
        self.notify_witnesses(ClaimChange::Placed(place));
    }

    /// Notifies the witnesses that the call was not run under this claim and never will be.
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
        write!(formatter, "ClaimAttempt({} of {})", self.claim, self.key)
    }
}
