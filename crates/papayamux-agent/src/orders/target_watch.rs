//! What the engine is to be brought to, whoever says so.

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

/// The present target; clones share it.
#[derive(Debug, Clone, Default)]
pub struct TargetWatch {
    state: Rc<RefCell<WatchState>>,
}

impl TargetWatch {
    /// Puts a target in place of the present one; `false` where it is older than one before.
    pub fn set(&self, target: ServerTarget) -> bool {
        let mut state = self.state.borrow_mut();
        if target.revision < state.highest {
            return false;
        }
        state.highest = target.revision;
        state.current = Some(Rc::new(target));
        true
    }

    /// No target is known any more, until the next one.
    pub fn clear(&self) {
        self.state.borrow_mut().current = None;
    }

    /// The present target; `None` while none is known.
    pub fn current(&self) -> Option<Rc<ServerTarget>> {
        self.state.borrow().current.clone()
    }

    /// Keeps to what is declared for `server`. While the process has not asked its peers, since
    /// it started or was paused, there is no target: what it knows may be old.
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

/// What is declared for the engine of `server`; `None` where no such engine is declared, whose
/// state is then left as it is.
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
