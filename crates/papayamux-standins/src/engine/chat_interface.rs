//! Chat requests and the streaming of their answers.

use std::collections::VecDeque;
use std::task::Poll;

use bytes::Bytes;
use futures_util::{stream, StreamExt};
use http::{Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use papayamux_protocol::chat::{
    ChatChunk, ChatCompletion, ChatMessage, ChatRequest, ChunkChoice, ChunkDelta, CompletionChoice,
    UsageReport, STREAM_END,
};
use papayamux_protocol::engine::{render_prompt, CancelOutcome, EngineError, EngineErrorCode};
use papayamux_protocol::headers::{PRIORITY, REQUEST_ID};
use papayamux_transport::http::{AnswerBody, BodyError};

use super::answer_plan::AnswerPlan;
use super::answer_record::{AnswerEnd, AnswerEvent, AnswerReader};
use super::batch::EngineBatch;
use super::failure::{engine_error, invalid_request, EngineResult};
use super::http_interface::EngineServer;
use super::job::EngineRequest;
use crate::query::query_number;
use crate::request_body::read_body;
use crate::respond;
use crate::run_tag::TAG_HEADER;

/// Exit code of an engine that crashes on a prompt, as configured with `--ends-on`.
const CRASH_EXIT_CODE: i32 = 70;
const EVENT_STREAM: &str = "text/event-stream";
const CANCELLED: &str = "the request was cancelled";

/// Answers a chat request, as a stream or as a single JSON response.
pub async fn answer_chat(server: &EngineServer, request: Request<Incoming>) -> EngineResult {
    let (head, body) = request.into_parts();
    let text_of = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let id = text_of(REQUEST_ID).unwrap_or_default().to_string();
    let tag = text_of(TAG_HEADER).map(str::to_string);
    let priority = text_of(PRIORITY).and_then(|text| text.parse().ok()).unwrap_or_default();
    let body = read_body(body).await.map_err(invalid_request)?;
    let chat: ChatRequest = serde_json::from_slice(&body).map_err(invalid_request)?;
    server.loader.check_loaded(&chat.model, chat.adapter.as_deref())?;
    let prompt = render_prompt(&chat.messages);
    if server.options.crash_on.as_ref().is_some_and(|text| prompt.contains(text)) {
        log::error!(request = id; "engine exits: the prompt contains the text of --ends-on");
        std::process::exit(CRASH_EXIT_CODE);
    }
    let plan = AnswerPlan::new(&chat.model, &prompt, chat.max_tokens);
    let (model, adapter) = (chat.model, chat.adapter);
    let request = EngineRequest { id: id.clone(), tag, model, adapter, prompt, priority, plan };
    let reader = server.batch.submit(request);
    let reader =
        reader.ok_or_else(|| engine_error(EngineErrorCode::QueueFull, "too many requests wait"))?;
    if server.options.is_endless {
        return Ok(respond::endless(EVENT_STREAM));
    }
    match chat.stream {
        true => Ok(framed_stream(server, id, reader)),
        false => complete_answer(id, reader).await,
    }
}

/// Resumes the answer stream of a request from the token in the `from` query parameter.
pub fn resume_stream(server: &EngineServer, id: &str, request: &Request<Incoming>) -> EngineResult {
    let batch = &server.batch;
    let from = query_number(request.uri(), "from").unwrap_or(0);
    if batch.end_of(id) == Some(AnswerEnd::Cancelled) {
        return Err(engine_error(EngineErrorCode::Cancelled, CANCELLED));
    }
    let reader = batch.resume(id, from).ok_or_else(|| unknown_request(id))?;
    Ok(framed_stream(server, id.to_string(), reader))
}

/// Streams the answer with the framing that the options ask for. An answer of HTTP/1.0 has neither
/// a length nor chunks.
fn framed_stream(server: &EngineServer, id: String, reader: AnswerReader) -> Response<AnswerBody> {
    let mut response = stream_answer(id, reader);
    if server.options.close_delimited {
        *response.version_mut() = Version::HTTP_10;
    }
    response
}

/// Cancels a request.
pub fn cancel_request(batch: &EngineBatch, id: &str) -> EngineResult {
    let end = batch.cancel(id).ok_or_else(|| unknown_request(id))?;
    let cancelled = end == AnswerEnd::Cancelled;
    Ok(respond::json(StatusCode::OK, &CancelOutcome { cancelled }))
}

fn unknown_request(id: &str) -> EngineError {
    let message = format!("no request {id} runs or ended recently");
    engine_error(EngineErrorCode::UnknownRequest, message)
}

async fn complete_answer(id: String, mut reader: AnswerReader) -> EngineResult {
    let mut content = String::new();
    while let Some(event) = reader.next().await {
        match event {
            AnswerEvent::Token(token) => content.push_str(&token),
            AnswerEvent::End(AnswerEnd::Complete(usage)) => {
                return Ok(completion(id, content, usage));
            }
            AnswerEvent::End(AnswerEnd::Cancelled) => break,
        }
    }
    Err(engine_error(EngineErrorCode::Cancelled, CANCELLED))
}

fn completion(id: String, content: String, usage: UsageReport) -> Response<AnswerBody> {
    let message = ChatMessage { role: "assistant".to_string(), content };
    let choice = CompletionChoice { message, finish_reason: "stop".to_string() };
    respond::json(StatusCode::OK, &ChatCompletion { id, choices: vec![choice], usage })
}

/// Streams the answer as server-sent events. The stream of a cancelled request is truncated.
fn stream_answer(id: String, mut reader: AnswerReader) -> Response<AnswerBody> {
    let mut pending = VecDeque::new();
    let pieces = stream::poll_fn(move |context| {
        if let Some(piece) = pending.pop_front() {
            return Poll::Ready(Some(Ok(piece)));
        }
        reader.poll_next_unpin(context).map(|event| match event? {
            AnswerEvent::Token(token) => Some(Ok(chunk_piece(&id, token, None))),
            AnswerEvent::End(AnswerEnd::Complete(_)) if reader.starts_past_usage() => {
                Some(Ok(Bytes::from(format!("data: {STREAM_END}\n\n"))))
            }
            AnswerEvent::End(AnswerEnd::Complete(usage)) => {
                pending.push_back(Bytes::from(format!("data: {STREAM_END}\n\n")));
                Some(Ok(chunk_piece(&id, String::new(), Some(usage))))
            }
            AnswerEvent::End(AnswerEnd::Cancelled) => Some(Err(BodyError(CANCELLED.to_string()))),
        })
    });
    let body = AnswerBody::Stream(Box::pin(pieces));
    respond::typed(StatusCode::OK, "text/event-stream", body)
}

fn chunk_piece(id: &str, content: String, usage: Option<UsageReport>) -> Bytes {
    let finish_reason = usage.map(|_| "stop".to_string());
    let choice = ChunkChoice { delta: ChunkDelta { content }, finish_reason };
    let chunk = ChatChunk { id: id.to_string(), choices: vec![choice], usage };
    let json = serde_json::to_string(&chunk).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}
