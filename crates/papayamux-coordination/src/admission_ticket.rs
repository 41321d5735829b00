//! The wait of a request that has no slot yet.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use papayamux_protocol::link::AgentClock;
use papayamux_state::ids::RequestId;
use papayamux_state::load::GroupId;
use papayamux_state::refusal::RefusalReason;

use crate::admission::{AdmissionController, AdmissionPermit};

/// The result of a queued request.
type TicketOutcome = Result<AdmissionPermit, RefusalReason>;

#[derive(Debug, Default)]
struct TicketWait {
    outcome: Option<TicketOutcome>,
    waker: Option<Waker>,
}

/// The state that the controller and the ticket share.
#[derive(Debug)]
pub(crate) struct TicketState {
    pub(crate) group: Option<GroupId>,
    wait: RefCell<TicketWait>,
}

impl TicketState {
    pub(crate) fn new(group: Option<GroupId>) -> Self {
        Self { group, wait: RefCell::default() }
    }

    pub(crate) fn resolve(&self, outcome: TicketOutcome) {
        let mut wait = self.wait.borrow_mut();
        wait.outcome = Some(outcome);
        if let Some(waker) = wait.waker.take() {
            waker.wake();
        }
    }

    fn poll(&self, context: &mut Context<'_>) -> Poll<TicketOutcome> {
        let mut wait = self.wait.borrow_mut();
        match wait.outcome.take() {
            Some(outcome) => Poll::Ready(outcome),
            None => {
                wait.waker = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }
}

/// A position in the queue. Dropping it removes the request from the queue.
#[derive(Debug)]
pub struct AdmissionTicket {
    controller: Rc<AdmissionController>,
    id: RequestId,
    state: Rc<TicketState>,
    deadline: AgentClock,
}

impl AdmissionTicket {
    pub(crate) fn new(
        controller: Rc<AdmissionController>,
        id: RequestId,
        state: Rc<TicketState>,
        deadline: AgentClock,
    ) -> Self {
        Self { controller, id, state, deadline }
    }

    /// Returns the time by which the request needs a slot.
    pub fn deadline(&self) -> AgentClock {
        self.deadline
    }

    /// Waits for a slot, or for the refusal if another request displaces this one.
    pub async fn granted(&self) -> Result<AdmissionPermit, RefusalReason> {
        poll_fn(|context| self.state.poll(context)).await
    }
}

impl Drop for AdmissionTicket {
    fn drop(&mut self) {
        self.controller.withdraw(&self.id);
    }
}
