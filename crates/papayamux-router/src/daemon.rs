//! The router's life: start, serve, drain, end.

use std::cell::Cell;
use std::error::Error;
use std::rc::Rc;

use futures_util::future::{select, Either};
use futures_util::StreamExt;
use papayamux_daemon::logging::start_logging;
use papayamux_daemon::operations::{serve_operations, OperationsView};
use papayamux_daemon::signals::catch_end_signals;
use papayamux_state::ids::Incarnation;
use papayamux_transport::http::{serve, HttpLimits};
use papayamux_transport::listen::listen;
use papayamux_transport::runtime;
use papayamux_transport::shutdown::ShutdownSignal;
use prometheus_client::registry::Registry;
use serde_json::json;

use crate::agents::RouterIdentity;
use crate::callers::CallerDesk;
use crate::directory::ServerDirectory;
use crate::metrics::RouterMetrics;
use crate::settings::RouterSettings;

struct RouterView {
    incarnation: Incarnation,
    settings: RouterSettings,
    metrics: RouterMetrics,
    ready: Cell<bool>,
}

impl OperationsView for RouterView {
    fn is_ready(&self) -> bool {
        self.ready.get()
    }

    fn status(&self) -> serde_json::Value {
        json!({
            "program": "papayamux-router",
            "version": env!("CARGO_PKG_VERSION"),
            "incarnation": self.incarnation.to_string(),
            "failure_domain": self.settings.domain.to_string(),
            "ready": self.ready.get(),
            "servers": self.settings.servers.len(),
            "requests": self.metrics.requests.get(),
            "in_flight": self.metrics.in_flight.get(),
        })
    }
}

/// Runs a router until a signal ends it.
pub fn run_router(settings: RouterSettings) -> Result<(), Box<dyn Error>> {
    start_logging("papayamux-router", log::LevelFilter::Info);
    let mut signals = catch_end_signals()?;
    runtime::run(async move {
        let router = start_router(settings)?;
        signals.next().await;
        let drain = std::pin::pin!(router.drain());
        match select(drain, signals.next()).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) => Err("a second signal ended the router before its drain".into()),
        }
    })?
}

/// A router that serves.
struct RunningRouter {
    view: Rc<RouterView>,
    shutdown: ShutdownSignal,
    served: monoio::task::JoinHandle<std::io::Result<()>>,
}

fn start_router(settings: RouterSettings) -> Result<RunningRouter, Box<dyn Error>> {
    let identity =
        RouterIdentity { incarnation: Incarnation::draw(), domain: settings.domain.clone() };
    let metrics = RouterMetrics::default();
    let mut registry = Registry::default();
    metrics.register(&mut registry);
    let callers = listen(settings.listen)?;
    let operators = listen(settings.operations)?;
    log::info!(
        listen:% = callers.local_addr()?, operations:% = operators.local_addr()?,
        incarnation:% = identity.incarnation;
        "router started"
    );
    let view = Rc::new(RouterView {
        incarnation: identity.incarnation,
        settings: settings.clone(),
        metrics: metrics.clone(),
        ready: Cell::new(true),
    });
    let shutdown = ShutdownSignal::new();
    let registry = Rc::new(registry);
    monoio::spawn(serve_operations(operators, registry, view.clone(), ShutdownSignal::new()));
    let incarnation = identity.incarnation;
    let directory = ServerDirectory::new(identity, metrics.clone(), settings.servers.clone());
    let desk = CallerDesk::new(settings, directory, incarnation, metrics);
    let handler = Rc::new(move |request| {
        let desk = desk.clone();
        async move { desk.handle(request).await }
    });
    let served = monoio::spawn(serve(callers, HttpLimits::default(), shutdown.clone(), handler));
    Ok(RunningRouter { view, shutdown, served })
}

impl RunningRouter {
    /// Turns readiness off, waits for the balancer, then lets requests in flight finish.
    async fn drain(self) -> Result<(), Box<dyn Error>> {
        let settings = &self.view.settings;
        self.view.ready.set(false);
        log::info!("router drains");
        monoio::time::sleep(settings.balancer_delay).await;
        self.shutdown.give();
        match monoio::time::timeout(settings.drain_within, self.served).await {
            Ok(outcome) => outcome?,
            Err(_) => {
                let cut = self.view.metrics.in_flight.get();
                return Err(format!("the drain's bound cut off {cut} requests").into());
            }
        }
        log::info!("router drained");
        Ok(())
    }
}
