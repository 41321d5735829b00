//! What all connections of an agent share.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::admission::AdmissionBook;
use papayamux_protocol::link::AgentClock;
use papayamux_protocol::serving::{ServingAnswer, ServingQuestion, ServingRefusal};
use papayamux_state::ids::{FailureDomain, Incarnation, ServerId};
use papayamux_state::load::{GroupId, LoadReport};
use papayamux_transport::http::HttpClient;
use papayamux_transport::shutdown::ShutdownSignal;

use crate::answers::AnswerStore;
use crate::claims::{ClaimWitness, KeptAnswers};
use crate::crash_notifier::CrashNotifier;
use crate::engine_view::EngineView;
use crate::metrics::AgentMetrics;
use crate::orders::OrderCore;
use crate::trust::RouterTrust;

/// What all connections of an agent share.
pub struct AgentCore {
    /// The agent's life.
    pub incarnation: Incarnation,
    /// The backend server.
    pub server: ServerId,
    /// The agent's failure domain.
    pub domain: FailureDomain,
    /// What was admitted.
    pub book: Rc<AdmissionBook>,
    /// The witness of claims.
    pub witness: ClaimWitness,
    /// Answers kept for repeats.
    pub kept: Rc<KeptAnswers>,
    /// Repeats whose answer has not arrived.
    pub recalls: Cell<u64>,
    /// Requests to the backend server.
    pub client: HttpClient,
    /// What is known of the engine.
    pub engine: EngineView,
    /// Requests under which servers end.
    pub crashes: CrashNotifier,
    /// The agent's metrics.
    pub metrics: AgentMetrics,
    /// When the agent started.
    pub started: Instant,
    /// Given when the agent leaves.
    pub draining: ShutdownSignal,
    /// Given when all that was admitted has ended, and the connections are to be closed.
    pub closing: ShutdownSignal,
    /// The answers that may still be asked for.
    pub answers: Rc<AnswerStore>,
    /// Which routers may connect.
    pub trust: RouterTrust,
    /// How long the server may make no progress before it is asked whether it lives.
    pub progress_within: Duration,
    /// The number of the next connection.
    pub next_link: Cell<u64>,
    /// Orders to the engine, where the agent gives any.
    pub orders: Option<Rc<OrderCore>>,
}

impl AgentCore {
    /// The agent's clock.
    pub fn clock(&self) -> AgentClock {
        AgentClock::default().after(self.started.elapsed())
    }

    /// What the server carries, for a group of servers that it belongs to.
    pub fn load(&self, group: Option<GroupId>) -> LoadReport {
        let now = self.clock();
        let report = self.book.load(group, now);
        LoadReport { backlog: report.backlog + self.engine.prefill_left(now), ..report }
    }

    /// Answers another server's agent that asks whether it can count on this server.
    pub(crate) fn answer_question(&self, question: &ServingQuestion) -> ServingAnswer {
        match &self.orders {
            Some(orders) => orders.answer_question(question, self.book.is_leaving()),
            None => ServingAnswer::Refused(ServingRefusal::NotServing),
        }
    }
}
