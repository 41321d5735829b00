//! The record of one request: the answer so far and the stream that delivers it.

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

use super::buffered_bytes::BufferedBytes;
use super::StoreLimits;
use papayamux_transport::agent_link::CONTROL_STREAM;

/// Maximum number of body bytes in one data frame.
const MAX_PIECE_BYTES: usize = 64 * 1024;

/// Identifies a stream on a router's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttachmentKey {
    /// The number that this agent gave the connection.
    pub link: u64,
    /// The number of the stream within the connection.
    pub stream: u64,
}

/// The stream that delivers an answer.
#[derive(Clone)]
pub struct Attachment {
    /// Identifies the stream.
    pub key: AttachmentKey,
    /// The sending half of the connection.
    pub sender: LinkSender<AgentMessage>,
}

impl Attachment {
    /// Sends a message on the stream.
    pub fn send(&self, message: AgentMessage) {
        self.sender.send(self.key.stream, message);
    }

    /// Sends the router a message that concerns the connection rather than the stream.
    pub fn send_on_connection(&self, message: AgentMessage) {
        self.sender.send(CONTROL_STREAM, message);
    }
}

/// The reader of an answer.
enum Reader {
    /// A router reads the answer on an open stream.
    Attached(Attachment),
    /// No router reads the answer; the run waits until `deadline` for one to resume it.
    Awaited { deadline: Instant },
    /// No router reads the answer, and the run doesn't wait for one. Bytes that are still
    /// buffered can be resumed.
    Detached,
}

/// The final state of a record.
#[derive(Clone)]
enum RecordEnd {
    Answered(AnswerEnd),
    Refused(RefusalNotice),
}

struct RecordState {
    head: Option<AnswerHead>,
    buffer: BufferedBytes,
    acknowledged: u64,
    sent: u64,
    end: Option<(RecordEnd, Instant)>,
    end_sent: bool,
    end_acknowledged: bool,
    reader: Reader,
}

/// The record of one admitted request. The task that runs the request writes to it, and the
/// connections of routers read from it.
pub struct AnswerRecord {
    id: RequestId,
    organisation: OrganisationId,
    may_cancel: bool,
    limits: StoreLimits,
    keeps_events: Cell<bool>,
    state: RefCell<RecordState>,
    progress: Cell<Option<ShutdownSignal>>,
    cancelled: ShutdownSignal,
}

impl AnswerRecord {
    /// Creates the record of `open`, whose answer is delivered on `attachment`.
    pub fn new(
        open: &OpenRequest,
        attachment: Attachment,
        limits: StoreLimits,
        total_buffered: Rc<Cell<u64>>,
    ) -> Rc<Self> {
        let state = RecordState {
            head: None,
            buffer: BufferedBytes::new(total_buffered),
            acknowledged: 0,
            sent: 0,
            end: None,
            end_sent: false,
            end_acknowledged: false,
            reader: Reader::Attached(attachment),
        };
        Rc::new(Self {
            id: open.id,
            organisation: open.organisation.clone(),
            may_cancel: open.retry_rule == RetryRule::Idempotent,
            limits,
            keeps_events: Cell::new(false),
            state: RefCell::new(state),
            progress: Cell::new(None),
            cancelled: ShutdownSignal::new(),
        })
    }

    /// Returns the id of the request.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Returns whether the answer belongs to `organisation`.
    pub fn belongs_to(&self, organisation: &OrganisationId) -> bool {
        self.organisation == *organisation
    }

    // Called by the task that runs the request.

    /// Returns whether the run must stop, because no reader is left and the request is idempotent.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.is_triggered()
    }

    /// Waits until the run must stop.
    pub async fn wait_cancelled(&self) {
        self.cancelled.triggered().await;
    }

    /// Sets and sends the head of the answer. With `keeps_events`, acknowledged events are kept so
    /// that the caller can resume the stream.
    pub fn set_head(&self, head: AnswerHead, keeps_events: bool) {
        self.keeps_events.set(keeps_events);
        let mut state = self.state.borrow_mut();
        if let Reader::Attached(attachment) = &state.reader {
            attachment.send(AgentMessage::Head(head.clone()));
        }
        state.head = Some(head);
    }

    /// Sends a connection message to the router that reads the answer, if there is one.
    pub fn send_on_connection(&self, message: AgentMessage) {
        if let Reader::Attached(attachment) = &self.state.borrow().reader {
            attachment.send_on_connection(message);
        }
    }

    /// Waits until the window has room, then appends `bytes` to the body.
    pub async fn append(&self, bytes: Bytes, event_ends: &[usize]) {
        if bytes.is_empty() {
            return;
        }
        self.wait_window().await;
        let mut state = self.state.borrow_mut();
        match state.reader {
            Reader::Detached => state.buffer.skip(bytes.len() as u64),
            _ => state.buffer.append(bytes, event_ends),
        }
        self.send_waiting(&mut state);
    }

    /// Records and sends the end of the answer.
    pub fn finish(&self, end: AnswerEnd) {
        let mut state = self.state.borrow_mut();
        state.end = Some((RecordEnd::Answered(end), Instant::now()));
        self.send_waiting(&mut state);
    }

    /// Records and sends the refusal of an admitted request that was not run.
    pub fn refuse(&self, notice: RefusalNotice) {
        let mut state = self.state.borrow_mut();
        state.end = Some((RecordEnd::Refused(notice), Instant::now()));
        self.send_waiting(&mut state);
    }

    /// Returns the number of body bytes so far.
    pub fn length(&self) -> u64 {
        self.state.borrow().buffer.end()
    }

    async fn wait_window(&self) {
        while self.is_window_full() && !self.cancelled.is_triggered() {
            let signal = ShutdownSignal::new();
            self.progress.set(Some(signal.clone()));
            signal.triggered().await;
        }
    }

    fn is_window_full(&self) -> bool {
        let state = self.state.borrow();
        let unread = state.buffer.end().saturating_sub(state.acknowledged);
        unread >= STREAM_WINDOW_BYTES && !matches!(state.reader, Reader::Detached)
    }

    fn signal_progress(&self) {
        if let Some(signal) = self.progress.take() {
            signal.trigger();
        }
    }

    // Called by the connections of routers.

    /// Records that the router's caller has received the body up to `offset`.
    pub fn acknowledge(&self, key: AttachmentKey, offset: u64) {
        let mut state = self.state.borrow_mut();
        if !state.is_attached(key) || offset > state.sent {
            return;
        }
        state.acknowledged = state.acknowledged.max(offset);
        self.release(&mut state);
        self.send_waiting(&mut state);
        drop(state);
        self.signal_progress();
    }

    /// Records that the router has received the end of the answer.
    pub fn acknowledge_end(&self, key: AttachmentKey) {
        let mut state = self.state.borrow_mut();
        if state.is_attached(key) {
            state.end_acknowledged = true;
            state.reader = Reader::Detached;
        }
    }

    /// Records that the router's caller has disconnected. The caller of a streamed chat may resume
    /// it through any router within the grace period.
    pub fn cancel(&self, key: AttachmentKey) {
        let grace = match self.keeps_events.get() {
            true => self.limits.cancel_grace,
            false => Duration::ZERO,
        };
        self.detach(key, grace);
    }

    /// Records that the connection was lost. Its router may resume the answer on another one.
    pub fn handle_disconnect(&self, key: AttachmentKey) {
        self.detach(key, self.limits.resume_within);
    }

    fn detach(&self, key: AttachmentKey, grace: Duration) {
        let mut state = self.state.borrow_mut();
        if !state.is_attached(key) {
            return;
        }
        state.reader = Reader::Awaited { deadline: Instant::now() + grace };
        drop(state);
        if grace.is_zero() {
            self.abandon();
        }
    }

    fn abandon(&self) {
        self.state.borrow_mut().reader = Reader::Detached;
        if self.may_cancel {
            self.cancelled.trigger();
        }
        self.signal_progress();
    }

    /// Returns whether part of the answer, or its end, has not been sent yet.
    pub fn has_unsent(&self) -> bool {
        !self.state.borrow().end_sent
    }

    /// Resumes the answer at `from` on `attachment`. Returns `false` if that part is no longer
    /// buffered or the run has been cancelled.
    pub fn attach(&self, attachment: Attachment, from: ResumePoint) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(offset) = state.offset_of(from) else { return false };
        if self.cancelled.is_triggered() {
            return false;
        }
        if let Reader::Attached(previous) = &state.reader {
            let elsewhere = "the answer goes on on another connection".to_string();
            previous.send(AgentMessage::End(AnswerEnd::Failed(elsewhere)));
        }
        attachment.send(AgentMessage::Resumed(ResumeNotice { offset, head: state.head.clone() }));
        state.reader = Reader::Attached(attachment);
        (state.sent, state.acknowledged) = (offset, offset);
        (state.end_sent, state.end_acknowledged) = (false, false);
        self.send_waiting(&mut state);
        drop(state);
        self.signal_progress();
        true
    }

    /// Sends as much of the body as the window allows, and the end after the last byte.
    fn send_waiting(&self, state: &mut RecordState) {
        let Reader::Attached(attachment) = &state.reader else { return };
        while state.sent < state.acknowledged + STREAM_WINDOW_BYTES {
            let Some(bytes) = state.buffer.piece_at(state.sent, MAX_PIECE_BYTES) else { break };
            let offset = state.sent;
            state.sent += bytes.len() as u64;
            attachment.send(AgentMessage::Data(AnswerData { offset, bytes }));
        }
        let all_sent = state.sent == state.buffer.end();
        if let (Some((end, _)), true, false) = (&state.end, all_sent, state.end_sent) {
            state.end_sent = true;
            attachment.send(match end.clone() {
                RecordEnd::Answered(end) => AgentMessage::End(end),
                RecordEnd::Refused(notice) => AgentMessage::Refused(notice),
            });
        }
    }

    /// Releases acknowledged bytes that can't be requested again.
    fn release(&self, state: &mut RecordState) {
        let kept = match self.keeps_events.get() {
            true => self.limits.answer_bytes,
            false => 0,
        };
        let oldest_kept = state.buffer.end().saturating_sub(kept);
        let acknowledged = state.acknowledged;
        state.buffer.release_to(acknowledged.min(oldest_kept));
    }

    // Called by the store.

    /// Releases all acknowledged bytes, including events that a caller could still resume from.
    pub fn release_acknowledged(&self) {
        let mut state = self.state.borrow_mut();
        let acknowledged = state.acknowledged;
        state.buffer.release_to(acknowledged);
    }

    /// Returns the time at which the answer ended, or `None` while it is incomplete.
    pub fn ended_at(&self) -> Option<Instant> {
        self.state.borrow().end.as_ref().map(|(_, at)| *at)
    }

    /// Returns whether a router still reads the answer or is expected to resume it.
    pub fn is_awaited(&self) -> bool {
        !matches!(self.state.borrow().reader, Reader::Detached)
    }

    /// Abandons a reader that did not resume in time. Returns `true` if the record is no longer
    /// needed at `now`.
    pub fn is_expired(&self, now: Instant) -> bool {
        let overdue = match &self.state.borrow().reader {
            Reader::Awaited { deadline } => *deadline <= now,
            _ => false,
        };
        if overdue {
            self.abandon();
        }
        let Some(ended) = self.ended_at() else { return false };
        let state = self.state.borrow();
        let keep = match self.keeps_events.get() {
            _ if self.is_cancelled() => Duration::ZERO,
            true => self.limits.keep_for,
            false if state.end_acknowledged => Duration::ZERO,
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
            ResumePoint::AfterEvent(number) => self.buffer.after_event(number)?,
        };
        (offset >= self.buffer.start() && offset <= self.buffer.end()).then_some(offset)
    }
}
