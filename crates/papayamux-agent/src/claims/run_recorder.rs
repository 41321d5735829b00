//! Records the answer of one run with a key.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use papayamux_protocol::link::{AnswerHead, STREAM_WINDOW_BYTES};
use papayamux_state::claims::ClaimKey;

use super::kept_answers::{KeptAnswer, KeptAnswers};

/// Maximum size of a kept answer in bytes. Such an answer can be sent without waiting for the
/// window.
const MAX_KEPT_BYTES: usize = STREAM_WINDOW_BYTES as usize;

#[derive(Debug, Default)]
struct RecordedAnswer {
    head: Option<AnswerHead>,
    body: BytesMut,
    too_long: bool,
    settled: bool,
}

/// Collects an answer while it is relayed. Dropping the recorder before [`RunRecorder::complete`]
/// or [`RunRecorder::not_run`] records the run as failed.
#[derive(Debug)]
pub struct RunRecorder {
    kept: Rc<KeptAnswers>,
    key: ClaimKey,
    answer: RefCell<RecordedAnswer>,
}

impl RunRecorder {
    pub(super) fn new(kept: Rc<KeptAnswers>, key: ClaimKey) -> Self {
        Self { kept, key, answer: RefCell::default() }
    }

    /// Records the head of the answer.
    pub fn head(&self, head: &AnswerHead) {
        self.answer.borrow_mut().head = Some(head.clone());
    }

    /// Appends a piece of the body. An answer that exceeds the limit is discarded.
    pub fn data(&self, bytes: &Bytes) {
        let mut answer = self.answer.borrow_mut();
        if answer.body.len() + bytes.len() > MAX_KEPT_BYTES {
            answer.too_long = true;
            answer.body.clear();
        }
        if !answer.too_long {
            answer.body.extend_from_slice(bytes);
        }
    }

    /// Records that the answer is complete.
    pub fn complete(&self) {
        let mut answer = self.answer.borrow_mut();
        answer.settled = true;
        let body = std::mem::take(&mut answer.body).freeze();
        let kept = match (answer.head.take(), answer.too_long) {
            (Some(head), false) => Some(KeptAnswer { head, body }),
            _ => None,
        };
        self.kept.settle_complete(self.key, kept);
    }

    /// Records that the call has provably not been run.
    pub fn not_run(&self) {
        self.answer.borrow_mut().settled = true;
        self.kept.forget(self.key);
    }
}

impl Drop for RunRecorder {
    fn drop(&mut self) {
        if !self.answer.borrow().settled {
            self.kept.settle_failed(self.key);
        }
    }
}
