//! The pending probes of a connection, and the loads that arrive with their replies.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use local_sync::oneshot;
use papayamux_protocol::link::ProbeReply;
use papayamux_state::ids::ServerId;
use papayamux_state::load::LoadReport;

use crate::routing::LoadTracker;

/// The pending probes of a connection, by stream number.
pub struct PendingProbes {
    server: ServerId,
    loads: Rc<LoadTracker>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<ProbeReply>>>,
}

impl PendingProbes {
    /// Creates an empty set for a connection to the agent of `server`.
    pub fn new(server: ServerId, loads: Rc<LoadTracker>) -> Self {
        Self { server, loads, waiting: RefCell::default() }
    }

    /// Registers a probe on a stream and returns the receiver of its reply.
    pub fn begin(&self, stream: u64) -> oneshot::Receiver<ProbeReply> {
        let (answer, answered) = oneshot::channel();
        self.waiting.borrow_mut().insert(stream, answer);
        answered
    }

    /// Removes the probe on a stream.
    pub fn end(&self, stream: u64) {
        self.waiting.borrow_mut().remove(&stream);
    }

    /// Returns whether no probe is pending.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Removes all probes, after which their receivers fail. Called when the connection is lost.
    pub fn clear(&self) {
        self.waiting.borrow_mut().clear();
    }

    /// Records the load that the agent reported.
    pub fn record_load(&self, report: LoadReport) {
        self.loads.record_report(&self.server, report, Instant::now());
    }

    /// Delivers the reply to a probe. Returns `false` if no probe waits for it.
    pub fn deliver_reply(&self, stream: u64, reply: ProbeReply) -> bool {
        self.record_load(reply.load);
        let answer = self.waiting.borrow_mut().remove(&stream);
        answer.is_some_and(|answer| answer.send(reply).is_ok())
    }
}
