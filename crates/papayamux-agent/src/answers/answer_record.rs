//! One request at the agent: what has come of its answer, and which stream it goes out on.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use papayamux_protocol::link::{
    AgentMessage, AnswerData, AnswerEnd, AnswerHead, OpenRequest, RefusalNotice, ResumeNotice,
    ResumePoint, RetryRule, STREAM_WINDOW_BYTES,
};
use papayamux_state::ids::{OrganisationId, RequestId};
use papayamux_transport::link::LinkSender;
use papayamux_transport::shutdown::ShutdownSignal;

use super::held_bytes::HeldBytes;
use super::StoreLimits;
use papayamux_transport::agent_link::CONNECTION;

/// Bytes of one data frame at most.
const LONGEST_PIECE: usize = 64 * 1024;

/// A stream on one connection of one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttachmentKey {
    /// The connection's number at this agent.
    pub link: u64,
    /// The stream's number on it.
    pub stream: u64,
}

/// Where an answer goes out.
#[derive(Clone)]
pub struct Attachment {
    /// Which stream it is.
    pub key: AttachmentKey,
    /// The connection's sending half.
    pub sender: LinkSender<AgentMessage>,
}

impl Attachment {
    /// Says something about the stream.
    pub fn send(&self, message: AgentMessage) {
        self.sender.send(self.key.stream, message);
    }

    /// Says something to the router that does not concern the stream.
    pub fn tell(&self, message: AgentMessage) {
        self.sender.send(CONNECTION, message);
    }
}

/// Who reads the answer.
enum Reader {
    /// A router that holds an open stream.
    Attached(Attachment),
    /// Nobody, and somebody may come back until the time given.
    Awaited { until: Instant },
    /// Nobody any more.
    Gone,
}

/// How the record ended.
#[derive(Clone)]
enum RecordEnd {
    Answered(AnswerEnd),
    Refused(RefusalNotice),
}

struct RecordState {
    head: Option<AnswerHead>,
    held: HeldBytes,
    acknowledged: u64,
    sent: u64,
    end: Option<(RecordEnd, Instant)>,
    end_sent: bool,
    arrived: bool,
    reader: Reader,
}

/// The record of one admitted request. The task that runs it writes, the connections of routers
/// read.
pub struct AnswerRecord {
    id: RequestId,
    organisation: OrganisationId,
    may_cancel: bool,
    limits: StoreLimits,
    keeps_events: Cell<bool>,
    state: RefCell<RecordState>,
    moved: Cell<Option<ShutdownSignal>>,
    cancelled: ShutdownSignal,
}

impl AnswerRecord {
    /// The record of `open`, whose answer goes out on `attachment`.
    pub fn new(
        open: &OpenRequest,
        attachment: Attachment,
        limits: StoreLimits,
        held_total: Rc<Cell<u64>>,
    ) -> Rc<Self> {
        let state = RecordState {
            head: None,
            held: HeldBytes::new(held_total),
            acknowledged: 0,
            sent: 0,
            end: None,
            end_sent: false,
            arrived: false,
            reader: Reader::Attached(attachment),
        };
        Rc::new(Self {
            id: open.id,
            organisation: open.organisation.clone(),
            may_cancel: open.retry_rule == RetryRule::Idempotent,
            limits,
            keeps_events: Cell::new(false),
            state: RefCell::new(state),
            moved: Cell::new(None),
            cancelled: ShutdownSignal::new(),
        })
    }

    /// The request's id.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Whether the answer is that organisation's.
    pub fn belongs_to(&self, organisation: &OrganisationId) -> bool {
        self.organisation == *organisation
    }

    // What the running task does.

    /// Whether the run is to stop: nobody waits for it, and it may be run again.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.is_given()
    }

    /// Waits until the run is to stop.
    pub async fn wait_cancelled(&self) {
        self.cancelled.given().await;
    }

    /// The answer's head; `keeps_events` where its events may be asked for again by the caller.
    pub fn set_head(&self, head: AnswerHead, keeps_events: bool) {
        self.keeps_events.set(keeps_events);
        let mut state = self.state.borrow_mut();
        if let Reader::Attached(attachment) = &state.reader {
            attachment.send(AgentMessage::Head(head.clone()));
        }
        state.head = Some(head);
    }

    /// Says something to the router that reads the answer, if one does.
    pub fn tell(&self, message: AgentMessage) {
        if let Reader::Attached(attachment) = &self.state.borrow().reader {
            attachment.tell(message);
        }
    }

    /// Adds to the body, once the window has room for it.
    pub async fn append(&self, bytes: Bytes, event_ends: &[usize]) {
        if bytes.is_empty() {
            return;
        }
        self.wait_window().await;
        let mut state = self.state.borrow_mut();
        match state.reader {
            Reader::Gone => state.held.skip(bytes.len() as u64),
            _ => state.held.append(bytes, event_ends),
        }
        self.send_waiting(&mut state);
    }

    /// The answer has ended.
    pub fn finish(&self, end: AnswerEnd) {
        let mut state = self.state.borrow_mut();
        state.end = Some((RecordEnd::Answered(end), Instant::now()));
        self.send_waiting(&mut state);
    }

    /// The request was not run after all.
    pub fn refuse(&self, notice: RefusalNotice) {
        let mut state = self.state.borrow_mut();
        state.end = Some((RecordEnd::Refused(notice), Instant::now()));
        self.send_waiting(&mut state);
    }

    /// Bytes of the body so far.
    pub fn length(&self) -> u64 {
        self.state.borrow().held.end()
    }

    async fn wait_window(&self) {
        while self.is_window_full() && !self.cancelled.is_given() {
            let signal = ShutdownSignal::new();
            self.moved.set(Some(signal.clone()));
            signal.given().await;
        }
    }

    fn is_window_full(&self) -> bool {
        let state = self.state.borrow();
        let unread = state.held.end().saturating_sub(state.acknowledged);
        unread >= STREAM_WINDOW_BYTES && !matches!(state.reader, Reader::Gone)
    }

    fn note_move(&self) {
        if let Some(signal) = self.moved.take() {
            signal.give();
        }
    }

    // What the connections do.

    /// The router's caller has taken the answer up to `offset`.
    pub fn acknowledge(&self, key: AttachmentKey, offset: u64) {
        let mut state = self.state.borrow_mut();
        if !state.is_attached(key) || offset > state.sent {
            return;
        }
        state.acknowledged = state.acknowledged.max(offset);
        self.release(&mut state);
        self.send_waiting(&mut state);
        drop(state);
        self.note_move();
    }

    /// The router has the answer's end.
    pub fn arrive(&self, key: AttachmentKey) {
        let mut state = self.state.borrow_mut();
        if state.is_attached(key) {
            state.arrived = true;
            state.reader = Reader::Gone;
        }
    }

    /// The router's caller has gone. The caller of a streamed chat may come back to any router
    /// for a short while.
    pub fn cancel(&self, key: AttachmentKey) {
        let grace = match self.keeps_events.get() {
            true => self.limits.cancel_grace,
            false => Duration::ZERO,
        };
        self.detach(key, grace);
    }

    /// The connection was lost; its router may come back.
    pub fn lose(&self, key: AttachmentKey) {
        self.detach(key, self.limits.resume_within);
    }

    fn detach(&self, key: AttachmentKey, grace: Duration) {
        let mut state = self.state.borrow_mut();
        if !state.is_attached(key) {
            return;
        }
        state.reader = Reader::Awaited { until: Instant::now() + grace };
        drop(state);
        if grace.is_zero() {
            self.give_up();
        }
    }

    fn give_up(&self) {
        self.state.borrow_mut().reader = Reader::Gone;
        if self.may_cancel {
            self.cancelled.give();
        }
        self.note_move();
    }

    /// Whether something of the answer has still to be sent.
    pub fn is_flowing(&self) -> bool {
        !self.state.borrow().end_sent
    }

    /// Lets the answer go on at `from` on `attachment`; `false` where that part is not held.
    pub fn attach(&self, attachment: Attachment, from: ResumePoint) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(offset) = state.offset_of(from) else { return false };
        if self.cancelled.is_given() {
            return false;
        }
        if let Reader::Attached(previous) = &state.reader {
            let elsewhere = "the answer goes on on another connection".to_string();
            previous.send(AgentMessage::End(AnswerEnd::Failed(elsewhere)));
        }
        attachment.send(AgentMessage::Resumed(ResumeNotice { offset, head: state.head.clone() }));
        state.reader = Reader::Attached(attachment);
        (state.sent, state.acknowledged) = (offset, offset);
        (state.end_sent, state.arrived) = (false, false);
        self.send_waiting(&mut state);
        drop(state);
        self.note_move();
        true
    }

    /// Sends what the window lets through, and the end behind it.
    fn send_waiting(&self, state: &mut RecordState) {
        let Reader::Attached(attachment) = &state.reader else { return };
        while state.sent < state.acknowledged + STREAM_WINDOW_BYTES {
            let Some(bytes) = state.held.piece_at(state.sent, LONGEST_PIECE) else { break };
            let offset = state.sent;
            state.sent += bytes.len() as u64;
            attachment.send(AgentMessage::Data(AnswerData { offset, bytes }));
        }
        let all_sent = state.sent == state.held.end();
        if let (Some((end, _)), true, false) = (&state.end, all_sent, state.end_sent) {
            state.end_sent = true;
            attachment.send(match end.clone() {
                RecordEnd::Answered(end) => AgentMessage::End(end),
                RecordEnd::Refused(notice) => AgentMessage::Refused(notice),
            });
        }
    }

    /// Lets go of what no one may ask for again.
    fn release(&self, state: &mut RecordState) {
        let kept = match self.keeps_events.get() {
            true => self.limits.answer_bytes,
            false => 0,
        };
        let oldest_kept = state.held.end().saturating_sub(kept);
        let acknowledged = state.acknowledged;
        state.held.release_to(acknowledged.min(oldest_kept));
    }

    // What the store does.

    /// Lets go of all that has been acknowledged, also what a caller might ask for again.
    pub fn release_acknowledged(&self) {
        let mut state = self.state.borrow_mut();
        let acknowledged = state.acknowledged;
        state.held.release_to(acknowledged);
    }

    /// When the answer ended, if it did.
    pub fn ended_at(&self) -> Option<Instant> {
        self.state.borrow().end.as_ref().map(|(_, at)| *at)
    }

    /// Whether a router still has to receive something of the answer, or may come back for it.
    pub fn is_awaited(&self) -> bool {
        !matches!(self.state.borrow().reader, Reader::Gone)
    }

    /// Gives up on a reader that did not come back; `true` where the record is not needed any
    /// more at `now`.
    pub fn is_expired(&self, now: Instant) -> bool {
        let overdue = match &self.state.borrow().reader {
            Reader::Awaited { until } => *until <= now,
            _ => false,
        };
        if overdue {
            self.give_up();
        }
        let Some(ended) = self.ended_at() else { return false };
        let state = self.state.borrow();
        let keep = match self.keeps_events.get() {
            _ if self.is_cancelled() => Duration::ZERO,
            true => self.limits.keep_for,
            false if state.arrived => Duration::ZERO,
            false => self.limits.resume_within,
        };
        let is_read = matches!(state.reader, Reader::Attached(_)) && !state.end_sent;
        !is_read && now.saturating_duration_since(ended) >= keep
    }
}

impl RecordState {
    fn is_attached(&self, key: AttachmentKey) -> bool {
        matches!(&self.reader, Reader::Attached(attachment) if attachment.key == key)
    }

    fn offset_of(&self, from: ResumePoint) -> Option<u64> {
        let offset = match from {
            ResumePoint::Offset(offset) => offset,
            ResumePoint::AfterEvent(number) => self.held.after_event(number)?,
        };
        (offset >= self.held.start() && offset <= self.held.end()).then_some(offset)
    }
}
