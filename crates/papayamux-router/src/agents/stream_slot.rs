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
const MOST_FRUITLESS: u32 = 4;

/// What a stream is for.
#[derive(Debug, Clone)]
pub struct SlotOrigin {
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
struct StreamSeat {
    link: Rc<AgentLink>,
    stream: u64,
}

/// A stream's state, shared by the connection that brings its events and the handle that takes
/// them.
pub struct StreamSlot {
    origin: SlotOrigin,
    events: unbounded::Tx<StreamEvent>,
    seat: RefCell<Option<StreamSeat>>,
    point: Cell<ResumePoint>,
    head_came: Cell<bool>,
    fruitless: Cell<u32>,
    closed: Cell<bool>,
}

impl StreamSlot {
    /// A stream that starts at `point`.
    pub fn new(
        origin: SlotOrigin,
        point: ResumePoint,
        events: unbounded::Tx<StreamEvent>,
    ) -> Rc<Self> {
        Rc::new(Self {
            origin,
            events,
            seat: RefCell::default(),
            point: Cell::new(point),
            head_came: Cell::new(false),
            fruitless: Cell::new(0),
            closed: Cell::new(false),
        })
    }

    /// What the stream is for.
    pub fn origin(&self) -> &SlotOrigin {
        &self.origin
    }

    /// Puts the stream on a connection.
    pub fn sit(&self, link: Rc<AgentLink>, stream: u64) {
        *self.seat.borrow_mut() = Some(StreamSeat { link, stream });
    }

    /// Takes the stream off its lost connection; `false` where no other one is to be tried.
    pub fn rise(&self) -> bool {
        self.seat.borrow_mut().take();
        self.fruitless.set(self.fruitless.get() + 1);
        !self.closed.get() && self.fruitless.get() <= MOST_FRUITLESS
    }

    /// Whether the handle has been dropped, or the stream has ended.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Whether the request may be tried elsewhere at once when its agent can't be reached.
    pub fn may_move(&self) -> bool {
        self.origin.idempotent && !self.head_came.get()
    }

    /// Whether the agent has still to say a first word about the stream.
    pub fn awaits_head(&self) -> bool {
        !self.head_came.get()
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
        if let Some(seat) = &*self.seat.borrow() {
            seat.link.send(seat.stream, message);
        }
    }

    /// Closes the stream with a last word to the agent.
    pub fn close(&self, last: RouterMessage) {
        if self.closed.replace(true) {
            return;
        }
        if let Some(seat) = self.seat.borrow_mut().take() {
            seat.link.close_stream(seat.stream);
            seat.link.send(seat.stream, last);
        }
    }

    /// Gives up on the stream.
    pub fn lose(&self) {
        self.closed.set(true);
        self.seat.borrow_mut().take();
        let _ = self.events.send(StreamEvent::Lost);
    }

    /// The answer's head has come; another one after a resume is not passed on.
    pub fn take_head(&self, head: AnswerHead) {
        if !self.head_came.replace(true) {
            let _ = self.events.send(StreamEvent::Head(head));
        }
    }

    /// The answer goes on; `false` where it goes on at another place than asked for.
    pub fn take_resumed(&self, notice: ResumeNotice) -> bool {
        if let ResumePoint::Offset(offset) = self.point.get() {
            if offset != notice.offset {
                return false;
            }
        }
        self.point.set(ResumePoint::Offset(notice.offset));
        if let Some(head) = notice.head {
            self.take_head(head);
        }
        true
    }

    /// A piece has come; `false` where it is not the next.
    pub fn take_data(&self, data: AnswerData) -> bool {
        if self.point.get() != ResumePoint::Offset(data.offset) {
            return false;
        }
        self.point.set(ResumePoint::Offset(data.offset + data.bytes.len() as u64));
        self.fruitless.set(0);
        let _ = self.events.send(StreamEvent::Data(data));
        true
    }

    /// Whether an answer of `length` bytes has come to its end.
    pub fn has_all(&self, length: u64) -> bool {
        self.point.get() == ResumePoint::Offset(length)
    }

    /// The stream's last event has come.
    pub fn take_end(&self, event: StreamEvent) {
        self.close(RouterMessage::Received);
        let _ = self.events.send(event);
    }
}
