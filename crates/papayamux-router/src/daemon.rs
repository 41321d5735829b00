//! The lifecycle of the router: start, serve, drain, exit.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{select, Either};
use futures_util::StreamExt;
use http::header::CONNECTION;
use http::{HeaderValue, Response};
use monoio::task::JoinHandle;
use papayamux_coordination::caller_memory::MemoryLimits;
use papayamux_daemon::logging::start_logging;
use papayamux_daemon::operations::{serve_operations, OperationsView, READY_PATH};
use papayamux_daemon::signals::catch_termination_signals;
use papayamux_protocol::link::STREAM_WINDOW_BYTES;
use papayamux_spread::configuration::ConfigurationView;
use papayamux_spread::SpreadIdentity;
use papayamux_state::address_range::admits;
use papayamux_state::ids::Incarnation;
use papayamux_state::quantities::ByteCount;
use papayamux_transport::http::{
    serve_callers, AddressCheck, AnswerBody, CallerMemory, HttpLimits,
};
use papayamux_transport::listen::{listen, listen_for_callers};
use papayamux_transport::runtime;
use papayamux_transport::shutdown::ShutdownSignal;
use papayamux_transport::timer::TimerService;
use prometheus_client::registry::Registry;
use serde_json::json;
use thiserror::Error;

use crate::agents::{AgentUpdates, RouterIdentity};
use crate::caller_memory_metrics::CallerMemoryMetrics;
use crate::callers::CallerFrontend;
use crate::configuration::{follow_configuration, start_configuration};
use crate::directory::ServerDirectory;
use crate::metrics::RouterMetrics;
use crate::routing::RoutePlanner;
use crate::settings::RouterSettings;

/// What is buffered of an answer that its caller doesn't read: the window of its stream, and as much again in the
/// connections on both sides.
const UNREAD_ANSWER_BYTES: ByteCount = ByteCount::new(2 * STREAM_WINDOW_BYTES);
/// Interval at which the metrics of the memory that callers hold are updated.
const MEMORY_METRICS_INTERVAL: Duration = Duration::from_secs(1);

struct RouterView {
    incarnation: Incarnation,
    settings: RouterSettings,
    metrics: RouterMetrics,
    ready: Cell<bool>,
    configuration: Option<ConfigurationView>,
}

impl RouterView {
    /// Returns the number of declared servers, or of those in the settings if no configuration is
    /// spread.
    fn server_count(&self) -> usize {
        match &self.configuration {
            Some(configuration) => configuration.in_force().servers.len(),
            None => self.settings.servers.len(),
        }
    }
}

impl OperationsView for RouterView {
    fn is_ready(&self) -> bool {
        self.ready.get() && self.configuration.as_ref().is_none_or(ConfigurationView::is_settled)
    }

    fn status(&self) -> serde_json::Value {
        json!({
            "program": "papayamux-router",
            "version": env!("CARGO_PKG_VERSION"),
            "incarnation": self.incarnation.to_string(),
            "failure_domain": self.settings.domain.to_string(),
            "ready": self.is_ready(),
            "configuration": self.configuration.as_ref().map(ConfigurationView::status),
            "servers": self.server_count(),
            "requests": self.metrics.requests.get(),
            "in_flight": self.metrics.in_flight.get(),
        })
    }
}

/// Runs a router until a signal stops it and its requests in flight have finished.
pub fn run_router(settings: RouterSettings) -> Result<(), Box<dyn Error>> {
    start_logging("papayamux-router", log::LevelFilter::Info);
    let mut signals = catch_termination_signals()?;
    runtime::run(async move {
        let router = start_router(settings)?;
        signals.next().await;
        let router = router.drain();
        let finish = std::pin::pin!(router.finish());
        let cause = match select(finish, signals.next()).await {
            Either::Left((DrainEnd::Complete, _)) => return Ok(()),
            Either::Left((DrainEnd::TimedOut, _)) => "the drain's bound",
            Either::Right(_) => "a second signal",
        };
        Err(router.abort(cause))
    })?
}

/// A router that serves requests.
struct ServingRouter {
    view: Rc<RouterView>,
    shutdown: ShutdownSignal,
    served: JoinHandle<io::Result<()>>,
}

/// A router that reports itself as not ready and lets requests in flight finish.
struct DrainingRouter {
    view: Rc<RouterView>,
    shutdown: ShutdownSignal,
    served: RefCell<Option<JoinHandle<io::Result<()>>>>,
}

/// The outcome of a drain that no signal interrupted.
enum DrainEnd {
    Complete,
    TimedOut,
}

/// The error of a drain that ended with requests in flight.
#[derive(Debug, Error)]
#[error("{cause} cut off {requests} requests")]
struct DrainError {
    cause: &'static str,
    requests: i64,
}

fn start_router(settings: RouterSettings) -> Result<ServingRouter, Box<dyn Error>> {
    let identity = RouterIdentity {
        incarnation: Incarnation::generate(),
        domain: settings.domain.clone(),
        secret: settings.secret.clone(),
        resume_within: settings.resume_within,
    };
    let metrics = RouterMetrics::default();
    let mut registry = Registry::default();
    metrics.register(&mut registry);
    let callers = listen_for_callers(settings.listen)?;
    let operators = listen(settings.operations)?;
    let spread_identity = SpreadIdentity {
        incarnation: identity.incarnation,
        domain: identity.domain.clone(),
        secret: settings.secret.clone(),
    };
    let configuration =
        start_configuration(settings.spread.clone(), spread_identity, &mut registry)?;
    log::info!(
        listen:% = callers.local_addr()?, operations:% = operators.local_addr()?,
        incarnation:% = identity.incarnation,
        peers:% = configuration.as_ref().map_or(String::new(), |view| view.address().to_string());
        "router started"
    );
    let view = Rc::new(RouterView {
        incarnation: identity.incarnation,
        settings: settings.clone(),
        metrics: metrics.clone(),
        ready: Cell::new(true),
        configuration: configuration.clone(),
    });
    let shutdown = ShutdownSignal::new();
    let registry = Rc::new(registry);
    monoio::spawn(serve_operations(
        operators,
        READY_PATH.to_string(),
        registry,
        view.clone(),
        ShutdownSignal::new(),
    ));
    let incarnation = identity.incarnation;
    let updates = Rc::new(AgentUpdates::default());
    let loads = updates.loads.clone();
    let servers = settings.servers.clone();
    let directory = ServerDirectory::new(identity, metrics.clone(), updates, servers);
    let planner = RoutePlanner::new(settings.policy, loads, metrics.clone());
    let memory = CallerMemory::new(MemoryLimits::of_machine(settings.memory));
    monoio::spawn(follow_memory(metrics.caller_memory.clone(), memory.clone()));
    let limits = HttpLimits { memory: Some(memory), ..caller_limits(&settings, &metrics) };
    if let Some(view) = configuration {
        monoio::spawn(follow_configuration(view, directory.clone()));
    }
    let frontend = CallerFrontend::new(settings, directory, planner, incarnation, metrics);
    let router_view = view.clone();
    let handler = Rc::new(move |request| {
        let (frontend, router_view) = (frontend.clone(), router_view.clone());
        async move { close_when_draining(&router_view, frontend.handle(request).await) }
    });
    let served = monoio::spawn(serve_callers(callers, limits, shutdown.clone(), handler));
    Ok(ServingRouter { view, shutdown, served })
}

/// Updates the metrics of the memory that callers hold.
async fn follow_memory(metrics: CallerMemoryMetrics, memory: Rc<CallerMemory>) {
    let mut ticks = TimerService::start().every(MEMORY_METRICS_INTERVAL);
    while ticks.tick().await.is_some() {
        metrics.update(&memory);
    }
}

fn caller_limits(settings: &RouterSettings, metrics: &RouterMetrics) -> HttpLimits {
    let (allow, refused) = (settings.allow.clone(), metrics.refused_callers.clone());
    let check = move |address| {
        let admitted = admits(&allow, address);
        if !admitted {
            refused.count("address");
        }
        admitted
    };
    HttpLimits {
        write_timeout: settings.caller_stall,
        unread_answer_bytes: UNREAD_ANSWER_BYTES,
        admits: Some(AddressCheck(Rc::new(check))),
        ..HttpLimits::default()
    }
}

fn close_when_draining(
    view: &RouterView,
    mut response: Response<AnswerBody>,
) -> Response<AnswerBody> {
    if !view.ready.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

impl ServingRouter {
    /// Reports the router as not ready. From now on each response closes its connection, so that
    /// the load balancer sends the next request to another router.
    fn drain(self) -> DrainingRouter {
        log::info!("router drains");
        self.view.ready.set(false);
        let served = RefCell::new(Some(self.served));
        DrainingRouter { view: self.view, shutdown: self.shutdown, served }
    }
}

impl DrainingRouter {
    /// Gives the load balancer time to notice, then lets requests in flight finish.
    async fn finish(&self) -> DrainEnd {
        let settings = &self.view.settings;
        monoio::time::sleep(settings.balancer_delay).await;
        self.shutdown.trigger();
        let Some(served) = self.served.take() else { return DrainEnd::Complete };
        match monoio::time::timeout(settings.drain_within, served).await {
            Ok(_) => {
                log::info!("router drained");
                DrainEnd::Complete
            }
            Err(_) => DrainEnd::TimedOut,
        }
    }

    /// Aborts the drain and counts the requests in flight as cut off.
    fn abort(&self, cause: &'static str) -> Box<dyn Error> {
        let requests = self.view.metrics.in_flight.get();
        self.view.metrics.cut_requests.inc_by(requests.unsigned_abs());
        log::warn!(cause = cause, requests = requests; "drain cut off");
        DrainError { cause, requests }.into()
    }
}
