//! The agent's life: start, serve, drain, end.

use std::error::Error;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{select, Either};
use futures_util::StreamExt;
use papayamux_coordination::admission::AdmissionBook;
use papayamux_daemon::logging::start_logging;
use papayamux_daemon::operations::{serve_operations, OperationsView};
use papayamux_daemon::signals::catch_end_signals;
use papayamux_state::ids::Incarnation;
use papayamux_transport::http::HttpClient;
use papayamux_transport::listen::listen;
use papayamux_transport::runtime;
use papayamux_transport::shutdown::ShutdownSignal;
use prometheus_client::registry::Registry;
use serde_json::json;

use crate::metrics::AgentMetrics;
use crate::router_link::{accept_routers, AgentCore};
use crate::settings::AgentSettings;

/// How often a draining agent looks whether all has finished.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

struct AgentView {
    core: Rc<AgentCore>,
}

impl OperationsView for AgentView {
    fn is_ready(&self) -> bool {
        !self.core.book.is_leaving()
    }

    fn status(&self) -> serde_json::Value {
        json!({
            "program": "papayamux-agent",
            "version": env!("CARGO_PKG_VERSION"),
            "incarnation": self.core.incarnation.to_string(),
            "failure_domain": self.core.domain.to_string(),
            "server": self.core.server.to_string(),
            "leaving": self.core.book.is_leaving(),
            "running": self.core.book.running().get(),
            "router_links": self.core.metrics.router_links.get(),
        })
    }
}

/// Runs an agent until a signal ends it.
pub fn run_agent(settings: AgentSettings) -> Result<(), Box<dyn Error>> {
    start_logging("papayamux-agent", log::LevelFilter::Info);
    let mut signals = catch_end_signals()?;
    runtime::run(async move {
        let core = start_agent(&settings)?;
        signals.next().await;
        let drain = std::pin::pin!(drain(&core, settings.drain_within));
        match select(drain, signals.next()).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) => Err("a second signal ended the agent before its drain".into()),
        }
    })?
}

fn start_agent(settings: &AgentSettings) -> Result<Rc<AgentCore>, Box<dyn Error>> {
    let incarnation = Incarnation::draw();
    let metrics = AgentMetrics::default();
    let mut registry = Registry::default();
    metrics.register(&mut registry);
    let routers = listen(settings.listen)?;
    let operators = listen(settings.operations)?;
    log::info!(
        listen:% = routers.local_addr()?, operations:% = operators.local_addr()?,
        server:% = settings.server, incarnation:% = incarnation;
        "agent started"
    );
    let core = Rc::new(AgentCore {
        incarnation,
        server: settings.server.clone(),
        domain: settings.domain.clone(),
        book: AdmissionBook::new(incarnation, settings.capacity),
        client: HttpClient::new(settings.server_address),
        metrics,
        started: Instant::now(),
        leaving: ShutdownSignal::new(),
    });
    let view = Rc::new(AgentView { core: core.clone() });
    monoio::spawn(serve_operations(operators, Rc::new(registry), view, ShutdownSignal::new()));
    monoio::spawn(accept_routers(core.clone(), routers));
    Ok(core)
}

/// Takes no new work, tells the routers so, and lets what runs finish.
async fn drain(core: &AgentCore, within: Duration) -> Result<(), Box<dyn Error>> {
    log::info!("agent drains");
    core.book.leave();
    core.leaving.give();
    let started = Instant::now();
    while core.book.running().get() > 0 {
        if started.elapsed() > within {
            let cut = core.book.running();
            return Err(format!("the drain's bound cut off {cut} requests").into());
        }
        monoio::time::sleep(DRAIN_LOOK).await;
    }
    monoio::time::sleep(DRAIN_LOOK).await;
    log::info!("agent drained");
    Ok(())
}
