//! Progress of a request's answer, for current readers and for readers that resume it later.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use futures_util::Stream;
use papayamux_protocol::chat::UsageReport;

use super::answer_plan::AnswerPlan;

/// The final state of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// All tokens were produced.
    Complete(UsageReport),
    /// The request was cancelled, or abandoned by all of its readers.
    Cancelled,
}

/// An event that a reader of an answer receives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent {
    /// The next token.
    Token(String),
    /// The answer has ended.
    End(AnswerEnd),
}

/// The state of one answer. Tokens are derived from the plan, so none are buffered.
#[derive(Debug)]
pub struct AnswerRecord {
    /// The answer's content.
    pub plan: AnswerPlan,
    produced: Cell<u64>,
    end: Cell<Option<AnswerEnd>>,
    readers: Cell<usize>,
    last_reader_left_at: Cell<Option<Instant>>,
    wakers: RefCell<Vec<Waker>>,
}

impl AnswerRecord {
    /// Creates the record of an answer without any produced tokens.
    pub fn new(plan: AnswerPlan) -> Rc<Self> {
        Rc::new(Self {
            plan,
            produced: Cell::new(0),
            end: Cell::new(None),
            readers: Cell::new(0),
            last_reader_left_at: Cell::new(None),
            wakers: RefCell::default(),
        })
    }

    /// Returns the number of tokens produced so far.
    pub fn produced(&self) -> u64 {
        self.produced.get()
    }

    /// Returns the final state of the answer, or `None` while it is in progress.
    pub fn end(&self) -> Option<AnswerEnd> {
        self.end.get()
    }

    /// Records another produced token and wakes the readers.
    pub fn produce(&self) {
        self.produced.set(self.produced.get() + 1);
        self.wake();
    }

    /// Ends the answer and wakes the readers. Only the first call takes effect.
    pub fn finish(&self, end: AnswerEnd) {
        if self.end.get().is_none() {
            self.end.set(Some(end));
            self.wake();
        }
    }

    /// Returns `true` if the answer has had no reader for at least `grace`.
    pub fn is_abandoned(&self, now: Instant, grace: Duration) -> bool {
        self.readers.get() == 0
            && self.last_reader_left_at.get().is_some_and(|left| left + grace <= now)
    }

    fn wake(&self) {
        let wakers = std::mem::take(&mut *self.wakers.borrow_mut());
        wakers.into_iter().for_each(Waker::wake);
    }

    fn wait(&self, waker: &Waker) {
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|known| known.will_wake(waker)) {
            wakers.push(waker.clone());
        }
    }
}

/// Reads an answer from a given token on. The answer counts as abandoned once its last reader has
/// been dropped for the grace period.
#[derive(Debug)]
pub struct AnswerReader {
    record: Rc<AnswerRecord>,
    next: u64,
    ended: bool,
}

impl AnswerReader {
    /// Creates a reader that starts at token number `from`.
    pub fn new(record: Rc<AnswerRecord>, from: u64) -> Self {
        record.readers.set(record.readers.get() + 1);
        Self { record, next: from, ended: false }
    }

    /// Returns `true` if the reader starts after the usage event, which follows the last token.
    pub fn starts_past_usage(&self) -> bool {
        self.next > self.record.plan.tokens
    }
}

impl Stream for AnswerReader {
    type Item = AnswerEvent;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<AnswerEvent>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if self.next < self.record.produced() {
            let token = self.record.plan.token(self.next);
            self.next += 1;
            return Poll::Ready(Some(AnswerEvent::Token(token)));
        }
        if let Some(end) = self.record.end() {
            self.ended = true;
            return Poll::Ready(Some(AnswerEvent::End(end)));
        }
        self.record.wait(context.waker());
        Poll::Pending
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.record.readers.set(self.record.readers.get() - 1);
        self.record.last_reader_left_at.set(Some(Instant::now()));
    }
}
