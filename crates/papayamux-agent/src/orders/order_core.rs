//! The state that the order task shares with the rest of the agent.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use papayamux_coordination::orders::{ChangePlan, EngineSnapshot, StopTracker};
use papayamux_protocol::serving::{ServingAnswer, ServingQuery};
use papayamux_state::weights::WeightsRef;
use serde_json::json;

use super::metrics::OrderMetrics;
use super::model_gate::ModelGate;
use super::order_settings::OrderSettings;
use super::target_watch::TargetWatch;

/// Number of poll intervals after which the engine's last known state counts as unknown.
const MAX_STATE_AGE_POLLS: u32 = 5;

/// The state of the agent's orders to its engine.
pub struct OrderCore {
    /// The settings of the orders.
    pub settings: OrderSettings,
    /// The target state of the engine.
    pub target: TargetWatch,
    /// The gate that admits requests by their model and adapter.
    pub gate: Rc<ModelGate>,
    /// The weights that this server wants to stop or has stopped serving.
    pub stops: RefCell<StopTracker>,
    /// The metrics of the orders.
    pub metrics: OrderMetrics,
    report: RefCell<OrderReport>,
}

/// The result of the last poll of the engine.
#[derive(Debug, Clone, Default)]
pub struct OrderReport {
    /// The revision of the target, or `None` before the first report.
    pub revision: Option<u64>,
    /// The state of the engine.
    pub view: EngineSnapshot,
    /// The changes that lead from that state to the target.
    pub plan: ChangePlan,
    /// The labels of what the order task waits for.
    pub waits: Vec<&'static str>,
}

impl OrderCore {
    /// Creates the state of an agent that starts now.
    pub fn new(settings: OrderSettings, metrics: OrderMetrics) -> Self {
        let target = TargetWatch::default();
        if let Some(wanted) = settings.target.clone() {
            target.set(wanted);
        }
        Self {
            gate: ModelGate::new(settings.look_every * MAX_STATE_AGE_POLLS),
            stops: RefCell::new(StopTracker::new(settings.evidence_for, Instant::now())),
            settings,
            target,
            metrics,
            report: RefCell::default(),
        }
    }

    /// Answers the query of another server's agent whether this server will keep serving weights.
    pub fn answer_query(&self, query: &ServingQuery, is_leaving: bool) -> ServingAnswer {
        let now = Instant::now();
        let is_serving = !is_leaving && self.gate.is_serving(&query.weights, now);
        let answered = self.stops.borrow().answer(&query.weights, is_serving, now);
        let (answer, label) = match answered {
            Ok(()) => (ServingAnswer::Serves, "serves"),
            Err(refusal) => (ServingAnswer::Refused(refusal), refusal.label()),
        };
        self.metrics.serving_answers.count(label);
        answer
    }

    /// Records the result of the last poll of the engine.
    pub fn record_report(&self, report: OrderReport) {
        let plan = &report.plan;
        let open = plan.missing.len() + plan.outdated.len() + plan.surplus.len() + plan.loading;
        self.metrics.open_changes.set(open as i64);
        *self.report.borrow_mut() = report;
    }

    /// Returns the status as JSON.
    pub fn status(&self) -> serde_json::Value {
        let report = self.report.borrow();
        let loaded = report.view.loaded.iter().map(|(weights, version)| {
            (format!("{} {}", weights.kind.label(), weights.name), version.clone())
        });
        let loaded: std::collections::BTreeMap<_, _> = loaded.collect();
        let stops = self.stops.borrow();
        json!({
            "revision": report.revision,
            "fence": report.view.fence,
            "role": report.view.role,
            "loaded": loaded,
            "loading": report.view.loads(),
            "missing": names(report.plan.missing.iter()),
            "outdated": names(report.plan.outdated.iter()),
            "surplus": names(report.plan.surplus.iter()),
            "stopping": names(stops.stopping()),
            "stopped": names(stops.stopped()),
            "as_declared": report.revision.is_some() && report.plan.is_done(),
            "waits": report.waits,
            "superseded": self.gate.is_superseded(),
        })
    }
}

fn names<'a>(weights: impl Iterator<Item = &'a WeightsRef>) -> Vec<String> {
    weights.map(WeightsRef::to_string).collect()
}
