//! Running one request at the backend server and sending its answer to the router.

use std::cell::Cell;

use bytes::Bytes;
use futures_util::future::{select, Either};
use http::{HeaderName, HeaderValue, Request};
use papayamux_protocol::headers::{HOP_BY_HOP, PRIORITY, REQUEST_ID};
use papayamux_protocol::link::{
    AgentMessage, AnswerData, AnswerEnd, AnswerHead, HeaderField, OpenRequest, RefusalNotice,
    RepeatRule, STREAM_WINDOW,
};
use papayamux_state::refusal::RefusalReason;
use papayamux_transport::http::{ClientAnswer, HttpClientError};
use papayamux_transport::link::LinkSender;
use papayamux_transport::shutdown::ShutdownSignal;

use crate::router_link::AgentCore;

/// Bytes of one piece of an answer at most.
const LONGEST_PIECE: usize = 64 * 1024;

/// What the router has said about a stream since it opened.
pub struct StreamControl {
    may_cancel: bool,
    acknowledged: Cell<u64>,
    moved: Cell<Option<ShutdownSignal>>,
    cancelled: ShutdownSignal,
}

impl StreamControl {
    /// The control of a request that may be repeated by `repeat`.
    pub fn new(repeat: &RepeatRule) -> Self {
        Self {
            may_cancel: *repeat == RepeatRule::Idempotent,
            acknowledged: Cell::new(0),
            moved: Cell::new(None),
            cancelled: ShutdownSignal::new(),
        }
    }

    /// The caller has taken the answer up to `offset`.
    pub fn acknowledge(&self, offset: u64) {
        self.acknowledged.set(self.acknowledged.get().max(offset));
        if let Some(signal) = self.moved.take() {
            signal.give();
        }
    }

    /// The caller has gone. Work that is not idempotent runs on to its end all the same.
    pub fn cancel(&self) {
        self.cancelled.give();
        if let Some(signal) = self.moved.take() {
            signal.give();
        }
    }

    fn stops_work(&self) -> bool {
        self.may_cancel && self.cancelled.is_given()
    }

    async fn wait_stopped(&self) {
        self.cancelled.given().await;
        if !self.may_cancel {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until a piece that ends at `offset` fits into the window, or nobody reads any more.
    async fn wait_window(&self, offset: u64) {
        while offset > self.acknowledged.get() + STREAM_WINDOW && !self.cancelled.is_given() {
            let signal = ShutdownSignal::new();
            self.moved.set(Some(signal.clone()));
            signal.given().await;
        }
    }
}

/// How a request ended at the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole answer was read.
    Whole,
    /// The server could not be reached: nothing ran.
    Unreachable,
    /// The server failed on the way.
    Failed,
    /// The caller had gone.
    Cancelled,
}

impl RunEnd {
    /// The stable word for metrics.
    pub fn label(self) -> &'static str {
        match self {
            RunEnd::Whole => "whole",
            RunEnd::Unreachable => "unreachable",
            RunEnd::Failed => "failed",
            RunEnd::Cancelled => "cancelled",
        }
    }
}

/// Runs a request that was admitted.
pub async fn run_request(
    core: &AgentCore,
    open: OpenRequest,
    control: &StreamControl,
    sender: &LinkSender<AgentMessage>,
    stream: u64,
) -> RunEnd {
    let run = std::pin::pin!(run_to_end(core, open, control, sender, stream));
    let stopped = std::pin::pin!(control.wait_stopped());
    match select(run, stopped).await {
        Either::Left((end, _)) => end,
        Either::Right(_) => RunEnd::Cancelled,
    }
}

async fn run_to_end(
    core: &AgentCore,
    open: OpenRequest,
    control: &StreamControl,
    sender: &LinkSender<AgentMessage>,
    stream: u64,
) -> RunEnd {
    let idempotent = open.repeat == RepeatRule::Idempotent;
    let Some(request) = server_request(core, open) else {
        return refuse(sender, stream, RefusalReason::NotServed);
    };
    let answer = match idempotent {
        true => core.client.send_idempotent(request).await,
        false => core.client.send_once(request).await,
    };
    match answer {
        Ok(answer) => relay(answer, control, sender, stream).await,
        Err(error) if error.nothing_was_sent() => {
            log::warn!(server:% = core.server, error:% = error; "server unreachable");
            refuse(sender, stream, RefusalReason::ServerUnreachable)
        }
        Err(error) => fail(sender, stream, &error),
    }
}

fn refuse(sender: &LinkSender<AgentMessage>, stream: u64, reason: RefusalReason) -> RunEnd {
    let notice = RefusalNotice { reason, retry_after_ms: 0 };
    sender.send(stream, AgentMessage::Refused(notice));
    RunEnd::Unreachable
}

fn fail(sender: &LinkSender<AgentMessage>, stream: u64, error: &HttpClientError) -> RunEnd {
    log::warn!(error:% = error; "server failed");
    sender.send(stream, AgentMessage::End(AnswerEnd::Failed(error.to_string())));
    RunEnd::Failed
}

fn server_request(core: &AgentCore, open: OpenRequest) -> Option<Request<Bytes>> {
    let mut request = Request::builder()
        .method(open.method.as_str())
        .uri(&open.path)
        .header(http::header::HOST, core.client.address().to_string())
        .body(open.body)
        .ok()?;
    let headers = request.headers_mut();
    for field in open.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = HeaderValue::from_maybe_shared(field.value).ok()?;
        headers.append(name, value);
    }
    let id = HeaderValue::from_str(&open.id.to_string()).ok()?;
    headers.insert(HeaderName::from_static(REQUEST_ID), id);
    headers.insert(HeaderName::from_static(PRIORITY), HeaderValue::from(open.priority));
    Some(request)
}

fn answer_head(answer: &ClientAnswer) -> AnswerHead {
    let headers = answer
        .head
        .headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()))
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect();
    AnswerHead { status: answer.head.status.as_u16(), headers }
}

async fn relay(
    mut answer: ClientAnswer,
    control: &StreamControl,
    sender: &LinkSender<AgentMessage>,
    stream: u64,
) -> RunEnd {
    sender.send(stream, AgentMessage::Head(answer_head(&answer)));
    let mut offset = 0;
    while let Some(piece) = answer.next_piece().await {
        let mut piece = match piece {
            Ok(piece) => piece,
            Err(error) => return fail(sender, stream, &error),
        };
        while !piece.is_empty() {
            let bytes = piece.split_to(piece.len().min(LONGEST_PIECE));
            let end = offset + bytes.len() as u64;
            control.wait_window(end).await;
            if control.stops_work() {
                return RunEnd::Cancelled;
            }
            sender.send(stream, AgentMessage::Data(AnswerData { offset, bytes }));
            offset = end;
        }
    }
    answer.finish();
    sender.send(stream, AgentMessage::End(AnswerEnd::Whole(offset)));
    RunEnd::Whole
}
