//! The state shared by all connections and tasks of an agent.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::admission::AdmissionController;
use papayamux_protocol::link::AgentClock;
use papayamux_protocol::serving::{ServingAnswer, ServingQuery, ServingRefusal};
use papayamux_state::ids::{FailureDomain, Incarnation, ServerId};
use papayamux_state::load::{GroupId, LoadReport};
use papayamux_state::quantities::ByteCount;
use papayamux_transport::http::HttpClient;
use papayamux_transport::shutdown::ShutdownSignal;

use crate::answers::AnswerStore;
use crate::claims::{ClaimWitness, KeptAnswers};
use crate::crash_notifier::CrashNotifier;
use crate::engine_view::EngineView;
use crate::metrics::AgentMetrics;
use crate::orders::OrderCore;
use crate::request_memory::RequestMemory;
use crate::trust::RouterTrust;

/// The state shared by all connections and tasks of an agent.
pub struct AgentCore {
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// The backend server of the agent.
    pub server: ServerId,
    /// The failure domain of the agent.
    pub domain: FailureDomain,
    /// The admission of requests.
    pub admissions: Rc<AdmissionController>,
    /// The witness of claims.
    pub witness: ClaimWitness,
    /// Answers kept for retries.
    pub kept: Rc<KeptAnswers>,
    /// The number of retries whose answer the router has not received yet.
    pub recalls: Cell<u64>,
    /// The HTTP client for the backend server.
    pub client: HttpClient,
    /// The known state of the engine's cache and chats.
    pub engine: EngineView,
    /// Quarantined requests, under which servers crashed.
    pub crashes: CrashNotifier,
    /// The metrics of the agent.
    pub metrics: AgentMetrics,
    /// The time at which the agent started.
    pub started: Instant,
    /// Fires when the agent starts to drain, or when a newer agent controls the engine.
    pub draining: ShutdownSignal,
    /// Fires when all admitted requests have completed and the connections must be closed.
    pub closing: ShutdownSignal,
    /// The buffered answers.
    pub answers: Rc<AnswerStore>,
    /// The rules for which routers may connect.
    pub trust: RouterTrust,
    /// The memory of admitted requests' bodies.
    pub request_memory: RequestMemory,
    /// Maximum size of an answer that is no stream of events.
    pub longest_answer: ByteCount,
    /// The time without progress after which the server is checked.
    pub progress_within: Duration,
    /// The number that the next connection gets.
    pub next_link: Cell<u64>,
    /// The state of the orders to the engine, or `None` if the agent gives no orders.
    pub orders: Option<Rc<OrderCore>>,
}

impl AgentCore {
    /// Returns the current time of the agent's clock.
    pub fn clock(&self) -> AgentClock {
        AgentClock::default().after(self.started.elapsed())
    }

    /// Returns the load of the server as a member of `group`, including the prefill backlog.
    pub fn load(&self, group: Option<GroupId>) -> LoadReport {
        let now = self.clock();
        let report = self.admissions.load(group, now);
        LoadReport { backlog: report.backlog + self.engine.prefill_left(now), ..report }
    }

    /// Answers the query of another server's agent whether this server will keep serving weights.
    pub(crate) fn answer_query(&self, query: &ServingQuery) -> ServingAnswer {
        match &self.orders {
            Some(orders) => orders.answer_query(query, self.admissions.is_draining()),
            None => ServingAnswer::Refused(ServingRefusal::NotServing),
        }
    }
}
