//! HTTP control port that sets a link's faults.

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use monoio::net::TcpListener;
use papayamux_transport::http::{serve, AnswerBody, HttpLimits};
use papayamux_transport::shutdown::ShutdownSignal;
use serde::{Deserialize, Serialize};

use super::link_faults::{FaultyWays, LinkFaults};
use super::link_proxy::LinkProxy;
use crate::respond;

/// `POST` with [`LinkFaults`] as JSON replaces the faults.
pub const FAULTS_PATH: &str = "/standin/faults";
/// `POST` closes all connections immediately.
pub const CUT_PATH: &str = "/standin/cut";
/// `POST` with [`HalfCloseOrder`] as JSON half-closes all open connections.
pub const HALF_CLOSE_PATH: &str = "/standin/half-close";
/// `GET` returns the link's [`super::ConnectionReport`].
pub const CONNECTIONS_PATH: &str = "/standin/connections";
/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// An order to half-close all open connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HalfCloseOrder {
    /// Directions to close.
    pub ways: FaultyWays,
}

/// Serves the control port until `shutdown`.
pub async fn serve_control(
    listener: TcpListener,
    proxy: LinkProxy,
    shutdown: ShutdownSignal,
) -> std::io::Result<()> {
    let handler = Rc::new(move |request| answer(proxy.clone(), request));
    serve(listener, HttpLimits::default(), shutdown, handler).await
}

async fn answer(proxy: LinkProxy, request: Request<Incoming>) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return respond::refuse(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    match apply_order(&proxy, &head.method, head.uri.path(), &body) {
        Ok(true) => respond::json(StatusCode::OK, &proxy.report()),
        Ok(false) => respond::refuse(StatusCode::NOT_FOUND, "no such order"),
        Err(error) => respond::refuse(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// Applies an order. Returns `false` if the method and path are unknown.
fn apply_order(
    proxy: &LinkProxy,
    method: &Method,
    path: &str,
    body: &Bytes,
) -> Result<bool, serde_json::Error> {
    match (method, path) {
        (&Method::GET, CONNECTIONS_PATH) => {}
        (&Method::POST, FAULTS_PATH) => {
            proxy.set_faults(serde_json::from_slice::<LinkFaults>(body)?);
        }
        (&Method::POST, CUT_PATH) => proxy.cut_all(),
        (&Method::POST, HALF_CLOSE_PATH) => {
            proxy.half_close_all(serde_json::from_slice::<HalfCloseOrder>(body)?.ways);
        }
        _ => return Ok(false),
    }
    Ok(true)
}
