//! Probes on one connection that wait for their answers, and the loads that come with them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use local_sync::oneshot;
use papayamux_protocol::link::ProbeReply;
use papayamux_state::ids::ServerId;
use papayamux_state::load::LoadReport;

use crate::routing::LoadTracker;

/// Probes by the number of their stream.
pub struct PendingProbes {
    server: ServerId,
    loads: Rc<LoadTracker>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<ProbeReply>>>,
}

impl PendingProbes {
    /// No probes yet on a connection to the agent of `server`.
    pub fn new(server: ServerId, loads: Rc<LoadTracker>) -> Self {
        Self { server, loads, waiting: RefCell::default() }
    }

    /// Waits for the answer on a stream from now on.
    pub fn begin(&self, stream: u64) -> oneshot::Receiver<ProbeReply> {
        let (answer, answered) = oneshot::channel();
        self.waiting.borrow_mut().insert(stream, answer);
        answered
    }

    /// Waits no longer for the answer on a stream.
    pub fn end(&self, stream: u64) {
        self.waiting.borrow_mut().remove(&stream);
    }

    /// Whether no answer is waited for.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Gives up on all answers: the connection is lost.
    pub fn clear(&self) {
        self.waiting.borrow_mut().clear();
    }

    /// The agent has told its load.
    pub fn record_load(&self, report: LoadReport) {
        self.loads.record_report(&self.server, report, Instant::now());
    }

    /// An answer has come; `false` where nobody waits for it.
    pub fn deliver_reply(&self, stream: u64, reply: ProbeReply) -> bool {
        self.record_load(reply.load);
        let answer = self.waiting.borrow_mut().remove(&stream);
        answer.is_some_and(|answer| answer.send(reply).is_ok())
    }
}
