//! The engines' true load over time.

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
const SAMPLE_EVERY: Duration = Duration::from_millis(75);
/// How long an engine may take to tell its load; one that takes longer is left out.
const ANSWER_WITHIN: Duration = Duration::from_millis(60);
/// Samples with a smaller mean load are left out of the skew: a single request more or less would
/// decide it.
pub const SMALLEST_MEAN: f64 = 2.0;
const STATUS_PATH: &str = "/status";
const LONGEST_ANSWER: u64 = 64 * 1024;

/// The loads of all engines at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSample {
    /// When, since the run began.
    pub at: Duration,
    /// Requests running and waiting at each engine that answered.
    pub loads: Vec<u64>,
    /// The same engines' loads and what waits for them at their agents.
    pub demands: Vec<u64>,
}

impl LoadSample {
    /// The sample with the demands in the place of the loads.
    pub fn of_demands(&self) -> Self {
        Self { loads: self.demands.clone(), ..self.clone() }
    }

    /// The mean load.
    pub fn mean(&self) -> f64 {
        self.loads.iter().sum::<u64>() as f64 / self.loads.len().max(1) as f64
    }

    /// Whether an engine has more than `c` times the mean, rounded up to whole requests, with the
    /// factor that agents keep where their settings name none.
    fn is_over_bound(&self) -> bool {
        self.highest() as f64 > (LoadFactor::DEFAULT.get() * self.mean()).ceil()
    }

    fn highest(&self) -> u64 {
        self.loads.iter().copied().max().unwrap_or(0)
    }
}

/// Highest load over mean load, summed up over a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SkewSummary {
    /// The median.
    pub p50: f64,
    /// At the 95th percentile.
    pub p95: f64,
    /// The highest.
    pub max: f64,
    /// Share of the samples in which an engine had more than `c` times the mean, rounded up.
    pub over_bound: f64,
    /// The most requests above the mean at any engine.
    pub most_above_mean: f64,
    /// The mean load of an engine.
    pub mean_load: f64,
    /// Samples that count.
    pub samples: usize,
    /// Samples left out because their mean load was too small.
    pub left_out: usize,
}

impl SkewSummary {
    /// Sums up the samples taken after `warm_up` and before `end`.
    pub fn of(samples: &[LoadSample], warm_up: Duration, end: Duration) -> Self {
        let timely = samples.iter().filter(|sample| sample.at >= warm_up && sample.at < end);
        let timely: Vec<_> = timely.filter(|sample| !sample.loads.is_empty()).collect();
        let (counted, left_out): (Vec<&LoadSample>, Vec<&LoadSample>) =
            timely.iter().partition(|sample| sample.mean() >= SMALLEST_MEAN);
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

/// An engine and the operators' port of its agent.
pub struct SampledServer {
    engine: HttpClient,
    agent: HttpClient,
}

impl SampledServer {
    /// The engine and the agent at these addresses.
    pub fn new(engine: SocketAddr, agent_operations: SocketAddr) -> Self {
        Self { engine: HttpClient::new(engine), agent: HttpClient::new(agent_operations) }
    }

    /// Requests at the engine, and those together with what waits at the agent.
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

/// Samples `servers` for as long as it is polled.
pub async fn sample_loads(
    servers: Vec<SampledServer>,
    begun: Instant,
    samples: Rc<RefCell<Vec<LoadSample>>>,
) {
    loop {
        monoio::time::sleep(SAMPLE_EVERY).await;
        let at = begun.elapsed();
        let asked =
            servers.iter().map(|server| monoio::time::timeout(ANSWER_WITHIN, server.sample()));
        let answers = join_all(asked).await.into_iter().filter_map(|answer| answer.ok()?);
        let (loads, demands) = answers.unzip();
        samples.borrow_mut().push(LoadSample { at, loads, demands });
    }
}

/// The body at a path, where it can be had.
pub async fn fetch(client: &HttpClient, path: &str) -> Option<bytes::Bytes> {
    let request = Request::builder()
        .method(Method::GET)
        .uri(path)
        .header(http::header::HOST, client.address().to_string())
        .body(bytes::Bytes::new())
        .ok()?;
    let answer = client.send_idempotent(request).await.ok()?;
    let status = answer.head.status;
    let body = answer.whole_body(LONGEST_ANSWER).await.ok()?;
    (status == StatusCode::OK).then_some(body)
}
