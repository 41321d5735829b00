//! The HTTP server of the operators' port: `/metrics`, `/status` and `/ready`.

use std::io;
use std::rc::Rc;

use http::header::CONTENT_TYPE;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use monoio::net::TcpListener;
use papayamux_transport::http::{serve, AnswerBody, HttpLimits};
use papayamux_transport::shutdown::ShutdownSignal;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// The state of a daemon that the operators' port serves.
pub trait OperationsView {
    /// Returns `true` if the load balancer should send callers to this process.
    fn is_ready(&self) -> bool;
    /// Returns the state of the daemon for `/status`.
    fn status(&self) -> serde_json::Value;
}

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON_TYPE: &str = "application/json";
/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 64;

/// The default path of the load balancer's readiness check.
pub const READY_PATH: &str = "/ready";

/// Serves the operators' port until `shutdown`; `ready_path` is the path of the readiness check.
pub async fn serve_operations(
    listener: TcpListener,
    ready_path: String,
    registry: Rc<Registry>,
    view: Rc<dyn OperationsView>,
    shutdown: ShutdownSignal,
) -> io::Result<()> {
    let limits = HttpLimits { connections: MAX_CONNECTIONS, ..HttpLimits::default() };
    let handler = Rc::new(move |request: Request<Incoming>| {
        let answer = answer_operator(&request, &ready_path, &registry, &*view);
        async move { answer }
    });
    serve(listener, limits, shutdown, handler).await
}

fn answer_operator(
    request: &Request<Incoming>,
    ready_path: &str,
    registry: &Registry,
    view: &dyn OperationsView,
) -> Response<AnswerBody> {
    if request.method() != Method::GET {
        return answer(
            StatusCode::METHOD_NOT_ALLOWED,
            JSON_TYPE,
            "{\"error\":\"only GET\"}".into(),
        );
    }
    match request.uri().path() {
        "/metrics" => {
            let mut text = String::new();
            let status = match encode(&mut text, registry) {
                Ok(()) => StatusCode::OK,
                Err(_) => StatusCode::INTERNAL_SERVER_ERROR,
            };
            answer(status, METRICS_TYPE, text)
        }
        "/status" => answer(StatusCode::OK, JSON_TYPE, view.status().to_string()),
        path if path == ready_path && view.is_ready() => {
            answer(StatusCode::OK, JSON_TYPE, "{\"ready\":true}".into())
        }
        path if path == ready_path => {
            answer(StatusCode::SERVICE_UNAVAILABLE, JSON_TYPE, "{\"ready\":false}".into())
        }
        _ => answer(
            StatusCode::NOT_FOUND,
            JSON_TYPE,
            "{\"error\":\"try /metrics, /status or /ready\"}".into(),
        ),
    }
}

fn answer(status: StatusCode, content_type: &'static str, text: String) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(text.into()));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
