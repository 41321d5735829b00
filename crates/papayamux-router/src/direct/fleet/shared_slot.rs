//! A request in the shared queue of its service, and the slot that it holds.

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use papayamux_coordination::service_queue::QueueRefusal;
use papayamux_state::backend::BackendServer;
use papayamux_state::ids::{ServerKey, ServiceId};
use papayamux_state::shared_queue::TicketNumber;
use papayamux_transport::shutdown::ShutdownSignal;

use super::Fleet;

/// What the owner of a shared queue knew when it refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::direct) struct OwnerKnowledge {
    /// The owner.
    pub owner: IpAddr,
    /// Age of this router's report on which the decision is based.
    pub age: Duration,
}

/// The decision on a request in a shared queue.
#[derive(Debug, Clone)]
pub(super) enum SharedOutcome {
    /// The request may be sent to this server.
    Granted(ServerKey),
    /// The request would wait longer than it can.
    Refused(QueueRefusal, Option<OwnerKnowledge>),
    /// No owner answers.
    Abandoned,
}

/// A request that waits in a shared queue.
#[derive(Debug, Default)]
pub(super) struct SharedTicket {
    pub(super) outcome: RefCell<Option<SharedOutcome>>,
    pub(super) decided: ShutdownSignal,
}

impl SharedTicket {
    pub(super) fn decide(&self, outcome: SharedOutcome) {
        *self.outcome.borrow_mut() = Some(outcome);
        self.decided.trigger();
    }
}

/// Keeps a request in the shared queue, and holds its slot once it is granted. Dropping it removes
/// the request from the queue and frees the slot.
pub(in crate::direct) struct SharedSlot {
    pub(super) fleet: Rc<Fleet>,
    pub(super) queue: ServiceId,
    pub(super) number: TicketNumber,
    pub(super) granted: Option<ServerKey>,
}

impl SharedSlot {
    /// Returns the server of the slot.
    pub(in crate::direct) fn server(&self) -> Option<ServerKey> {
        self.granted
    }

    /// Records the server that the request is sent to.
    pub(in crate::direct) fn record_server(&self, server: &BackendServer) {
        let server = ServerKey::from(&server.id);
        if self.granted != Some(server) {
            self.fleet.metrics.shared_queue.count("elsewhere");
        }
        self.fleet.record_shared_server(&self.queue, self.number, server);
    }
}

impl Drop for SharedSlot {
    fn drop(&mut self) {
        self.fleet.close_shared_ticket(&self.queue, self.number);
    }
}
