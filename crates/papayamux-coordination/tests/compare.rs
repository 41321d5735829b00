//! An engine reaches its target from any state, with one load at a time.

use std::collections::BTreeMap;

use bolero::{check, TypeGenerator};
use papayamux_coordination::orders::{
    ChangePlan, EngineSnapshot, OrderDraft, ServerTarget, StepRights,
};
use papayamux_protocol::engine::{EngineOrder, EngineState, EngineWeights, FailedLoad};
use papayamux_state::weights::{WeightsKind, WeightsRef};

/// Number of inputs per property. Trying them takes at least a second in a debug build.
const GENERATED_INPUTS: usize = 3_000;

#[derive(Debug, Clone, TypeGenerator)]
enum EngineEvent {
    FinishLoads,
    FailLoads,
    Restart,
    ForeignOrder(Vec<(u8, u8)>),
    Step { may_load: bool, may_unload: bool },
}

fn named(list: &[(u8, u8)]) -> BTreeMap<WeightsRef, String> {
    let weights = list.iter().map(|(name, version)| {
        let kind = [WeightsKind::Model, WeightsKind::Adapter][usize::from(name % 2)];
        (WeightsRef { kind, name: format!("weights-{}", name % 8) }, format!("{}", version % 3))
    });
    weights.collect()
}

fn published(kind: WeightsKind, weights: &BTreeMap<WeightsRef, String>) -> Vec<EngineWeights> {
    let of_kind = weights.iter().filter(|(weights, _)| weights.kind == kind);
    of_kind
        .map(|(weights, version)| EngineWeights {
            name: weights.name.clone(),
            version: version.clone(),
        })
        .collect()
}

#[derive(Default)]
struct ModelEngine {
    state: EngineState,
}

impl ModelEngine {
    fn obey(&mut self, order: &EngineOrder) {
        let wanted = |list: &[String]| -> Vec<EngineWeights> {
            let version = |name: &String| order.versions.get(name).cloned().unwrap_or_default();
            list.iter()
                .map(|name| EngineWeights { name: name.clone(), version: version(name) })
                .collect()
        };
        let (models, adapters) = (wanted(&order.models), wanted(&order.adapters));
        let names = |list: &[EngineWeights], name: &str| list.iter().any(|item| item.name == name);
        self.state.models.retain(|loaded| names(&models, &loaded.name));
        self.state.adapters.retain(|loaded| names(&adapters, &loaded.name));
        let loaded = |item: &EngineWeights| {
            self.state.models.contains(item) || self.state.adapters.contains(item)
        };
        let loading = models.iter().chain(&adapters).filter(|item| !loaded(item));
        self.state.loading = loading.cloned().collect();
        self.state.failed.clear();
        (self.state.role, self.state.fence) = (order.role.clone(), Some(order.fence));
    }

    fn finish(&mut self, target: &ServerTarget) {
        for load in std::mem::take(&mut self.state.loading) {
            let is_model = target.weights.iter().any(|(weights, _)| {
                weights.kind == WeightsKind::Model && weights.name == load.name
            }) || load.name.ends_with(['0', '2', '4', '6']);
            let list = if is_model { &mut self.state.models } else { &mut self.state.adapters };
            list.retain(|other| other.name != load.name);
            list.push(load);
        }
    }

    fn fail(&mut self) {
        let failed = std::mem::take(&mut self.state.loading).into_iter().map(|load| FailedLoad {
            name: load.name,
            version: load.version,
            reason: "weight store: status 429".to_string(),
        });
        self.state.failed.extend(failed);
    }

    fn step(&mut self, target: &ServerTarget, fence: u64, may_load: bool, may_unload: bool) {
        let view = EngineSnapshot::from(&self.state);
        let plan = ChangePlan::new(target, &view);
        let load = plan.missing.iter().chain(&plan.outdated).next().cloned();
        let unload = plan.surplus.iter().filter(|_| may_unload).cloned().collect();
        let rights = StepRights { load: load.filter(|_| may_load), unload, claim: false };
        let loads = view.loads();
        if let Some(draft) = OrderDraft::next(target, &view, &rights) {
            self.obey(&draft.number(fence.into()));
            let after = EngineSnapshot::from(&self.state);
            assert!(draft.is_in_effect(&after));
            assert!(
                after.loads() <= loads + usize::from(may_load),
                "a load was started without a slot"
            );
            let kept = view.loaded.keys().filter(|_| !may_unload);
            assert!(kept.into_iter().all(|weights| after.loaded.contains_key(weights)));
        }
    }
}

#[test]
fn engine_converges_to_its_target_after_any_events() {
    let events =
        check!().with_iterations(GENERATED_INPUTS).with_type::<(Vec<(u8, u8)>, Vec<EngineEvent>)>();
    events.for_each(|(wanted, events)| {
        let target =
            ServerTarget { weights: named(wanted), role: "both".to_string(), ..Default::default() };
        let mut engine = ModelEngine::default();
        let mut fence = 0;
        for event in events {
            fence += 1;
            match event {
                EngineEvent::FinishLoads => engine.finish(&target),
                EngineEvent::FailLoads => engine.fail(),
                EngineEvent::Restart => engine = ModelEngine::default(),
                EngineEvent::ForeignOrder(list) => {
                    let weights = named(list);
                    engine.obey(&EngineOrder {
                        fence,
                        models: published(WeightsKind::Model, &weights)
                            .into_iter()
                            .map(|model| model.name)
                            .collect(),
                        ..Default::default()
                    });
                }
                EngineEvent::Step { may_load, may_unload } => {
                    engine.step(&target, fence, *may_load, *may_unload);
                }
            }
        }
        let rounds = target.weights.len() + 2;
        for _ in 0..rounds {
            fence += 1;
            engine.step(&target, fence, true, true);
            engine.finish(&target);
        }
        let view = EngineSnapshot::from(&engine.state);
        assert_eq!((view.loaded.clone(), view.role.as_str()), (target.weights.clone(), "both"));
        assert!(ChangePlan::new(&target, &view).is_done());
    });
}
