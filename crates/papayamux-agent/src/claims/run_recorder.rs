//! Recording the answer of one run with a key.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use papayamux_protocol::link::{AnswerHead, STREAM_WINDOW};
use papayamux_state::claims::ClaimKey;

use super::kept_answers::{KeptAnswer, KeptAnswers};

/// Bytes of the longest answer that is kept: it can be sent without waiting for the window.
const MAX_KEPT_BYTES: usize = STREAM_WINDOW as usize;

#[derive(Debug, Default)]
struct RecordedAnswer {
    head: Option<AnswerHead>,
    body: BytesMut,
    too_long: bool,
    settled: bool,
}

/// Collects the answer while it is sent. Dropped without another word it says that the run
/// failed on the way.
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

    /// Takes the answer's head.
    pub fn head(&self, head: &AnswerHead) {
        self.answer.borrow_mut().head = Some(head.clone());
    }

    /// Takes a piece of the answer's body.
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

    /// The answer is whole.
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

    /// The call was not run, which is proved.
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
