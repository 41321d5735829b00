//! One request's stream on a connection to an agent.

use std::rc::Rc;
use std::task::{Context, Poll};

use local_sync::mpsc::unbounded;
use papayamux_protocol::link::{
    AnswerData, AnswerEnd, AnswerHead, RefusalNotice, RouterMessage, STREAM_WINDOW,
};

use super::agent_link::AgentLink;

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
    /// The connection was lost: what becomes of the request is not known.
    Lost,
}

/// Bytes taken after which the agent is told so.
const ACKNOWLEDGE_EVERY: u64 = STREAM_WINDOW / 4;

/// The router's end of a stream. Dropping it before the end cancels the request.
pub struct StreamHandle {
    link: Rc<AgentLink>,
    stream: u64,
    inbox: unbounded::Rx<StreamEvent>,
    acknowledged: u64,
    ended: bool,
}

impl StreamHandle {
    pub(super) fn new(link: Rc<AgentLink>, stream: u64, inbox: unbounded::Rx<StreamEvent>) -> Self {
        Self { link, stream, inbox, acknowledged: 0, ended: false }
    }

    /// The next event; after an end, a refusal or a loss there is none.
    pub async fn next_event(&mut self) -> StreamEvent {
        std::future::poll_fn(|context| self.poll_event(context)).await
    }

    /// Polls for the next event.
    pub fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<StreamEvent> {
        self.inbox.poll_recv(context).map(|event| {
            let event = event.unwrap_or(StreamEvent::Lost);
            let goes_on = matches!(event, StreamEvent::Head(_) | StreamEvent::Data(_));
            self.ended = !goes_on;
            event
        })
    }

    /// Tells the agent, now and then, that the caller has taken the answer up to `offset`.
    pub fn acknowledge(&mut self, offset: u64) {
        if offset - self.acknowledged >= ACKNOWLEDGE_EVERY {
            self.acknowledged = offset;
            self.link.send(self.stream, RouterMessage::Acknowledge(offset));
        }
    }
}

impl Drop for StreamHandle {
    fn drop(&mut self) {
        self.link.close_stream(self.stream);
        if !self.ended {
            self.link.send(self.stream, RouterMessage::Cancel);
        }
    }
}
