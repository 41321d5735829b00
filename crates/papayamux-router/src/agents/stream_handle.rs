//! The caller's handle on the stream of a request.

use std::rc::Rc;
use std::task::{Context, Poll};

use local_sync::mpsc::unbounded;
use papayamux_protocol::link::{
    AnswerData, AnswerEnd, AnswerHead, RefusalNotice, RouterMessage, STREAM_WINDOW_BYTES,
};

use super::stream_state::StreamState;

/// An event on a stream.
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
    /// The agent doesn't hold the answer that the caller asked to resume.
    NotHeld,
    /// The connection was lost and the stream could not be resumed, so the outcome of the request
    /// is unknown.
    Lost,
}

/// Number of consumed bytes after which an acknowledgement is sent to the agent.
const ACKNOWLEDGE_INTERVAL_BYTES: u64 = STREAM_WINDOW_BYTES / 4;

/// The receiving end of a stream. Dropping it before the last event cancels the request.
pub struct StreamHandle {
    state: Rc<StreamState>,
    inbox: unbounded::Rx<StreamEvent>,
    acknowledged: u64,
}

impl StreamHandle {
    pub(super) fn new(state: Rc<StreamState>, inbox: unbounded::Rx<StreamEvent>) -> Self {
        Self { state, inbox, acknowledged: 0 }
    }

    /// Returns the next event. `End`, `Refused`, `NotHeld` and `Lost` are each the last one.
    pub async fn next_event(&mut self) -> StreamEvent {
        std::future::poll_fn(|context| self.poll_event(context)).await
    }

    /// Polls for the next event.
    pub fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<StreamEvent> {
        self.inbox.poll_recv(context).map(|event| event.unwrap_or(StreamEvent::Lost))
    }

    /// Acknowledges that the caller has consumed the answer up to `offset`. A message is sent only
    /// once per [`ACKNOWLEDGE_INTERVAL_BYTES`].
    pub fn acknowledge(&mut self, offset: u64) {
        if offset.saturating_sub(self.acknowledged) >= ACKNOWLEDGE_INTERVAL_BYTES {
            self.acknowledged = offset;
            self.state.send(RouterMessage::Acknowledge(offset));
        }
    }
}

impl Drop for StreamHandle {
    fn drop(&mut self) {
        self.state.close(RouterMessage::Cancel);
    }
}
