//! The engine's HTTP interface.

use std::rc::Rc;

use http::{Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use monoio::net::TcpListener;
use papayamux_protocol::engine::{
    CacheEventPage, EngineErrorCode, EngineOrder, CACHE_BLOCKS_PATH, CACHE_EVENTS_PATH, CHAT_PATH,
    KV_EXPORT_PATH, KV_IMPORT_PATH, LOAD_PATH, MAX_EVENTS_PER_PAGE, ORDERS_PATH, REQUESTS_PATH,
    STATE_PATH,
};
use papayamux_transport::http::{serve, AnswerBody, HttpLimits};
use papayamux_transport::shutdown::ShutdownSignal;

use super::batch::EngineBatch;
use super::chat_interface::{answer_chat, cancel_request, resume_stream};
use super::failure::{engine_error, failure_response, invalid_request, EngineResult};
use super::kv_interface::{export_blocks, import_blob};
use super::model_loader::ModelLoader;
use super::options::EngineOptions;
use crate::query::query_number;
use crate::request_body::read_body;
use crate::respond;
use crate::run_tag::TAG_RUNS_PATH;

/// Path of the number of runs by request id.
pub const RUNS_PATH: &str = "/standin/runs";
/// Path of the current load, without lag.
pub const TRUE_LOAD_PATH: &str = "/standin/load";

/// The components that serve an engine's requests.
pub struct EngineServer {
    /// Options of the engine.
    pub options: Rc<EngineOptions>,
    /// Batch that runs the requests.
    pub batch: EngineBatch,
    /// Loader of models and adapters.
    pub loader: ModelLoader,
}

/// Serves an engine until `shutdown`.
pub async fn serve_engine(
    listener: TcpListener,
    options: EngineOptions,
    shutdown: ShutdownSignal,
) -> std::io::Result<()> {
    let options = Rc::new(options);
    let batch = EngineBatch::start(options.clone());
    let loader = ModelLoader::new(options.clone(), batch.clone());
    let server = Rc::new(EngineServer { options, batch, loader });
    let handler = Rc::new(move |request| respond_to(server.clone(), request));
    serve(listener, HttpLimits::default(), shutdown, handler).await
}

async fn respond_to(server: Rc<EngineServer>, request: Request<Incoming>) -> Response<AnswerBody> {
    answer(&server, request).await.unwrap_or_else(failure_response)
}

async fn answer(server: &EngineServer, request: Request<Incoming>) -> EngineResult {
    let uri = request.uri().clone();
    match (request.method(), uri.path()) {
        (&Method::POST, CHAT_PATH) => answer_chat(server, request).await,
        (&Method::POST, ORDERS_PATH) => handle_order(server, request).await,
        (&Method::POST, KV_EXPORT_PATH) => export_blocks(server, request).await,
        (&Method::POST, KV_IMPORT_PATH) => import_blob(server, request).await,
        (&Method::GET, STATE_PATH) => Ok(respond::json(StatusCode::OK, &server.loader.state())),
        (&Method::GET, path) if !path.starts_with(REQUESTS_PATH) => read_batch(server, &uri),
        _ => answer_for_request(server, &request),
    }
}

/// Handles calls to the path of a single request: cancelling it and resuming its stream.
fn answer_for_request(server: &EngineServer, request: &Request<Incoming>) -> EngineResult {
    let path = request.uri().path();
    let below = path.strip_prefix(REQUESTS_PATH).and_then(|path| path.strip_prefix('/'));
    let (id, act) = below.and_then(|path| path.rsplit_once('/')).unwrap_or_default();
    match (request.method(), act) {
        (&Method::POST, "cancel") => cancel_request(&server.batch, id),
        (&Method::GET, "stream") => resume_stream(server, id, request),
        _ => Err(engine_error(EngineErrorCode::UnknownPath, format!("nothing at {path}"))),
    }
}

fn read_batch(server: &EngineServer, uri: &Uri) -> EngineResult {
    let batch = &server.batch;
    Ok(match uri.path() {
        LOAD_PATH => respond::json(StatusCode::OK, &batch.reported_load()),
        TRUE_LOAD_PATH => respond::json(StatusCode::OK, &batch.true_load()),
        RUNS_PATH => respond::json(StatusCode::OK, &batch.runs()),
        TAG_RUNS_PATH => respond::json(StatusCode::OK, &batch.tag_runs()),
        CACHE_BLOCKS_PATH => respond::json(StatusCode::OK, &batch.cache_snapshot()),
        CACHE_EVENTS_PATH => respond::json(StatusCode::OK, &event_page(batch, uri)),
        path => return Err(engine_error(EngineErrorCode::UnknownPath, format!("no {path}"))),
    })
}

fn event_page(batch: &EngineBatch, uri: &Uri) -> CacheEventPage {
    let after = query_number(uri, "after").unwrap_or(0);
    let limit = query_number(uri, "limit").unwrap_or(MAX_EVENTS_PER_PAGE as u64);
    batch.cache_events(after, usize::try_from(limit).unwrap_or(usize::MAX))
}

async fn handle_order(server: &EngineServer, request: Request<Incoming>) -> EngineResult {
    let body = read_body(request.into_body()).await.map_err(invalid_request)?;
    let order: EngineOrder = serde_json::from_slice(&body).map_err(invalid_request)?;
    let state = server.loader.apply_order(order)?;
    Ok(respond::json(StatusCode::ACCEPTED, &state))
}
