//! The state of a request's stream, which may span several connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use local_sync::mpsc::unbounded;
use papayamux_protocol::link::{
    AgentClock, AnswerData, AnswerHead, ResumeNotice, ResumePoint, ResumeRequest, RouterMessage,
};
use papayamux_state::ids::{Incarnation, OrganisationId, RequestId};

use super::agent_link::AgentLink;
use super::StreamEvent;

/// Maximum number of consecutive connections that may be lost without delivering answer data.
const MAX_UNPRODUCTIVE_LINKS: u32 = 4;

/// The request that a stream belongs to.
#[derive(Debug, Clone)]
pub struct StreamOrigin {
    /// The attempt's id.
    pub id: RequestId,
    /// The agent's incarnation, if the stream depends on it.
    pub agent: Option<Incarnation>,
    /// The calling organisation.
    pub organisation: OrganisationId,
    /// The attempt's deadline to start, if this router made the attempt.
    pub start_before: Option<AgentClock>,
    /// Whether the request may be retried on another server before its head has arrived.
    pub idempotent: bool,
}

/// The connection that a stream is attached to, with the stream's number on it.
struct StreamAttachment {
    link: Rc<AgentLink>,
    stream: u64,
}

/// The state of a stream, shared by the connection that delivers its events and the handle that
/// consumes them.
pub struct StreamState {
    origin: StreamOrigin,
    events: unbounded::Tx<StreamEvent>,
    attachment: RefCell<Option<StreamAttachment>>,
    point: Cell<ResumePoint>,
    head_received: Cell<bool>,
    unproductive_links: Cell<u32>,
    closed: Cell<bool>,
}

impl StreamState {
    /// Creates a stream that starts at `point`.
    pub fn new(
        origin: StreamOrigin,
        point: ResumePoint,
        events: unbounded::Tx<StreamEvent>,
    ) -> Rc<Self> {
        Rc::new(Self {
            origin,
            events,
            attachment: RefCell::default(),
            point: Cell::new(point),
            head_received: Cell::new(false),
            unproductive_links: Cell::new(0),
            closed: Cell::new(false),
        })
    }

    /// Returns the request that the stream belongs to.
    pub fn origin(&self) -> &StreamOrigin {
        &self.origin
    }

    /// Attaches the stream to a connection.
    pub fn attach(&self, link: Rc<AgentLink>, stream: u64) {
        *self.attachment.borrow_mut() = Some(StreamAttachment { link, stream });
    }

    /// Detaches the stream from its lost connection. Returns `false` if it must not be resumed on
    /// another one.
    pub fn detach(&self) -> bool {
        self.attachment.borrow_mut().take();
        self.unproductive_links.set(self.unproductive_links.get() + 1);
        !self.closed.get() && self.unproductive_links.get() <= MAX_UNPRODUCTIVE_LINKS
    }

    /// Returns whether the handle has been dropped or the stream has ended.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Returns whether the request may be retried on another server at once if its agent is
    /// unreachable.
    pub fn may_retry_elsewhere(&self) -> bool {
        self.origin.idempotent && !self.head_received.get()
    }

    /// Returns whether the head of the answer hasn't arrived yet.
    pub fn awaits_head(&self) -> bool {
        !self.head_received.get()
    }

    /// Returns the request that resumes the stream on a new connection.
    pub fn resume_request(&self) -> ResumeRequest {
        ResumeRequest {
            id: self.origin.id,
            agent: self.origin.agent,
            organisation: self.origin.organisation.clone(),
            start_before: self.origin.start_before,
            from: self.point.get(),
        }
    }

    /// Sends a message on the stream, if it is attached to a connection.
    pub fn send(&self, message: RouterMessage) {
        if let Some(attachment) = &*self.attachment.borrow() {
            attachment.link.send(attachment.stream, message);
        }
    }

    /// Closes the stream and sends `last` to the agent, if the stream is attached to a connection.
    pub fn close(&self, last: RouterMessage) {
        if self.closed.replace(true) {
            return;
        }
        if let Some(attachment) = self.attachment.borrow_mut().take() {
            attachment.link.close_stream(attachment.stream);
            attachment.link.send(attachment.stream, last);
        }
    }

    /// Closes the stream and reports it as lost.
    pub fn mark_lost(&self) {
        self.closed.set(true);
        self.attachment.borrow_mut().take();
        let _ = self.events.send(StreamEvent::Lost);
    }

    /// Passes on the head of the answer. A head that arrives again after a resume is ignored.
    pub fn receive_head(&self, head: AnswerHead) {
        if !self.head_received.replace(true) {
            let _ = self.events.send(StreamEvent::Head(head));
        }
    }

    /// Handles the agent's notice that the stream is resumed. Returns `false` if the offset differs
    /// from the requested one.
    pub fn receive_resumed(&self, notice: ResumeNotice) -> bool {
        if let ResumePoint::Offset(offset) = self.point.get() {
            if offset != notice.offset {
                return false;
            }
        }
        self.point.set(ResumePoint::Offset(notice.offset));
        if let Some(head) = notice.head {
            self.receive_head(head);
        }
        true
    }

    /// Passes on a piece of the answer. Returns `false` if it doesn't continue the previous one.
    pub fn receive_data(&self, data: AnswerData) -> bool {
        if self.point.get() != ResumePoint::Offset(data.offset) {
            return false;
        }
        self.point.set(ResumePoint::Offset(data.offset + data.bytes.len() as u64));
        self.unproductive_links.set(0);
        let _ = self.events.send(StreamEvent::Data(data));
        true
    }

    /// Returns whether all `length` bytes of the answer have arrived.
    pub fn has_all(&self, length: u64) -> bool {
        self.point.get() == ResumePoint::Offset(length)
    }

    /// Closes the stream, confirms receipt to the agent and passes on the last event.
    pub fn receive_end(&self, event: StreamEvent) {
        self.close(RouterMessage::Received);
        let _ = self.events.send(event);
    }
}
