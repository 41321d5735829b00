//! The caller's end of a request's stream.

use std::rc::Rc;
use std::task::{Context, Poll};

use local_sync::mpsc::unbounded;
use papayamux_protocol::link::{
    AnswerData, AnswerEnd, AnswerHead, RefusalNotice, RouterMessage, STREAM_WINDOW_BYTES,
};

use super::stream_slot::StreamSlot;

/// What happens on a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// The request was not run.
    Refused(RefusalNotice),
    /// The answer's head.
    Head(AnswerHead),
    /// A piece of the answer.
    Data(AnswerData),
    /// The answer's end.
    End(AnswerEnd),
    /// The agent does not hold what a caller asked to go on with.
    NotHeld,
    /// The agent was lost and the stream could not go on: what becomes of the request is not
    /// known.
    Lost,
}

/// Bytes taken after which the agent is told so.
const ACKNOWLEDGE_EVERY: u64 = STREAM_WINDOW_BYTES / 4;

/// The taking end of a stream. Dropping it before the end cancels the request.
pub struct StreamHandle {
    slot: Rc<StreamSlot>,
    inbox: unbounded::Rx<StreamEvent>,
    acknowledged: u64,
}

impl StreamHandle {
    pub(super) fn new(slot: Rc<StreamSlot>, inbox: unbounded::Rx<StreamEvent>) -> Self {
        Self { slot, inbox, acknowledged: 0 }
    }

    /// The next event; after an end, a refusal or a loss there is none.
    pub async fn next_event(&mut self) -> StreamEvent {
        std::future::poll_fn(|context| self.poll_event(context)).await
    }

    /// Polls for the next event.
    pub fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<StreamEvent> {
        self.inbox.poll_recv(context).map(|event| event.unwrap_or(StreamEvent::Lost))
    }

    /// Tells the agent, now and then, that the caller has taken the answer up to `offset`.
    pub fn acknowledge(&mut self, offset: u64) {
        if offset.saturating_sub(self.acknowledged) >= ACKNOWLEDGE_EVERY {
            self.acknowledged = offset;
            self.slot.send(RouterMessage::Acknowledge(offset));
        }
    }
}

impl Drop for StreamHandle {
    fn drop(&mut self) {
        self.slot.close(RouterMessage::Cancel);
    }
}
