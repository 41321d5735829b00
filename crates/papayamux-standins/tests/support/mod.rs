//! Test support: starts stand-ins in the test process and calls them.
#![allow(dead_code, reason = "each test file uses a part of this module")]
#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use monoio::net::TcpListener;
use papayamux_protocol::chat::{ChatChunk, ChatMessage, ChatRequest, STREAM_END};
use papayamux_protocol::engine::{render_prompt, CHAT_PATH};
use papayamux_protocol::headers::{PRIORITY, REQUEST_ID};
use papayamux_standins::engine::{expected_answer, serve_engine, EngineOptions};
use papayamux_transport::http::{ClientAnswer, HttpClient};
use papayamux_transport::{listen::listen, runtime, shutdown::ShutdownSignal};
use serde::de::DeserializeOwned;
use serde::Serialize;

const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;
pub const MODEL: &str = "itinerary";

/// Runs a test on the stand-ins' runtime.
pub fn run(test: impl Future<Output = ()>) {
    runtime::run(test).unwrap();
}

/// Serves a stand-in in the background.
pub fn start<F>(serve: impl FnOnce(TcpListener, ShutdownSignal) -> F) -> TestClient
where
    F: Future<Output = std::io::Result<()>> + 'static,
{
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let address = listener.local_addr().unwrap();
    let serving = serve(listener, ShutdownSignal::new());
    monoio::spawn(async move { serving.await.unwrap() });
    TestClient { client: HttpClient::new(address) }
}

pub fn engine_options() -> EngineOptions {
    let models = vec![MODEL.parse().unwrap()];
    EngineOptions::builder()
        .server("engine-0".parse().unwrap())
        .models(models)
        .step(std::time::Duration::from_millis(1))
        .load_time(std::time::Duration::ZERO)
        .build()
}

pub fn start_engine(options: EngineOptions) -> TestClient {
    start(|listener, shutdown| serve_engine(listener, options, shutdown))
}

/// A client of one stand-in.
#[derive(Clone)]
pub struct TestClient {
    client: HttpClient,
}

impl TestClient {
    pub fn address(&self) -> SocketAddr {
        self.client.address()
    }

    pub async fn send(&self, request: Request<Bytes>) -> ClientAnswer {
        self.client.send_once(request).await.unwrap()
    }

    pub async fn call(&self, method: Method, path: &str, body: Bytes) -> (StatusCode, Bytes) {
        let request = Request::builder().method(method).uri(path).header("host", "standin");
        let answer = self.send(request.body(body).unwrap()).await;
        let status = answer.head.status;
        (status, answer.read_body(MAX_ANSWER_BYTES).await.unwrap())
    }

    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> T {
        let (status, body) = self.call(Method::GET, path, Bytes::new()).await;
        assert_eq!(status, StatusCode::OK, "{path}: {body:?}");
        serde_json::from_slice(&body).unwrap()
    }

    /// Sends a JSON body, checks the status and parses the JSON of the answer.
    pub async fn put<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        value: &impl Serialize,
        expected: StatusCode,
    ) -> T {
        let body = Bytes::from(serde_json::to_vec(value).unwrap());
        let (status, body) = self.call(method, path, body).await;
        assert_eq!(status, expected, "{path}: {body:?}");
        serde_json::from_slice(&body).unwrap()
    }

    /// Polls `path` until the answer satisfies `met`.
    pub async fn until<T: DeserializeOwned>(&self, path: &str, met: impl Fn(&T) -> bool) -> T {
        loop {
            let value = self.get(path).await;
            if met(&value) {
                return value;
            }
        }
    }

    /// Starts a streamed chat.
    pub async fn chat(&self, id: &str, question: &str, tokens: u32) -> TestStream {
        self.chat_at(id, 0, question, tokens).await
    }

    /// Starts a streamed chat in the given priority class.
    pub async fn chat_at(&self, id: &str, class: u32, question: &str, tokens: u32) -> TestStream {
        let body = serde_json::to_vec(&chat_request(question, tokens)).unwrap();
        let request = Request::post(CHAT_PATH).header("host", "engine");
        let request = request.header(REQUEST_ID, id).header(PRIORITY, class);
        TestStream::new(self.send(request.body(body.into()).unwrap()).await)
    }

    /// Resumes the stream of a request.
    pub async fn resume(&self, path: &str) -> TestStream {
        let request = Request::get(path).header("host", "engine").body(Bytes::new());
        TestStream::new(self.send(request.unwrap()).await)
    }
}

pub fn chat_request(question: &str, tokens: u32) -> ChatRequest {
    let message = ChatMessage { role: "user".to_string(), content: question.to_string() };
    ChatRequest {
        model: MODEL.to_string(),
        adapter: None,
        messages: vec![message],
        stream: true,
        max_tokens: Some(tokens),
        conversation: None,
    }
}

pub fn expected(question: &str, tokens: u32) -> String {
    let prompt = render_prompt(&chat_request(question, tokens).messages);
    expected_answer(MODEL, &prompt, Some(tokens))
}

/// A streamed answer, read event by event.
pub struct TestStream {
    answer: ClientAnswer,
    text: String,
}

impl TestStream {
    fn new(answer: ClientAnswer) -> Self {
        Self { answer, text: String::new() }
    }

    pub fn status(&self) -> StatusCode {
        self.answer.head.status
    }

    /// Returns the data of the next event, or `None` if the stream is truncated.
    async fn next_data(&mut self) -> Option<String> {
        loop {
            if let Some((event, rest)) = self.text.split_once("\n\n") {
                let data = event.strip_prefix("data: ").unwrap().to_string();
                self.text = rest.to_string();
                return Some(data);
            }
            let piece = self.answer.next_piece().await?.ok()?;
            self.text.push_str(std::str::from_utf8(&piece).unwrap());
        }
    }

    /// Reads the text of the next `count` tokens.
    pub async fn tokens(&mut self, count: usize) -> String {
        let mut text = String::new();
        for _ in 0..count {
            let data = self.next_data().await.unwrap();
            let chunk: ChatChunk = serde_json::from_str(&data).unwrap();
            text.push_str(&chunk.choices[0].delta.content);
        }
        text
    }

    /// Reads the remaining text, or returns `None` if the stream is truncated.
    pub async fn rest(mut self) -> Option<String> {
        let mut text = String::new();
        loop {
            let data = self.next_data().await?;
            if data == STREAM_END {
                return Some(text);
            }
            let chunk: ChatChunk = serde_json::from_str(&data).unwrap();
            text.push_str(&chunk.choices[0].delta.content);
        }
    }
}
