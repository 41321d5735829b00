//! One request's stream, over however many connections it takes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use local_sync::mpsc::unbounded;
use papayamux_protocol::link::{
    AgentClock, AnswerData, AnswerHead, ResumeNotice, ResumePoint, ResumeRequest, RouterMessage,
};
use papayamux_state::ids::{Incarnation, OrganisationId, RequestId};

use super::agent_link::AgentLink;
use super::StreamEvent;

/// Connections in a row that may be lost without bringing anything of the answer.
const MAX_UNPRODUCTIVE_LINKS: u32 = 4;

/// What a stream is for.
#[derive(Debug, Clone)]
pub struct StreamOrigin {
    /// The attempt's id.
    pub id: RequestId,
    /// The agent's life, where the stream depends on it.
    pub agent: Option<Incarnation>,
    /// Who called.
    pub organisation: OrganisationId,
    /// The attempt's deadline to start, where this router made the attempt.
    pub start_before: Option<AgentClock>,
    /// Whether the request may be run again elsewhere before its head has come.
    pub idempotent: bool,
}

/// The connection that a stream is on, with its number there.
struct StreamAttachment {
    link: Rc<AgentLink>,
    stream: u64,
}

/// A stream's state, shared by the connection that brings its events and the handle that takes
/// them.
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
    /// A stream that starts at `point`.
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

    /// What the stream is for.
    pub fn origin(&self) -> &StreamOrigin {
        &self.origin
    }

    /// Puts the stream on a connection.
    pub fn attach(&self, link: Rc<AgentLink>, stream: u64) {
        *self.attachment.borrow_mut() = Some(StreamAttachment { link, stream });
    }

    /// Takes the stream off its lost connection; `false` where no other one is to be tried.
    pub fn detach(&self) -> bool {
        self.attachment.borrow_mut().take();
        self.unproductive_links.set(self.unproductive_links.get() + 1);
        !self.closed.get() && self.unproductive_links.get() <= MAX_UNPRODUCTIVE_LINKS
    }

    /// Whether the handle has been dropped, or the stream has ended.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Whether the request may be tried elsewhere at once when its agent can't be reached.
    pub fn may_retry_elsewhere(&self) -> bool {
        self.origin.idempotent && !self.head_received.get()
    }

    /// Whether the agent has still to say a first word about the stream.
    pub fn awaits_head(&self) -> bool {
        !self.head_received.get()
    }

    /// What to ask the agent for on a new connection.
    pub fn resume_request(&self) -> ResumeRequest {
        ResumeRequest {
            id: self.origin.id,
            agent: self.origin.agent,
            organisation: self.origin.organisation.clone(),
            start_before: self.origin.start_before,
            from: self.point.get(),
        }
    }

    /// Sends something about the stream, where it is on a connection.
    pub fn send(&self, message: RouterMessage) {
        if let Some(attachment) = &*self.attachment.borrow() {
            attachment.link.send(attachment.stream, message);
        }
    }

    /// Closes the stream with a last word to the agent.
    pub fn close(&self, last: RouterMessage) {
        if self.closed.replace(true) {
            return;
        }
        if let Some(attachment) = self.attachment.borrow_mut().take() {
            attachment.link.close_stream(attachment.stream);
            attachment.link.send(attachment.stream, last);
        }
    }

    /// Gives up on the stream.
    pub fn mark_lost(&self) {
        self.closed.set(true);
        self.attachment.borrow_mut().take();
        let _ = self.events.send(StreamEvent::Lost);
    }

    /// The answer's head has come; another one after a resume is not passed on.
    pub fn receive_head(&self, head: AnswerHead) {
        if !self.head_received.replace(true) {
            let _ = self.events.send(StreamEvent::Head(head));
        }
    }

    /// The answer goes on; `false` where it goes on at another place than asked for.
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

    /// A piece has come; `false` where it is not the next.
    pub fn receive_data(&self, data: AnswerData) -> bool {
        if self.point.get() != ResumePoint::Offset(data.offset) {
            return false;
        }
        self.point.set(ResumePoint::Offset(data.offset + data.bytes.len() as u64));
        self.unproductive_links.set(0);
        let _ = self.events.send(StreamEvent::Data(data));
        true
    }

    /// Whether an answer of `length` bytes has come to its end.
    pub fn has_all(&self, length: u64) -> bool {
        self.point.get() == ResumePoint::Offset(length)
    }

    /// The stream's last event has come.
    pub fn receive_end(&self, event: StreamEvent) {
        self.close(RouterMessage::Received);
        let _ = self.events.send(event);
    }
}
