//! Runs one request at the backend server and records its answer.

use bytes::Bytes;
use futures_util::future::{select, Either};
use http::header::CONTENT_TYPE;
use http::{HeaderName, HeaderValue, Request, StatusCode};
use papayamux_coordination::body_end::{BodyEnd, ChatTail};
use papayamux_protocol::chat::ChatRequest;
use papayamux_protocol::headers::{HOP_BY_HOP, PRIORITY, REQUEST_ID};
use papayamux_protocol::link::{
    AnswerEnd, AnswerHead, HeaderField, OpenRequest, RefusalNotice, RetryRule,
};
use papayamux_state::refusal::RefusalReason;
use papayamux_transport::http::{ClientAnswer, HttpClientError};

use crate::agent_core::AgentCore;
use crate::answers::{AnswerRecord, EventTagger};
use crate::claims::RunRecorder;
use crate::crash_notifier::RunningContent;
use crate::server_exchange::{
    broken_connection, resume_stream, ResumeTarget, ServerError, ServerStep, ServerWatch,
};

/// The media type of streamed answers.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// The outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The complete answer was read.
    Whole,
    /// The request was not run, because the server was unreachable or the request was refused.
    Unreachable,
    /// The server failed during the run.
    Failed,
    /// The run was cancelled because the answer had no reader left.
    Cancelled,
}

impl RunOutcome {
    /// Returns the stable label for metrics.
    pub fn label(self) -> &'static str {
        match self {
            RunOutcome::Whole => "whole",
            RunOutcome::Unreachable => "unreachable",
            RunOutcome::Failed => "failed",
            RunOutcome::Cancelled => "cancelled",
        }
    }
}

/// Runs an admitted request until it completes or is cancelled.
pub async fn run_request(
    core: &AgentCore,
    open: OpenRequest,
    record: &AnswerRecord,
    recorder: Option<RunRecorder>,
) -> RunOutcome {
    let run = std::pin::pin!(run_to_end(core, open, record, recorder.as_ref()));
    let cancelled = std::pin::pin!(record.wait_cancelled());
    match select(run, cancelled).await {
        Either::Left((end, _)) => end,
        Either::Right(_) => {
            record.finish(AnswerEnd::Failed("nobody waits for the answer".to_string()));
            RunOutcome::Cancelled
        }
    }
}

async fn run_to_end(
    core: &AgentCore,
    open: OpenRequest,
    record: &AnswerRecord,
    recorder: Option<&RunRecorder>,
) -> RunOutcome {
    let content = RunningContent::from(&open);
    match run_at_server(core, open, record, recorder).await {
        Ok(RunOutcome::Whole) => {
            core.crashes.note_run(content);
            record.finish(AnswerEnd::Complete(record.length()));
            RunOutcome::Whole
        }
        Ok(end) => end,
        Err(error) => {
            if matches!(error, ServerError::Crashed(_)) {
                core.crashes.note_crash(content);
            }
            fail(core, record, &error)
        }
    }
}

async fn run_at_server(
    core: &AgentCore,
    open: OpenRequest,
    record: &AnswerRecord,
    recorder: Option<&RunRecorder>,
) -> Result<RunOutcome, ServerError> {
    let idempotent = open.retry_rule == RetryRule::Idempotent;
    let start_before = open.start_before;
    let not_run = |reason: RefusalReason| {
        if let Some(recorder) = recorder {
            recorder.not_run();
        }
        core.metrics.refusals.count(reason.label());
        refuse(record, reason)
    };
    let is_chat = open.chat.is_some();
    let Some(request) = server_request(core, open) else {
        return Ok(not_run(RefusalReason::NotServed));
    };
    let body = request.body().clone();
    let target = || {
        let resumable = is_chat && asks_for_stream(&body);
        resumable.then(|| ResumeTarget { id: record.id(), events: 0 })
    };
    let retry = idempotent.then(|| request.clone());
    let exchange = async {
        match idempotent {
            true => core.client.send_idempotent(request).await,
            false => core.client.send_once_if(request, || core.clock() < start_before).await,
        }
    };
    let mut step = ServerWatch::new(core).wait_for(target, exchange).await;
    if let (ServerStep::UnknownStream, Some(request)) = (&step, retry) {
        // Only streamed chats are checked for their stream. No part of the answer has been
        // received, so the request was lost on a connection that became silent. It is not sent
        // again while the agent drains.
        if !core.admissions.is_draining() {
            let exchange = core.client.send_once(request);
            step = ServerWatch::new(core).wait_for(target, exchange).await;
        }
    }
    match step {
        ServerStep::Ready(Ok(answer)) => relay(core, answer, is_chat, record, recorder).await,
        ServerStep::Replaced(answer) => relay(core, *answer, is_chat, record, recorder).await,
        ServerStep::Ready(Err(HttpClientError::NotAllowed)) => {
            Ok(not_run(RefusalReason::DeadlinePassed))
        }
        ServerStep::Ready(Err(error)) if error.nothing_was_sent() => {
            log::warn!(server:% = core.server, error:% = error; "server unreachable");
            Ok(not_run(RefusalReason::ServerUnreachable))
        }
        ServerStep::Ready(Err(error)) => Err(broken_connection(core, error).await),
        ServerStep::UnknownStream => Err(ServerError::UnknownStream),
        ServerStep::Silent => Err(ServerError::Silent),
    }
}

/// Returns whether the caller of a chat requested a streamed answer. The body is parsed only when
/// the server makes no progress.
fn asks_for_stream(body: &[u8]) -> bool {
    serde_json::from_slice::<ChatRequest>(body).is_ok_and(|request| request.stream)
}

fn refuse(record: &AnswerRecord, reason: RefusalReason) -> RunOutcome {
    record.refuse(RefusalNotice::new(reason, 0));
    RunOutcome::Unreachable
}

fn fail(core: &AgentCore, record: &AnswerRecord, error: &ServerError) -> RunOutcome {
    log::warn!(server:% = core.server, request:% = record.id(), error:% = error; "server failed");
    record.finish(AnswerEnd::Failed(error.to_string()));
    RunOutcome::Failed
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

/// Returns whether the answer is a stream of events, which can get ids and be resumed.
fn is_event_stream(answer: &ClientAnswer) -> bool {
    let media_type = answer.head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    answer.head.status == StatusCode::OK
        && media_type.is_some_and(|text| text.starts_with(EVENT_STREAM))
}

async fn relay(
    core: &AgentCore,
    answer: ClientAnswer,
    is_chat: bool,
    record: &AnswerRecord,
    recorder: Option<&RunRecorder>,
) -> Result<RunOutcome, ServerError> {
    let is_stream = is_chat && is_event_stream(&answer);
    if !is_stream && answer.declared_length().is_some_and(|length| length > core.longest_answer) {
        return Err(ServerError::TooLong { limit: core.longest_answer });
    }
    let head = answer_head(&answer);
    if let Some(recorder) = recorder {
        recorder.head(&head);
    }
    record.set_head(head, is_stream);
    match is_stream {
        true => relay_events(core, answer, record).await?,
        false => relay_bytes(core, answer, record, recorder).await?,
    }
    if let Some(recorder) = recorder {
        recorder.complete();
    }
    Ok(RunOutcome::Whole)
}

async fn relay_bytes(
    core: &AgentCore,
    mut answer: ClientAnswer,
    record: &AnswerRecord,
    recorder: Option<&RunRecorder>,
) -> Result<(), ServerError> {
    let mut watch = ServerWatch::new(core);
    loop {
        match watch.wait_for(|| None, answer.next_piece()).await {
            ServerStep::Ready(Some(piece)) => {
                let piece = match piece {
                    Ok(piece) => piece,
                    Err(error) => return Err(broken_connection(core, error).await),
                };
                let length = record.length() + piece.len() as u64;
                if length > core.longest_answer.get() {
                    return Err(ServerError::TooLong { limit: core.longest_answer });
                }
                if let Some(recorder) = recorder {
                    recorder.data(&piece);
                }
                record.append(piece, &[]).await;
            }
            ServerStep::Ready(None) => break,
            ServerStep::Silent | ServerStep::UnknownStream | ServerStep::Replaced(_) => {
                return Err(ServerError::Silent);
            }
        }
    }
    check_unmarked_end(core, &answer).await?;
    answer.finish();
    Ok(())
}

/// Checks an answer whose end nothing marks: it is incomplete if the server has crashed.
async fn check_unmarked_end(core: &AgentCore, answer: &ClientAnswer) -> Result<(), ServerError> {
    if BodyEnd::of_body(answer.framing()) != BodyEnd::Unmarked {
        return Ok(());
    }
    match broken_connection(core, HttpClientError::Truncated).await {
        crashed @ ServerError::Crashed(_) => Err(crashed),
        _ => Ok(()),
    }
}

async fn relay_events(
    core: &AgentCore,
    mut answer: ClientAnswer,
    record: &AnswerRecord,
) -> Result<(), ServerError> {
    let mut tagger = EventTagger::new(core.server.clone(), record.id());
    let mut watch = ServerWatch::new(core);
    loop {
        let target = ResumeTarget { id: record.id(), events: tagger.numbered() };
        let replacement = match watch.wait_for(|| Some(target), answer.next_piece()).await {
            ServerStep::Ready(Some(Ok(piece))) => {
                let tagged = tagger.take(&piece)?;
                record.append(tagged.bytes, &tagged.event_ends).await;
                continue;
            }
            ServerStep::Ready(None) => match chat_end(&answer, &tagger) {
                BodyEnd::Complete | BodyEnd::Unmarked => break,
                BodyEnd::Truncated => {
                    resume_after_error(core, target, HttpClientError::Truncated).await?
                }
            },
            ServerStep::Ready(Some(Err(_))) if tagger.is_complete() => break,
            ServerStep::Ready(Some(Err(error))) => resume_after_error(core, target, error).await?,
            ServerStep::Replaced(answer) => answer,
            ServerStep::UnknownStream => return Err(ServerError::UnknownStream),
            ServerStep::Silent => return Err(ServerError::Silent),
        };
        tagger.drop_partial();
        answer = *replacement;
    }
    record.append(tagger.rest(), &[]).await;
    answer.finish();
    Ok(())
}

fn chat_end(answer: &ClientAnswer, tagger: &EventTagger) -> BodyEnd {
    let (has_last_event, has_partial_event) = (tagger.is_complete(), tagger.is_inside_event());
    BodyEnd::of_chat(answer.framing(), ChatTail { has_last_event, has_partial_event })
}

/// Resumes a stream whose connection broke with `error`, unless the server has crashed.
async fn resume_after_error(
    core: &AgentCore,
    target: ResumeTarget,
    error: HttpClientError,
) -> Result<Box<ClientAnswer>, ServerError> {
    log::warn!(server:% = core.server, request:% = target.id, error:% = error; "stream broke");
    match broken_connection(core, error).await {
        ServerError::Client(error) => {
            resume_stream(core, target).await.ok_or(ServerError::Client(error))
        }
        crashed => Err(crashed),
    }
}
