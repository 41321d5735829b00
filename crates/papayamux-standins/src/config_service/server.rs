//! HTTP interface of the configuration service, for readers and tests.

use std::rc::Rc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use monoio::net::TcpListener;
use papayamux_protocol::platform::{FileRevision, FILES_PATH, MAX_WATCH_MS, WATCH_PATH};
use papayamux_transport::http::{serve, AnswerBody, HttpLimits};
use papayamux_transport::shutdown::ShutdownSignal;

use super::file_history::HistoryError;
use super::options::ConfigServiceOptions;
use super::service_state::ServiceState;
use crate::query::query_number;
use crate::request_body::read_body;
use crate::respond;

/// Path below which tests put and remove files.
pub const STANDIN_FILES_PATH: &str = "/standin/files";
/// Path at which tests read and replace the faults.
pub const FAULTS_PATH: &str = "/standin/faults";
/// Path of the call counters.
pub const COUNTERS_PATH: &str = "/standin/counters";

/// Returns the path at which tests put and remove a file.
pub fn standin_file_path(name: &str) -> String {
    format!("{STANDIN_FILES_PATH}/{name}")
}

/// Serves a configuration service until `shutdown`.
pub async fn serve_config_service(
    listener: TcpListener,
    options: ConfigServiceOptions,
    shutdown: ShutdownSignal,
) -> std::io::Result<()> {
    let state = Rc::new(ServiceState::new(options));
    let handler = Rc::new(move |request| answer(state.clone(), request));
    serve(listener, HttpLimits::default(), shutdown, handler).await
}

async fn answer(state: Rc<ServiceState>, request: Request<Incoming>) -> Response<AnswerBody> {
    match request.uri().path().starts_with("/standin/") {
        true => answer_test(&state, request).await,
        false => answer_reader(&state, &request).await,
    }
}

async fn answer_reader(state: &ServiceState, request: &Request<Incoming>) -> Response<AnswerBody> {
    if !state.accept_read() {
        return respond::too_many("more reads than the service answers");
    }
    let delay = Duration::from_millis(state.faults().delay_ms);
    if !delay.is_zero() {
        monoio::time::sleep(delay).await;
    }
    if state.faults().unavailable {
        return unavailable();
    }
    let uri = request.uri();
    let file = uri.path().strip_prefix(FILES_PATH).and_then(|path| path.strip_prefix('/'));
    match (request.method(), uri.path(), file) {
        (&Method::GET, FILES_PATH, _) => respond::json(StatusCode::OK, &state.listing(0)),
        (&Method::GET, WATCH_PATH, _) => answer_watch(state, request).await,
        (&Method::GET, _, Some(name)) => match state.file(name) {
            Some(file) => respond::json(StatusCode::OK, &file),
            None => respond::refuse(StatusCode::NOT_FOUND, "no such file"),
        },
        _ => respond::refuse(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn answer_watch(state: &ServiceState, request: &Request<Incoming>) -> Response<AnswerBody> {
    let after = query_number(request.uri(), "after").unwrap_or(0);
    let timeout = query_number(request.uri(), "timeout_ms").unwrap_or(MAX_WATCH_MS);
    let timeout = Duration::from_millis(timeout.min(MAX_WATCH_MS));
    let listing = state.watch(after, timeout).await;
    match state.faults().unavailable {
        true => unavailable(),
        false => respond::json(StatusCode::OK, &listing),
    }
}

fn unavailable() -> Response<AnswerBody> {
    respond::refuse(StatusCode::SERVICE_UNAVAILABLE, "the service is down")
}

async fn answer_test(state: &ServiceState, request: Request<Incoming>) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let file = path.strip_prefix(STANDIN_FILES_PATH).and_then(|path| path.strip_prefix('/'));
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(error) => return respond::refuse(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    match (&head.method, path, file) {
        (&Method::GET, COUNTERS_PATH, _) => respond::json(StatusCode::OK, &state.counters()),
        (&Method::GET, FAULTS_PATH, _) => respond::json(StatusCode::OK, &state.faults()),
        (&Method::PUT, FAULTS_PATH, _) => match serde_json::from_slice(&body) {
            Ok(faults) => respond::json(StatusCode::OK, &state.set_faults(faults)),
            Err(error) => respond::refuse(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        (&Method::PUT, _, Some(name)) => match std::str::from_utf8(&body) {
            Ok(text) => changed_file(name, false, state.put(name, Some(text))),
            Err(error) => respond::refuse(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        (&Method::DELETE, _, Some(name)) => changed_file(name, true, state.put(name, None)),
        _ => respond::refuse(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn changed_file(
    name: &str,
    removed: bool,
    result: Result<u64, HistoryError>,
) -> Response<AnswerBody> {
    let status = match &result {
        Ok(_) => StatusCode::OK,
        Err(HistoryError::Name) => StatusCode::BAD_REQUEST,
        Err(HistoryError::TooLong(_)) => StatusCode::PAYLOAD_TOO_LARGE,
        Err(HistoryError::Full) => StatusCode::INSUFFICIENT_STORAGE,
    };
    match result {
        Ok(revision) => {
            respond::json(status, &FileRevision { name: name.to_string(), revision, removed })
        }
        Err(error) => respond::refuse(status, &error.to_string()),
    }
}
