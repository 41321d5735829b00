//! Answering a repeat with the answer of the first run.

use std::time::Duration;

use futures_util::future::{select, Either};
use papayamux_protocol::link::{AgentMessage, AnswerData, AnswerEnd, RecallRequest, RefusalNotice};
use papayamux_transport::link::LinkSender;
use papayamux_transport::shutdown::ShutdownSignal;

use super::kept_answers::KeptAnswer;
use crate::agent_core::AgentCore;

/// Bytes of one piece of an answer at most.
const LONGEST_PIECE: usize = 64 * 1024;
/// How long a router may take to say that the answer has arrived.
const ARRIVE_WITHIN: Duration = Duration::from_secs(10);

/// The stream on which a router asked for an answer.
pub struct RecallStream {
    /// The connection's sending half.
    pub sender: LinkSender<AgentMessage>,
    /// The stream's number.
    pub stream: u64,
    /// Given when the router has the answer, does not want it any more, or is gone.
    pub closed: ShutdownSignal,
}

impl RecallStream {
    fn send(&self, message: AgentMessage) {
        self.sender.send(self.stream, message);
    }

    /// Sends a whole answer: it is no longer than the window.
    fn send_answer(&self, answer: KeptAnswer) {
        let length = answer.body.len() as u64;
        self.send(AgentMessage::Head(answer.head));
        let mut rest = answer.body;
        let mut offset = 0;
        while !rest.is_empty() {
            let bytes = rest.split_to(rest.len().min(LONGEST_PIECE));
            let data = AnswerData { offset, bytes };
            offset += data.bytes.len() as u64;
            self.send(AgentMessage::Data(data));
        }
        self.send(AgentMessage::End(AnswerEnd::Complete(length)));
    }
}

/// Sends the first run's answer once that run has ended, or says why there is none; ends when
/// the router has it.
pub async fn serve_recall(core: &AgentCore, request: &RecallRequest, stream: RecallStream) {
    let recalled = std::pin::pin!(core.kept.recall(request));
    let closed = std::pin::pin!(stream.closed.given());
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
    let _ = monoio::time::timeout(ARRIVE_WITHIN, stream.closed.given()).await;
}
