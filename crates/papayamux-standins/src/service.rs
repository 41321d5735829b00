//! Stand-in for a plain service: echoes each call and counts its runs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use monoio::net::TcpListener;
use papayamux_protocol::headers::{IDEMPOTENCY_KEY, REQUEST_ID};
use papayamux_transport::http::{serve, AnswerBody, HttpLimits};
use papayamux_transport::shutdown::ShutdownSignal;
use serde::{Deserialize, Serialize};

use crate::request_body::read_body;
use crate::respond;
use crate::run_tag::{TAG_HEADER, TAG_RUNS_PATH};

/// Path of the [`ServiceRuns`]: the number of runs per request id, idempotency key and tag.
pub const RUNS_PATH: &str = "/standin/runs";

/// Options of a plain service stand-in.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Name of the service.
    pub name: String,
    /// Processing time of a call.
    pub call_time: Duration,
    /// Answers calls with bytes without end.
    pub is_endless: bool,
}

/// Run counts, as tests read them over HTTP.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRuns {
    /// Number of runs by request id.
    pub by_request: HashMap<String, u64>,
    /// Number of runs by idempotency key.
    pub by_key: HashMap<String, u64>,
    /// Number of runs by tag, see [`TAG_HEADER`].
    pub by_tag: HashMap<String, u64>,
}

/// The answer to a call, which echoes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Name of the service.
    pub service: String,
    /// HTTP method of the call.
    pub method: String,
    /// Path and query of the call.
    pub path: String,
    /// The body of the call.
    pub body: String,
}

/// Serves a plain service until `shutdown`.
pub async fn serve_service(
    listener: TcpListener,
    options: ServiceOptions,
    shutdown: ShutdownSignal,
) -> std::io::Result<()> {
    let options = Rc::new(options);
    let runs: Rc<RefCell<ServiceRuns>> = Rc::default();
    let handler = Rc::new(move |request| answer(options.clone(), runs.clone(), request));
    serve(listener, HttpLimits::default(), shutdown, handler).await
}

async fn answer(
    options: Rc<ServiceOptions>,
    runs: Rc<RefCell<ServiceRuns>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, RUNS_PATH) => return respond::json(StatusCode::OK, &*runs.borrow()),
        (&Method::GET, TAG_RUNS_PATH) => {
            return respond::json(StatusCode::OK, &runs.borrow().by_tag);
        }
        _ => {}
    }
    let (head, body) = request.into_parts();
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(error) => return respond::refuse(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    count_run(&runs, &head);
    if !options.call_time.is_zero() {
        monoio::time::sleep(options.call_time).await;
    }
    if options.is_endless {
        return respond::endless("text/plain");
    }
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
    let body = String::from_utf8_lossy(&body).into_owned();
    let method = head.method.to_string();
    let service = options.name.clone();
    respond::json(StatusCode::OK, &ServiceAnswer { service, method, path, body })
}

fn count_run(runs: &RefCell<ServiceRuns>, head: &http::request::Parts) {
    let text_of = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let mut runs = runs.borrow_mut();
    if let Some(id) = text_of(REQUEST_ID) {
        *runs.by_request.entry(id.to_string()).or_default() += 1;
    }
    if let Some(tag) = text_of(TAG_HEADER) {
        *runs.by_tag.entry(tag.to_string()).or_default() += 1;
    }
    if let Some(key) = text_of(IDEMPOTENCY_KEY) {
        *runs.by_key.entry(key.to_string()).or_default() += 1;
    }
}
