//! The life cycle of the agent daemon: start, serve, drain, exit.

use std::cell::Cell;
use std::error::Error;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{select, Either};
use futures_util::StreamExt;
use papayamux_coordination::admission::AdmissionController;
use papayamux_coordination::caller_memory::MemoryLimits;
use papayamux_daemon::logging::start_logging;
use papayamux_daemon::operations::{serve_operations, OperationsView, READY_PATH};
use papayamux_daemon::signals::catch_termination_signals;
use papayamux_spread::configuration::ConfigurationView;
use papayamux_spread::SpreadIdentity;
use papayamux_state::ids::Incarnation;
use papayamux_transport::http::HttpClient;
use papayamux_transport::listen::listen;
use papayamux_transport::runtime;
use papayamux_transport::shutdown::ShutdownSignal;
use papayamux_transport::timer::TimerService;
use prometheus_client::registry::Registry;
use serde_json::json;
use thiserror::Error;

use crate::accept::accept_routers;
use crate::agent_core::AgentCore;
use crate::answers::{sweep_answers, AnswerStore, StoreLimits};
use crate::claims::{ClaimWitness, KeptAnswers};
use crate::crash_notifier::CrashNotifier;
use crate::engine_follower::follow_engine;
use crate::engine_view::EngineView;
use crate::metrics::AgentMetrics;
use crate::orders::{OrderCore, OrderMetrics, OrderTask};
use crate::request_memory::RequestMemory;
use crate::settings::AgentSettings;
use crate::trust::RouterTrust;

/// Interval at which a draining agent checks whether all requests have completed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time within which routers must complete the shutdown handshake of their connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// One answer may use at most the limit of all kept bytes divided by this.
const ANSWER_BYTES_DIVISOR: u64 = 16;

struct AgentView {
    core: Rc<AgentCore>,
    configuration: Option<ConfigurationView>,
}

impl AgentView {
    fn is_superseded(&self) -> bool {
        self.core.orders.as_ref().is_some_and(|orders| orders.gate.is_superseded())
    }
}

impl OperationsView for AgentView {
    fn is_ready(&self) -> bool {
        !self.core.admissions.is_draining() && !self.is_superseded()
    }

    fn status(&self) -> serde_json::Value {
        json!({
            "program": "papayamux-agent",
            "version": env!("CARGO_PKG_VERSION"),
            "incarnation": self.core.incarnation.to_string(),
            "failure_domain": self.core.domain.to_string(),
            "server": self.core.server.to_string(),
            "leaving": self.core.admissions.is_draining(),
            "configuration": self.configuration.as_ref().map(ConfigurationView::status),
            "waiting": self.core.admissions.waiting().get(),
            "running": self.core.admissions.running().get(),
            "held_body_bytes": self.core.request_memory.held().get(),
            "held_answer_bytes": self.core.answers.buffered_bytes(),
            "witness_ready_in_ms":
                self.core.witness.ready_in(self.core.started.elapsed()).as_millis() as u64,
            "held_keys": self.core.witness.held_keys(),
            "kept_answer_bytes": self.core.kept.kept_bytes().get(),
            "router_links": self.core.metrics.router_links.get(),
            "orders": self.core.orders.as_ref().map(|orders| orders.status()),
        })
    }
}

/// Runs an agent until a signal stops it.
pub fn run_agent(settings: AgentSettings) -> Result<(), Box<dyn Error>> {
    start_logging("papayamux-agent", log::LevelFilter::Info);
    let mut signals = catch_termination_signals()?;
    runtime::run(async move {
        let agent = ServingAgent::start(&settings)?;
        signals.next().await;
        let agent = agent.leave();
        let deadline = std::pin::pin!(monoio::time::sleep(settings.drain_within));
        let interrupt = std::pin::pin!(select(signals.next(), deadline));
        let finish = std::pin::pin!(agent.finish());
        let cause = match select(finish, interrupt).await {
            Either::Left(_) => return Ok(()),
            Either::Right((Either::Left(_), _)) => "a second signal",
            Either::Right((Either::Right(_), _)) => "the drain's bound",
        };
        Err(agent.interrupt(cause))
    })?
}

/// An agent that accepts requests.
struct ServingAgent {
    core: Rc<AgentCore>,
}

/// An agent that accepts no new requests and completes those it has admitted.
struct DrainingAgent {
    core: Rc<AgentCore>,
}

/// The error of a drain that was interrupted before all requests had completed.
#[derive(Debug, Error)]
#[error("{cause} cut off {requests} requests")]
struct InterruptedDrain {
    cause: &'static str,
    requests: u64,
}

impl ServingAgent {
    fn start(settings: &AgentSettings) -> Result<Self, Box<dyn Error>> {
        Ok(Self { core: start_agent(settings)? })
    }

    /// Stops accepting new requests and notifies the routers.
    fn leave(self) -> DrainingAgent {
        log::info!("agent drains");
        self.core.admissions.start_draining();
        self.core.draining.trigger();
        DrainingAgent { core: self.core }
    }
}

impl DrainingAgent {
    /// Waits until all admitted requests have completed and their answers have been received or
    /// have expired. Then waits until each router that responds has read the refusals of the
    /// requests it sent in the meantime.
    async fn finish(&self) {
        while self.unfinished() > 0 {
            monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.core.closing.trigger();
        let closing = Instant::now();
        while self.core.metrics.router_links.get() > 0 && closing.elapsed() < CLOSE_TIMEOUT {
            monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        log::info!("agent drained");
    }

    fn unfinished(&self) -> u64 {
        let waited_for = self.core.answers.awaited() as u64 + self.core.recalls.get();
        (self.core.admissions.running() + self.core.admissions.waiting()).get().max(waited_for)
    }

    /// Interrupts the drain and returns its error.
    fn interrupt(&self, cause: &'static str) -> Box<dyn Error> {
        let requests = self.unfinished();
        self.core.metrics.cut_requests.inc_by(requests);
        log::warn!(cause = cause, requests = requests; "drain cut off");
        InterruptedDrain { cause, requests }.into()
    }
}

fn start_agent(settings: &AgentSettings) -> Result<Rc<AgentCore>, Box<dyn Error>> {
    let incarnation = Incarnation::generate();
    let metrics = AgentMetrics::default();
    let mut registry = Registry::default();
    metrics.register(&mut registry);
    let order_metrics = OrderMetrics::default();
    let orders = settings.orders.clone().map(|settings| {
        order_metrics.register(&mut registry);
        Rc::new(OrderCore::new(settings, order_metrics))
    });
    let routers = listen(settings.listen)?;
    let operators = listen(settings.operations)?;
    let spread_identity = SpreadIdentity {
        incarnation,
        domain: settings.domain.clone(),
        secret: settings.secret.clone(),
    };
    let configuration = match settings.spread.clone() {
        Some(spread) => Some(ConfigurationView::start(spread, spread_identity, &mut registry)?),
        None => None,
    };
    log::info!(
        listen:% = routers.local_addr()?, operations:% = operators.local_addr()?,
        server:% = settings.server, incarnation:% = incarnation,
        peers:% = configuration.as_ref().map_or(String::new(), |view| view.address().to_string());
        "agent started"
    );
    if let (Some(orders), Some(view)) = (&orders, &configuration) {
        if settings.orders.as_ref().is_some_and(|orders| orders.target.is_none()) {
            monoio::spawn(orders.target.clone().follow(view.clone(), settings.server.clone()));
        }
    }
    let core = Rc::new(AgentCore {
        incarnation,
        server: settings.server.clone(),
        domain: settings.domain.clone(),
        admissions: AdmissionController::new(incarnation, settings.limits()),
        engine: EngineView::new(settings.prefill_rate),
        client: HttpClient::new(settings.server_address),
        witness: ClaimWitness::new(incarnation, &settings.claims),
        kept: KeptAnswers::new(&settings.claims),
        recalls: Cell::new(0),
        crashes: CrashNotifier::default(),
        metrics,
        started: Instant::now(),
        draining: ShutdownSignal::new(),
        closing: ShutdownSignal::new(),
        answers: AnswerStore::new(store_limits(settings)),
        trust: RouterTrust { secret: settings.secret.clone(), allow: settings.allow.clone() },
        request_memory: RequestMemory::new(MemoryLimits::of_machine(settings.memory).total),
        longest_answer: settings.longest_answer,
        progress_within: settings.progress_within,
        next_link: Cell::new(0),
        orders,
    });
    let view = Rc::new(AgentView { core: core.clone(), configuration });
    monoio::spawn(serve_operations(
        operators,
        READY_PATH.to_string(),
        Rc::new(registry),
        view,
        ShutdownSignal::new(),
    ));
    monoio::spawn(accept_routers(core.clone(), routers));
    let timers = TimerService::start();
    monoio::spawn(follow_engine(core.clone(), timers.clone()));
    monoio::spawn(announce_witness(core.clone()));
    let buffered_bytes = core.metrics.buffered_bytes.clone();
    monoio::spawn(sweep_answers(core.answers.clone(), buffered_bytes, timers.clone()));
    if let Some(orders) = core.orders.clone() {
        let ticks = timers.every(orders.settings.look_every);
        monoio::spawn(OrderTask::new(core.clone(), orders).run(ticks));
    }
    Ok(core)
}

/// Logs when the witness becomes ready to grant claims.
async fn announce_witness(core: Rc<AgentCore>) {
    let ready_in = core.witness.ready_in(core.started.elapsed());
    log::info!(ready_in_ms = ready_in.as_millis() as u64; "witness remembers too little yet");
    monoio::time::sleep(ready_in).await;
    log::info!("witness grants claims");
}

fn store_limits(settings: &AgentSettings) -> StoreLimits {
    let total = settings.keep_answer_bytes.get();
    StoreLimits::builder()
        .resume_within(settings.resume_within)
        .cancel_grace(settings.cancel_grace)
        .keep_for(settings.keep_answers_for)
        .total_bytes(total)
        .answer_bytes(total / ANSWER_BYTES_DIVISOR)
        .build()
}
