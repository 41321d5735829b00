//! The engine's HTTP interface.

use std::collections::VecDeque;
use std::rc::Rc;
use std::task::Poll;

use bytes::Bytes;
use futures_util::stream;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use local_sync::mpsc::unbounded;
use monoio::net::TcpListener;
use papayamux_protocol::chat::{
    ChatChunk, ChatCompletion, ChatMessage, ChatRequest, ChunkChoice, ChunkDelta, CompletionChoice,
    UsageReport, STREAM_END,
};
use papayamux_protocol::engine::{
    render_prompt, CACHE_BLOCKS_PATH, CACHE_EVENTS_PATH, CHAT_PATH, LOAD_PATH, LONGEST_EVENT_PAGE,
};
use papayamux_protocol::headers::{PRIORITY, REQUEST_ID};
use papayamux_transport::http::{serve, AnswerBody, HttpLimits};
use papayamux_transport::shutdown::ShutdownSignal;

use super::answer_plan::AnswerPlan;
use super::batch::{EngineBatch, EngineEvent, EngineRequest};
use super::options::EngineOptions;
use crate::query::query_number;
use crate::respond;
use crate::run_tag::{TAG_HEADER, TAG_RUNS_PATH};

/// Bytes of the longest request body.
const LONGEST_BODY: usize = 16 * 1024 * 1024;
/// The path that says how often each request id was run.
pub const RUNS_PATH: &str = "/standin/runs";
/// The path of the load as it truly is, without lag.
pub const TRUE_LOAD_PATH: &str = "/standin/load";

/// Serves an engine until `shutdown`.
pub async fn serve_engine(
    listener: TcpListener,
    options: EngineOptions,
    shutdown: ShutdownSignal,
) -> std::io::Result<()> {
    let batch = EngineBatch::start(options);
    let handler = Rc::new(move |request| answer(batch.clone(), request));
    serve(listener, HttpLimits::default(), shutdown, handler).await
}

async fn answer(batch: EngineBatch, request: Request<Incoming>) -> Response<AnswerBody> {
    let path = request.uri().path().to_string();
    match (request.method(), path.as_str()) {
        (&Method::POST, CHAT_PATH) => match read_chat(&batch, request).await {
            Ok((chat, request)) => answer_chat(&batch, &chat, request).await,
            Err(message) => respond::refuse(StatusCode::BAD_REQUEST, &message),
        },
        (&Method::GET, LOAD_PATH) => respond::json(StatusCode::OK, &batch.reported_load()),
        (&Method::GET, TRUE_LOAD_PATH) => respond::json(StatusCode::OK, &batch.true_load()),
        (&Method::GET, CACHE_BLOCKS_PATH) => respond::json(StatusCode::OK, &batch.cache_snapshot()),
        (&Method::GET, CACHE_EVENTS_PATH) => {
            let after = query_number(request.uri(), "after").unwrap_or(0);
            let limit = query_number(request.uri(), "limit").unwrap_or(LONGEST_EVENT_PAGE as u64);
            respond::json(StatusCode::OK, &batch.cache_events(after, limit as usize))
        }
        (&Method::GET, RUNS_PATH) => respond::json(StatusCode::OK, &batch.runs()),
        (&Method::GET, TAG_RUNS_PATH) => respond::json(StatusCode::OK, &batch.tag_runs()),
        _ => respond::refuse(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn read_chat(
    batch: &EngineBatch,
    request: Request<Incoming>,
) -> Result<(ChatRequest, EngineRequest), String> {
    let (head, body) = request.into_parts();
    let text_of = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let id = text_of(REQUEST_ID).unwrap_or_default().to_string();
    let tag = text_of(TAG_HEADER).map(str::to_string);
    let priority = text_of(PRIORITY).and_then(|text| text.parse().ok()).unwrap_or_default();
    let body =
        Limited::new(body, LONGEST_BODY).collect().await.map_err(|error| error.to_string())?;
    let chat: ChatRequest =
        serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string())?;
    let models = &batch.options().models;
    if !models.iter().any(|model| model.as_str() == chat.model) {
        return Err(format!("model {} is not loaded", chat.model));
    }
    let prompt = render_prompt(&chat.messages);
    let plan = AnswerPlan::new(&chat.model, &prompt, chat.max_tokens);
    let (model, adapter) = (chat.model.clone(), chat.adapter.clone());
    let request = EngineRequest { id, tag, model, adapter, prompt, priority, plan };
    Ok((chat, request))
}

async fn answer_chat(
    batch: &EngineBatch,
    chat: &ChatRequest,
    request: EngineRequest,
) -> Response<AnswerBody> {
    let id = request.id.clone();
    let mut events = batch.submit(request);
    if chat.stream {
        return stream_answer(id, events);
    }
    let mut content = String::new();
    while let Some(event) = events.recv().await {
        match event {
            EngineEvent::Token(token) => content.push_str(&token),
            EngineEvent::Done(usage) => return whole_answer(id, content, usage),
        }
    }
    respond::refuse(StatusCode::INTERNAL_SERVER_ERROR, "the engine stopped")
}

fn whole_answer(id: String, content: String, usage: UsageReport) -> Response<AnswerBody> {
    let message = ChatMessage { role: "assistant".to_string(), content };
    let choice = CompletionChoice { message, finish_reason: "stop".to_string() };
    respond::json(StatusCode::OK, &ChatCompletion { id, choices: vec![choice], usage })
}

fn stream_answer(id: String, mut events: unbounded::Rx<EngineEvent>) -> Response<AnswerBody> {
    let mut pending = VecDeque::new();
    let pieces = stream::poll_fn(move |context| {
        if let Some(piece) = pending.pop_front() {
            return Poll::Ready(Some(Ok(piece)));
        }
        events.poll_recv(context).map(|event| {
            let event = event?;
            if matches!(event, EngineEvent::Done(_)) {
                pending.push_back(Bytes::from(format!("data: {STREAM_END}\n\n")));
            }
            Some(Ok(chunk_piece(&id, event)))
        })
    });
    let body = AnswerBody::Stream(Box::pin(pieces));
    respond::typed(StatusCode::OK, "text/event-stream", body)
}

fn chunk_piece(id: &str, event: EngineEvent) -> Bytes {
    let (content, finish_reason, usage) = match event {
        EngineEvent::Token(token) => (token, None, None),
        EngineEvent::Done(usage) => (String::new(), Some("stop".to_string()), Some(usage)),
    };
    let choice = ChunkChoice { delta: ChunkDelta { content }, finish_reason };
    let chunk = ChatChunk { id: id.to_string(), choices: vec![choice], usage };
    let json = serde_json::to_string(&chunk).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}
