//! The metrics of the orders to the engine.

use papayamux_daemon::metrics::ReasonCounters;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// All metrics of the orders to the engine.
#[derive(Debug, Clone, Default)]
pub struct OrderMetrics {
    /// Sent orders, by each of their reasons.
    pub orders: ReasonCounters,
    /// Orders, by the engine's answer.
    pub outcomes: ReasonCounters,
    /// Orders, by whether the state read afterwards shows their effect.
    pub effects: ReasonCounters,
    /// Waits of the order task, by what it waits for.
    pub waits: ReasonCounters,
    /// Observations of the engine's fencing number, by what the number shows.
    pub fences: ReasonCounters,
    /// Loads, by outcome.
    pub loads: ReasonCounters,
    /// Queries to other servers whether they serve weights, by answer.
    pub serving_asked: ReasonCounters,
    /// Queries from other servers whether this server serves weights, by answer.
    pub serving_answers: ReasonCounters,
    /// 1 if a newer agent controls the engine.
    pub superseded: Gauge,
    /// Models and adapters whose state differs from the target.
    pub open_changes: Gauge,
}

impl OrderMetrics {
    /// Registers the metrics under the prefix `papayamux_agent`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("papayamux_agent");
        registry.register("orders", "Orders sent, by reason", self.orders.0.clone());
        registry.register("order_outcomes", "Orders by answer", self.outcomes.0.clone());
        registry.register("order_effects", "Orders by effect seen", self.effects.0.clone());
        registry.register("order_waits", "Looks without an order, by reason", self.waits.0.clone());
        registry.register("order_fences", "What fencing numbers said", self.fences.0.clone());
        registry.register("weight_loads", "Loads by how they ended", self.loads.0.clone());
        let asked = self.serving_asked.0.clone();
        registry.register("serving_asked", "Servers asked whether they serve", asked);
        let answers = self.serving_answers.0.clone();
        registry.register("serving_answers", "Answers to servers that want to stop", answers);
        let superseded = self.superseded.clone();
        registry.register("superseded", "Whether a newer agent orders the engine", superseded);
        let open = self.open_changes.clone();
        registry.register("open_changes", "Models and adapters not yet as declared", open);
    }
}
