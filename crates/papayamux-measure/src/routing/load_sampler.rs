//! Samples the engines' true load over time.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{join, join_all};
use http::{Method, Request, StatusCode};
use papayamux_protocol::engine::EngineLoad;
use papayamux_standins::engine::TRUE_LOAD_PATH;
use papayamux_state::load::LoadFactor;
use papayamux_transport::http::HttpClient;
use serde_json::Value;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(75);
/// Timeout of one engine's load query; a sample omits the engines that exceed it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Minimum mean load of a sample that counts towards the skew. Below it, a single request would
/// dominate the ratio.
pub const MIN_MEAN_LOAD: f64 = 2.0;
const STATUS_PATH: &str = "/status";
const MAX_ANSWER_BYTES: u64 = 64 * 1024;

/// The loads of all engines at one point in time.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSample {
    /// Time since the start of the run.
    pub at: Duration,
    /// The number of running and waiting requests at each engine that answered.
    pub loads: Vec<u64>,
    /// The loads of the same engines plus the requests queued at their agents.
    pub demands: Vec<u64>,
}

impl LoadSample {
    /// Returns a copy of the sample whose loads are the demands.
    pub fn of_demands(&self) -> Self {
        Self { loads: self.demands.clone(), ..self.clone() }
    }

    /// Returns the mean load of an engine.
    pub fn mean(&self) -> f64 {
        self.loads.iter().sum::<u64>() as f64 / self.loads.len().max(1) as f64
    }

    /// Returns `true` if an engine exceeds `c` times the mean load, rounded up to whole requests.
    /// `c` is the default load factor of agents.
    fn is_over_bound(&self) -> bool {
        self.highest() as f64 > (LoadFactor::DEFAULT.get() * self.mean()).ceil()
    }

    fn highest(&self) -> u64 {
        self.loads.iter().copied().max().unwrap_or(0)
    }
}

/// Distribution over a run of the load skew: the highest load divided by the mean load.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SkewSummary {
    /// The median skew.
    pub p50: f64,
    /// The 95th percentile of the skew.
    pub p95: f64,
    /// The highest skew.
    pub max: f64,
    /// The share of samples in which an engine exceeded `c` times the mean, rounded up.
    pub over_bound: f64,
    /// The maximum number of requests above the mean at any engine.
    pub most_above_mean: f64,
    /// The mean load of an engine.
    pub mean_load: f64,
    /// The number of samples that count.
    pub samples: usize,
    /// The number of samples left out because their mean load was too small.
    pub left_out: usize,
}

impl SkewSummary {
    /// Summarizes the samples taken from `warm_up` until before `end`.
    pub fn of(samples: &[LoadSample], warm_up: Duration, end: Duration) -> Self {
        let timely = samples.iter().filter(|sample| sample.at >= warm_up && sample.at < end);
        let timely: Vec<_> = timely.filter(|sample| !sample.loads.is_empty()).collect();
        let (counted, left_out): (Vec<&LoadSample>, Vec<&LoadSample>) =
            timely.iter().partition(|sample| sample.mean() >= MIN_MEAN_LOAD);
        let mut skews: Vec<f64> =
            counted.iter().map(|sample| sample.highest() as f64 / sample.mean()).collect();
        skews.sort_by(f64::total_cmp);
        let at = |quantile: f64| {
            let index = (skews.len().saturating_sub(1) as f64 * quantile).round() as usize;
            skews.get(index).copied().unwrap_or(0.0)
        };
        let above = counted.iter().map(|sample| sample.highest() as f64 - sample.mean());
        let over_bound = counted.iter().filter(|sample| sample.is_over_bound()).count();
        let total: f64 = timely.iter().map(|sample| sample.mean()).sum();
        Self {
            p50: at(0.5),
            p95: at(0.95),
            max: at(1.0),
            over_bound: over_bound as f64 / counted.len().max(1) as f64,
            most_above_mean: above.fold(0.0, f64::max),
            mean_load: total / timely.len().max(1) as f64,
            samples: counted.len(),
            left_out: left_out.len(),
        }
    }
}

/// An engine and the operations port of its agent.
pub struct SampledServer {
    engine: HttpClient,
    agent: HttpClient,
}

impl SampledServer {
    /// Creates a server from the address of the engine and the operations address of its agent.
    pub fn new(engine: SocketAddr, agent_operations: SocketAddr) -> Self {
        Self { engine: HttpClient::new(engine), agent: HttpClient::new(agent_operations) }
    }

    /// Returns the engine's load, and that load plus the requests queued at the agent.
    async fn sample(&self) -> Option<(u64, u64)> {
        let (engine, agent) =
            join(fetch(&self.engine, TRUE_LOAD_PATH), fetch(&self.agent, STATUS_PATH)).await;
        let load: EngineLoad = serde_json::from_slice(&engine?).ok()?;
        let load = load.running + load.waiting;
        let status: Value =
            agent.and_then(|body| serde_json::from_slice(&body).ok()).unwrap_or_default();
        Some((load, load + status["waiting"].as_u64().unwrap_or(0)))
    }
}

/// Samples `servers` periodically; the future never completes.
pub async fn sample_loads(
    servers: Vec<SampledServer>,
    started_at: Instant,
    samples: Rc<RefCell<Vec<LoadSample>>>,
) {
    loop {
        monoio::time::sleep(SAMPLE_INTERVAL).await;
        let at = started_at.elapsed();
        let queries =
            servers.iter().map(|server| monoio::time::timeout(ANSWER_TIMEOUT, server.sample()));
        let answers = join_all(queries).await.into_iter().filter_map(|answer| answer.ok()?);
        let (loads, demands) = answers.unzip();
        samples.borrow_mut().push(LoadSample { at, loads, demands });
    }
}

/// Fetches the body at `path`, or `None` if the request fails or the status is not 200.
pub async fn fetch(client: &HttpClient, path: &str) -> Option<bytes::Bytes> {
    let request = Request::builder()
        .method(Method::GET)
        .uri(path)
        .header(http::header::HOST, client.address().to_string())
        .body(bytes::Bytes::new())
        .ok()?;
    let answer = client.send_idempotent(request).await.ok()?;
    let status = answer.head.status;
    let body = answer.read_body(MAX_ANSWER_BYTES).await.ok()?;
    (status == StatusCode::OK).then_some(body)
}
