//! Stand-in for the instance list: serves the list with a configurable lag.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use monoio::net::TcpListener;
use papayamux_protocol::platform::{InstanceList, INSTANCES_PATH};
use papayamux_transport::http::{serve, AnswerBody, HttpLimits};
use papayamux_transport::shutdown::ShutdownSignal;

use crate::lagged::LaggedValue;
use crate::request_body::read_body;
use crate::respond;

/// Path of the current list, without lag; tests replace the list there.
pub const TRUE_INSTANCES_PATH: &str = "/standin/instances";
/// Maximum number of instances in a list.
const MAX_INSTANCES: usize = 10_000;

type SharedList = Rc<RefCell<LaggedValue<Rc<InstanceList>>>>;

/// Serves an instance list to which changes become visible after `lag`, until `shutdown`.
pub async fn serve_instance_list(
    listener: TcpListener,
    lag: Duration,
    shutdown: ShutdownSignal,
) -> std::io::Result<()> {
    let list = LaggedValue::new(lag, Rc::new(InstanceList::default()));
    let list: SharedList = Rc::new(RefCell::new(list));
    let handler = Rc::new(move |request| answer(list.clone(), request));
    serve(listener, HttpLimits::default(), shutdown, handler).await
}

async fn answer(list: SharedList, request: Request<Incoming>) -> Response<AnswerBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, INSTANCES_PATH) => {
            let seen = list.borrow_mut().seen(Instant::now()).clone();
            respond::json(StatusCode::OK, &*seen)
        }
        (&Method::GET, TRUE_INSTANCES_PATH) => {
            let present = list.borrow().present().clone();
            respond::json(StatusCode::OK, &*present)
        }
        (&Method::PUT, TRUE_INSTANCES_PATH) => match read_list(request).await {
            Ok(present) => {
                list.borrow_mut().set(Instant::now(), Rc::new(present));
                respond::json(StatusCode::OK, &**list.borrow().present())
            }
            Err(message) => respond::refuse(StatusCode::BAD_REQUEST, &message),
        },
        _ => respond::refuse(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn read_list(request: Request<Incoming>) -> Result<InstanceList, String> {
    let body = read_body(request.into_body()).await.map_err(|error| error.to_string())?;
    let list: InstanceList = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    match list.instances.len() {
        0..=MAX_INSTANCES => Ok(list),
        count => Err(format!("{count} instances, the bound is {MAX_INSTANCES}")),
    }
}
