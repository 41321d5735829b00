//! Stand-in for the weight store: serves the weights of any model as zero bytes, at a limited rate.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use monoio::net::TcpListener;
use papayamux_protocol::platform::{MAX_WEIGHTS_BYTES, WEIGHTS_PATH};
use papayamux_transport::http::{serve, AnswerBody, HttpLimits};
use papayamux_transport::shutdown::ShutdownSignal;
use serde::{Deserialize, Serialize};

use crate::call_meter::{CallCounters, CallMeter};
use crate::respond;

/// Path of the store's [`StoreCounters`].
pub const STORE_COUNTERS_PATH: &str = "/standin/counters";
/// Maximum number of distinct weights whose loads are counted.
const MAX_COUNTED_WEIGHTS: usize = 10_000;

/// Options of a weight store stand-in.
#[derive(Debug, Clone, Copy)]
pub struct WeightStoreOptions {
    /// Maximum number of loads answered within any one second.
    pub loads_per_second: usize,
    /// Size of each model's weights in bytes, at most [`MAX_WEIGHTS_BYTES`].
    pub weight_bytes: usize,
    /// Delay before a load is answered.
    pub load_time: Duration,
}

impl Default for WeightStoreOptions {
    fn default() -> Self {
        Self { loads_per_second: 10, weight_bytes: 1024 * 1024, load_time: Duration::ZERO }
    }
}

/// Load counters, as tests read them over HTTP.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounters {
    /// Counters of all calls, including refused ones.
    pub calls: CallCounters,
    /// Number of accepted loads by `MODEL/VERSION`.
    pub loads: BTreeMap<String, u64>,
}

struct StoreState {
    options: WeightStoreOptions,
    weights: Bytes,
    meter: RefCell<CallMeter>,
    loads: RefCell<BTreeMap<String, u64>>,
}

/// Serves a weight store until `shutdown`.
pub async fn serve_weight_store(
    listener: TcpListener,
    options: WeightStoreOptions,
    shutdown: ShutdownSignal,
) -> std::io::Result<()> {
    let length = options.weight_bytes.min(MAX_WEIGHTS_BYTES);
    let state = Rc::new(StoreState {
        options,
        weights: Bytes::from(vec![0; length]),
        meter: RefCell::new(CallMeter::new(options.loads_per_second)),
        loads: RefCell::default(),
    });
    let handler = Rc::new(move |request| answer(state.clone(), request));
    serve(listener, HttpLimits::default(), shutdown, handler).await
}

async fn answer(state: Rc<StoreState>, request: Request<Incoming>) -> Response<AnswerBody> {
    let path = request.uri().path();
    let weights = path.strip_prefix(WEIGHTS_PATH).and_then(|path| path.strip_prefix('/'));
    match (request.method(), path, weights) {
        (&Method::GET, STORE_COUNTERS_PATH, _) => respond::json(StatusCode::OK, &state.counters()),
        (&Method::GET, _, Some(weights)) if names_weights(weights) => state.load(weights).await,
        _ => respond::refuse(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Returns `true` if `path` has the form `MODEL/VERSION`.
fn names_weights(path: &str) -> bool {
    path.split('/').count() == 2 && path.split('/').all(|part| !part.is_empty())
}

impl StoreState {
    fn counters(&self) -> StoreCounters {
        StoreCounters { calls: self.meter.borrow().counters(), loads: self.loads.borrow().clone() }
    }

    async fn load(&self, weights: &str) -> Response<AnswerBody> {
        if !self.meter.borrow_mut().accept(Instant::now()) {
            return respond::too_many("more loads than the store answers");
        }
        self.count_load(weights);
        if !self.options.load_time.is_zero() {
            monoio::time::sleep(self.options.load_time).await;
        }
        let body = AnswerBody::Whole(self.weights.clone());
        respond::typed(StatusCode::OK, "application/octet-stream", body)
    }

    fn count_load(&self, weights: &str) {
        let mut loads = self.loads.borrow_mut();
        if loads.len() < MAX_COUNTED_WEIGHTS || loads.contains_key(weights) {
            *loads.entry(weights.to_string()).or_default() += 1;
        }
    }
}
