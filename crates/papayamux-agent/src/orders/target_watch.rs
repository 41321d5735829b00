//! The target state of the engine, from the settings or from the declarations.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use futures_util::StreamExt;
use papayamux_coordination::orders::{PeerServer, ServerTarget};
use papayamux_declarations::{ConfigurationInForce, Server, ServerTask};
use papayamux_spread::configuration::ConfigurationView;
use papayamux_state::ids::ServerId;
use papayamux_state::weights::WeightsRef;

#[derive(Debug, Default)]
struct WatchState {
    current: Option<Rc<ServerTarget>>,
    highest: u64,
}

/// The current target. Clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct TargetWatch {
    state: Rc<RefCell<WatchState>>,
}

impl TargetWatch {
    /// Replaces the current target. Returns `false` if `target` is older than an earlier one.
    pub fn set(&self, target: ServerTarget) -> bool {
        let mut state = self.state.borrow_mut();
        if target.revision < state.highest {
            return false;
        }
        state.highest = target.revision;
        state.current = Some(Rc::new(target));
        true
    }

    /// Removes the current target until the next one is set.
    pub fn clear(&self) {
        self.state.borrow_mut().current = None;
    }

    /// Returns the current target, or `None` while none is known.
    pub fn current(&self) -> Option<Rc<ServerTarget>> {
        self.state.borrow().current.clone()
    }

    /// Follows the declarations for `server`. There is no target until the process has queried its
    /// peers after a start or a pause, because its configuration may be outdated.
    pub async fn follow(self, configuration: ConfigurationView, server: ServerId) {
        let mut changes = configuration.subscribe();
        loop {
            let settled = configuration.is_settled();
            let in_force = configuration.in_force();
            match declared_target(&in_force, &server).filter(|_| settled) {
                Some(target) => drop(self.set(target)),
                None => self.clear(),
            }
            if changes.next().await.is_none() {
                return;
            }
        }
    }
}

/// Returns the target declared for the engine of `server`. Returns `None` if no such engine is
/// declared; its state is then left unchanged.
pub fn declared_target(in_force: &ConfigurationInForce, server: &ServerId) -> Option<ServerTarget> {
    let declared = in_force.engine_target(server)?;
    let models = declared.models.iter();
    let models = models.map(|(name, version, _)| (WeightsRef::model(name), version.to_string()));
    let adapters = declared.adapters.iter();
    let adapters =
        adapters.map(|(name, _, version, _)| (WeightsRef::adapter(name), version.to_string()));
    let others = in_force.servers.iter().filter(|(name, _)| *name != server);
    let peers = others.filter_map(|(name, other)| Some((name.clone(), peer(&other.value)?)));
    let in_force_models = in_force.models.keys().map(WeightsRef::model);
    let in_force_adapters = in_force.adapters.keys().map(WeightsRef::adapter);
    Some(ServerTarget {
        revision: in_force.generation().get(),
        weights: models.chain(adapters).collect(),
        role: declared.role.to_string(),
        peers: peers.collect(),
        in_force: in_force_models.chain(in_force_adapters).collect(),
    })
}

fn peer(server: &Server) -> Option<PeerServer> {
    let ServerTask::Engine { models, adapters, .. } = &server.task else { return None };
    let models = models.iter().map(WeightsRef::model);
    let adapters = adapters.iter().map(WeightsRef::adapter);
    let weights: BTreeSet<_> = models.chain(adapters).collect();
    Some(PeerServer { agent: server.agent, weights })
}
