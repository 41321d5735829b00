//! Answers a retry with the answer of the first run.

use std::time::Duration;

use futures_util::future::{select, Either};
use papayamux_protocol::link::{AgentMessage, AnswerData, AnswerEnd, RecallRequest, RefusalNotice};
use papayamux_transport::link::LinkSender;
use papayamux_transport::shutdown::ShutdownSignal;

use super::kept_answers::KeptAnswer;
use crate::agent_core::AgentCore;

/// Maximum number of body bytes in one data frame.
const MAX_PIECE_BYTES: usize = 64 * 1024;
/// The time within which a router must confirm that it has received the answer.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// The stream on which a router requested a kept answer.
pub struct RecallStream {
    /// The sending half of the connection.
    pub sender: LinkSender<AgentMessage>,
    /// The number of the stream.
    pub stream: u64,
    /// Fires when the router has received the answer, cancels the stream or disconnects.
    pub closed: ShutdownSignal,
}

impl RecallStream {
    fn send(&self, message: AgentMessage) {
        self.sender.send(self.stream, message);
    }

    /// Sends a complete answer without flow control, since it fits into the window.
    fn send_answer(&self, answer: KeptAnswer) {
        let length = answer.body.len() as u64;
        self.send(AgentMessage::Head(answer.head));
        let mut rest = answer.body;
        let mut offset = 0;
        while !rest.is_empty() {
            let bytes = rest.split_to(rest.len().min(MAX_PIECE_BYTES));
            let data = AnswerData { offset, bytes };
            offset += data.bytes.len() as u64;
            self.send(AgentMessage::Data(data));
        }
        self.send(AgentMessage::End(AnswerEnd::Complete(length)));
    }
}

/// Waits for the first run to end and sends its answer, or a refusal with the reason why there
/// is none. Returns when the router has closed the stream, or after a timeout.
pub async fn serve_recall(core: &AgentCore, request: &RecallRequest, stream: RecallStream) {
    let recalled = std::pin::pin!(core.kept.recall(request));
    let closed = std::pin::pin!(stream.closed.triggered());
    match select(recalled, closed).await {
        Either::Left((Ok(answer), _)) => {
            core.metrics.answers_recalled.inc();
            stream.send_answer(answer);
        }
        Either::Left((Err(reason), _)) => {
            core.metrics.refusals.count(reason.label());
            let notice = RefusalNotice::new(reason, 0);
            stream.send(AgentMessage::Refused(notice));
        }
        Either::Right(_) => return,
    }
    let _ = monoio::time::timeout(RECEIVE_TIMEOUT, stream.closed.triggered()).await;
}
