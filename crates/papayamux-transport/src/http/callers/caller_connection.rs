//! One caller's connection in the account of all callers.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use papayamux_coordination::caller_memory::{HolderId, HolderStage, MemoryShortage};
use papayamux_state::quantities::ByteCount;

use super::caller_memory::CallerMemory;
use super::piece_pacer::PiecePacer;
use crate::http::{AnswerBody, BodyError};
use crate::shutdown::ShutdownSignal;

/// Memory that a byte of a head takes: the HTTP library doubles its buffer as a head grows.
const HEAD_BYTE_COST: u64 = 2;

/// Time for which a caller may read nothing of its answer past its deadline.
const MIN_STALL_LIMIT: Duration = Duration::from_secs(1);

fn head_cost(bytes: usize) -> ByteCount {
    ByteCount::new(HEAD_BYTE_COST * bytes as u64)
}

/// The account of one connection, which ends when the value is dropped.
#[derive(Debug)]
pub struct CallerConnection {
    memory: Rc<CallerMemory>,
    id: HolderId,
    evicted: ShutdownSignal,
    stage: Cell<HolderStage>,
    /// Bytes of the current request's head and answer, which are released together at its end.
    exchange_bytes: Cell<ByteCount>,
    /// Bytes of the head that is being received.
    head_bytes: Cell<usize>,
    /// Bytes received since the last head or piece of a body; `None` if pieces aren't reported.
    bytes_without_progress: Cell<Option<usize>>,
    /// Whether a request was answered before its body was read.
    has_unread_body: Cell<bool>,
    /// Whether the last request was answered with success, and the answer is not written yet.
    is_answered: Cell<bool>,
    /// Whether what is buffered of an unread answer was charged.
    is_unread_charged: Cell<bool>,
    /// Until when the caller waits for the answer to its last request, if known.
    deadline: Cell<Option<Instant>>,
}

impl CallerConnection {
    pub(super) fn new(memory: Rc<CallerMemory>, id: HolderId, evicted: ShutdownSignal) -> Self {
        Self {
            memory,
            id,
            evicted,
            stage: Cell::new(HolderStage::Waiting),
            exchange_bytes: Cell::default(),
            head_bytes: Cell::default(),
            bytes_without_progress: Cell::new(Some(0)),
            has_unread_body: Cell::default(),
            is_answered: Cell::default(),
            is_unread_charged: Cell::default(),
            deadline: Cell::default(),
        }
    }

    /// Returns the signal that the connection must give up what it holds.
    pub fn evicted(&self) -> &ShutdownSignal {
        &self.evicted
    }

    /// Sets until when the caller waits for the answer to the current request. Past it, an answer of which the
    /// caller reads nothing holds up a server for nothing.
    pub fn set_deadline(&self, deadline: Instant) {
        self.deadline.set(Some(deadline));
    }

    /// Returns for how long the caller may read nothing of its answer, `limit` at most.
    pub(super) fn stall_limit(&self, limit: Duration) -> Duration {
        let left = self.deadline.get().map_or(limit, |deadline| {
            deadline.saturating_duration_since(Instant::now()).max(MIN_STALL_LIMIT)
        });
        left.min(limit)
    }

    /// Claims memory for the current request's head or answer.
    pub fn claim_for_exchange(&self, bytes: ByteCount) -> Result<(), MemoryShortage> {
        self.claim(bytes)?;
        self.exchange_bytes.set(self.exchange_bytes.get() + bytes);
        Ok(())
    }

    /// Charges memory that the current request's answer takes in any case.
    pub(super) fn charge_for_exchange(&self, bytes: ByteCount) {
        self.memory.charge(self.id, bytes);
        self.exchange_bytes.set(self.exchange_bytes.get() + bytes);
    }

    /// Charges what connections and relays have buffered of an answer that the caller doesn't read.
    pub(super) fn charge_unread(&self, bytes: ByteCount) {
        if !self.is_unread_charged.replace(true) {
            self.charge_for_exchange(bytes);
        }
    }

    pub(super) fn claim(&self, bytes: ByteCount) -> Result<(), MemoryShortage> {
        self.memory.claim(self.id, bytes)
    }

    /// Creates an empty hold.
    pub(in crate::http) fn hold(self: &Rc<Self>) -> MemoryHold {
        MemoryHold { connection: self.clone(), bytes: ByteCount::default() }
    }

    pub(super) fn pacer(&self) -> &PiecePacer {
        &self.memory.pacer
    }

    pub(super) fn stage(&self) -> HolderStage {
        self.stage.get()
    }

    pub(in crate::http) fn set_stage(&self, stage: HolderStage) {
        if self.stage.replace(stage) != stage {
            self.memory.set_stage(self.id, stage);
        }
    }

    pub(super) fn record_bytes(&self, bytes: usize) {
        self.memory.record_bytes(self.id, bytes);
    }

    /// Records that a request has arrived, with or without a body.
    pub(in crate::http) fn begin_request(&self, has_body: bool) {
        let head_bytes = self.head_bytes.take();
        // Between pipelined requests a connection is never idle. What the answers before took is in the kernel's
        // buffers by now, unless the caller doesn't read.
        if self.stage.get() != HolderStage::Unread {
            self.finish_exchange();
            self.charge_for_exchange(head_cost(head_bytes));
        }
        self.set_stage(HolderStage::Busy);
        self.record_progress();
        self.has_unread_body.set(has_body);
        self.deadline.set(None);
    }

    /// Records that the body of the request was received completely.
    pub(in crate::http) fn record_body_end(&self) {
        self.has_unread_body.set(false);
        self.set_stage(HolderStage::Busy);
    }

    /// Returns whether the last request was answered before its body was read.
    pub(in crate::http) fn has_unread_body(&self) -> bool {
        self.has_unread_body.get()
    }

    /// Adds received bytes of a head. Returns whether they are its first.
    pub(super) fn add_head_bytes(&self, count: usize) -> Result<bool, MemoryShortage> {
        self.memory.record_bytes(self.id, count);
        self.claim_for_exchange(head_cost(count))?;
        Ok(self.head_bytes.replace(self.head_bytes.get() + count) == 0)
    }

    pub(super) fn has_partial_head(&self) -> bool {
        self.head_bytes.get() > 0
    }

    pub(super) fn record_progress(&self) {
        self.bytes_without_progress.set(Some(0));
    }

    /// Records that the handler reads the body by itself, so that nothing is known of it.
    pub(in crate::http) fn leave_body_to_handler(&self) {
        self.bytes_without_progress.set(None);
        self.has_unread_body.set(false);
    }

    /// Adds bytes that are no head. Returns how many came since the last progress.
    pub(super) fn add_bytes_without_progress(&self, count: usize) -> usize {
        let bytes = self.bytes_without_progress.get().map(|bytes| bytes.saturating_add(count));
        self.bytes_without_progress.set(bytes);
        bytes.unwrap_or_default()
    }

    /// Records whether the request was answered with success.
    pub(in crate::http) fn record_answer(&self, is_success: bool) {
        self.is_answered.set(is_success);
    }

    /// Releases what the last request's head and answer took, once the caller has accepted all of the answer.
    pub(super) fn finish_exchange(&self) {
        if self.is_answered.take() {
            self.memory.record_served(self.id);
        }
        self.is_unread_charged.set(false);
        let bytes = self.exchange_bytes.take();
        if bytes > ByteCount::default() {
            self.memory.release(self.id, bytes);
        }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.memory.close(self.id);
    }
}

/// Memory that a connection holds until the value is dropped.
#[derive(Debug)]
pub struct MemoryHold {
    connection: Rc<CallerConnection>,
    bytes: ByteCount,
}

impl MemoryHold {
    /// Claims further bytes.
    pub(super) fn grow(&mut self, bytes: ByteCount) -> Result<(), MemoryShortage> {
        self.connection.claim(bytes)?;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.connection.memory.release(self.connection.id, self.bytes);
    }
}

/// The body of a response. The connection is busy until it is dropped, which is when its last piece was taken.
pub(in crate::http) struct BusyResponse {
    pub(in crate::http) body: AnswerBody,
    pub(in crate::http) connection: Rc<CallerConnection>,
}

impl Body for BusyResponse {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for BusyResponse {
    fn drop(&mut self) {
        self.connection.set_stage(HolderStage::Waiting);
    }
}
