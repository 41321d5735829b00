//! The lifecycle of a router that sends requests directly to backend servers: start, serve, drain,
//! exit.

use std::cell::Cell;
use std::error::Error;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{select, Either};
use futures_util::StreamExt;
use http::header::CONNECTION;
use http::{HeaderValue, Response};
use monoio::task::JoinHandle;
use papayamux_coordination::caller_memory::MemoryLimits;
use papayamux_daemon::logging::start_logging;
use papayamux_daemon::operations::{serve_operations, OperationsView};
use papayamux_daemon::signals::{catch_signals, SignalReceiver, SIGHUP};
use papayamux_settings::Findings;
use papayamux_state::service_config::ConfigVersion;
use papayamux_transport::http::{
    serve_callers, AnswerBody, CallerMemory, HeadLimitSource, HeadLimits, HttpLimits,
};
use papayamux_transport::listen::{listen, listen_for_callers};
use papayamux_transport::runtime;
use papayamux_transport::shutdown::ShutdownSignal;
use papayamux_transport::timer::TimerService;
use prometheus_client::registry::Registry;
use serde_json::json;

use super::attempt_watch::watch_attempts;
use super::cache_survey::survey_caches;
use super::peers::PeerExchange;
use super::source_follower::{follow_source, FleetSource};
use super::{CallHandler, CallInterface, DirectSettings, Fleet};

/// Share of the grace period during which new connections are still accepted: the balancer checks
/// the router each second and needs two failed checks to see that it drains.
const ACCEPT_SHARE: f64 = 0.36;
/// Time before the end of the grace period at which the process exits by itself.
const END_MARGIN: Duration = Duration::from_millis(700);
/// Interval at which a draining router checks whether its last request has completed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of idle connections and of request heads while there is no configuration. It exceeds the time for
/// which callers keep idle connections, so that no request is sent while the router closes the connection.
const UNCONFIGURED_TIMEOUT: Duration = Duration::from_secs(75);
/// Minimum timeout of idle connections and of request heads.
const MIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a request's head.
const MAX_HEAD_BYTES: u64 = 1024 * 1024;
/// Interval at which idle connections and outdated records are removed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

struct DirectView {
    fleet: Rc<Fleet>,
    draining: Cell<bool>,
}

impl OperationsView for DirectView {
    fn is_ready(&self) -> bool {
        !self.draining.get()
            && self.fleet.configuration().is_some()
            && self.fleet.server_count() > 0
            && self.fleet.keys_are_confirmed()
    }

    fn status(&self) -> serde_json::Value {
        let version = self.fleet.configuration().map(|known| known.version.0);
        json!({
            "program": "papayamux-router",
            "version": env!("CARGO_PKG_VERSION"),
            "failure_domain": self.fleet.settings().domain.to_string(),
            "ready": self.is_ready(),
            "draining": self.draining.get(),
            "configuration": version,
            "configuration_readable": self.fleet.configuration_is_readable(),
            "servers": self.fleet.server_count(),
            "cold_servers": self.fleet.cold_server_count(),
            "evacuated": self.fleet.evacuated_revisions(),
            "in_flight": self.fleet.in_flight(),
        })
    }
}

/// Runs a router until a signal stops it. `reload` reads the settings again.
pub fn run_direct_router(
    settings: DirectSettings,
    interface: Rc<dyn CallInterface>,
    source: Rc<dyn FleetSource>,
    reload: impl Fn() -> Result<DirectSettings, Findings>,
) -> Result<(), Box<dyn Error>> {
    start_logging("papayamux-router", log::LevelFilter::Info);
    let mut signals = catch_signals()?;
    runtime::run(async move {
        let router = start(&settings, interface, source)?;
        let drain_started = router.wait_for_shutdown(&mut signals, reload).await;
        router.drain(settings.grace, drain_started).await;
        Ok(())
    })?
}

struct ServingRouter {
    view: Rc<DirectView>,
    peers: Rc<PeerExchange>,
    shutdown: ShutdownSignal,
    served: JoinHandle<io::Result<()>>,
}

fn start(
    settings: &DirectSettings,
    interface: Rc<dyn CallInterface>,
    source: Rc<dyn FleetSource>,
) -> Result<ServingRouter, Box<dyn Error>> {
    let fleet = Fleet::new(settings.fleet.clone());
    let view = Rc::new(DirectView { fleet: fleet.clone(), draining: Cell::new(false) });
    let callers = listen_for_callers(settings.listen)?;
    let operators = listen(settings.operations)?;
    let (caller_address, operator_address) = (callers.local_addr()?, operators.local_addr()?);
    let mut registry = Registry::default();
    fleet.metrics().register(&mut registry);
    let registry = Rc::new(registry);
    if let Some(address) = settings.metrics {
        let listener = listen(address)?;
        let ready_path = settings.ready_path.clone();
        monoio::spawn(serve_operations(
            listener,
            ready_path,
            registry.clone(),
            view.clone(),
            ShutdownSignal::new(),
        ));
    }
    let ready_path = settings.ready_path.clone();
    let operations = serve_operations(
        operators,
        ready_path,
        registry.clone(),
        view.clone(),
        ShutdownSignal::new(),
    );
    monoio::spawn(operations);
    let peers = PeerExchange::open(fleet.clone(), settings.peers, settings.seeds.clone())?;
    monoio::spawn(follow_source(fleet.clone(), source, peers.clone()));
    monoio::spawn(survey_caches(fleet.clone(), peers.clone(), interface.clone()));
    let timer = TimerService::start();
    let memory = CallerMemory::new(MemoryLimits::of_machine(settings.memory));
    let pruned = PrunedState { fleet: fleet.clone(), memory: memory.clone() };
    monoio::spawn(pruned.run(timer.clone()));
    monoio::spawn(watch_attempts(fleet.clone(), timer));
    let heads = caller_heads(fleet.clone());
    let calls = CallHandler::new(fleet, interface);
    let handler_view = view.clone();
    let handler = Rc::new(move |request| {
        let (calls, view) = (calls.clone(), handler_view.clone());
        async move { close_when_draining(&view, calls.handle(request).await) }
    });
    let limits = HttpLimits {
        connections: settings.max_callers(),
        heads,
        memory: Some(memory),
        ..HttpLimits::default()
    };
    let shutdown = ShutdownSignal::new();
    let served = monoio::spawn(serve_callers(callers, limits, shutdown.clone(), handler));
    log::info!(
        instance:% = settings.instance, listen:% = caller_address,
        operations:% = operator_address, source:% = settings.source, peers:% = settings.peers;
        "router started"
    );
    let disabled = &settings.fleet.disabled;
    if !disabled.is_empty() {
        log::warn!(disabled:% = disabled; "mechanisms are disabled by an experiment");
    }
    Ok(ServingRouter { view, peers, shutdown, served })
}

/// State that is pruned, and metrics that are updated, from time to time.
struct PrunedState {
    fleet: Rc<Fleet>,
    memory: Rc<CallerMemory>,
}

impl PrunedState {
    async fn run(self, timer: TimerService) {
        let mut ticks = timer.every(PRUNE_INTERVAL);
        let mut checked_version = ConfigVersion::default();
        while ticks.tick().await.is_some() {
            self.fleet.prune_outdated();
            self.fleet.metrics().caller_memory.update(&self.memory);
            checked_version = self.check_body_limit(checked_version);
        }
    }

    /// Warns of a new configuration that allows bodies for which there is never memory. Returns its version.
    fn check_body_limit(&self, checked_version: ConfigVersion) -> ConfigVersion {
        let version = self.fleet.configuration_version();
        let Some(configuration) = self.fleet.configuration() else { return version };
        let (body, limit) = (configuration.limits.body_bytes, self.memory.limits().large);
        if version != checked_version && body > limit {
            log::warn!(
                configuration:% = version, body_bytes = body.get(), limit_bytes = limit.get();
                "the longest bodies exceed the memory for callers"
            );
        }
        version
    }
}

/// Returns the limits of heads that the configuration in force sets.
fn caller_heads(fleet: Rc<Fleet>) -> HeadLimitSource {
    HeadLimitSource(Rc::new(move || match fleet.configuration() {
        None => HeadLimits {
            timeout: UNCONFIGURED_TIMEOUT,
            idle_timeout: UNCONFIGURED_TIMEOUT,
            ..HeadLimits::default()
        },
        Some(configuration) => {
            let limits = &configuration.limits;
            HeadLimits {
                bytes: limits.head_bytes.get().min(MAX_HEAD_BYTES) as usize,
                timeout: limits.head_timeout.max(MIN_TIMEOUT),
                idle_timeout: limits.idle_timeout.max(MIN_TIMEOUT),
            }
        }
    }))
}

fn close_when_draining(
    view: &DirectView,
    mut response: Response<AnswerBody>,
) -> Response<AnswerBody> {
    if view.draining.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

impl ServingRouter {
    /// Serves until a signal requests the shutdown. Reads the settings again on SIGHUP.
    async fn wait_for_shutdown(
        &self,
        signals: &mut SignalReceiver,
        reload: impl Fn() -> Result<DirectSettings, Findings>,
    ) -> Instant {
        while signals.next().await == Some(SIGHUP) {
            match reload() {
                Ok(settings) => {
                    log::info!(seeds = settings.seeds.len(); "settings read again");
                    self.peers.set_seeds(settings.seeds);
                }
                Err(findings) => {
                    log::error!(findings:% = findings; "reading the settings failed, keeping the old ones");
                }
            }
        }
        Instant::now()
    }

    /// Turns readiness off, serves on until the balancer has noticed, then lets requests complete.
    async fn drain(self, grace: Duration, drain_started: Instant) {
        self.view.draining.set(true);
        self.peers.announce_shutdown();
        log::info!(in_flight = self.view.fleet.in_flight(); "router drains");
        monoio::time::sleep(grace.mul_f64(ACCEPT_SHARE)).await;
        self.shutdown.trigger();
        let end = drain_started + grace.saturating_sub(END_MARGIN);
        let mut served = self.served;
        while Instant::now() < end {
            let check = std::pin::pin!(monoio::time::sleep(DRAIN_CHECK_INTERVAL));
            match select(&mut served, check).await {
                Either::Left(_) => break,
                Either::Right(_) => {}
            }
        }
        let in_flight = self.view.fleet.in_flight();
        log::info!(in_flight = in_flight; "router ends");
    }
}
