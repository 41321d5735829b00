//! The declared target of one engine, and the other engines that serve the same weights.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use papayamux_protocol::engine::MAX_ORDERED_WEIGHTS;
use papayamux_state::ids::ServerId;
use papayamux_state::weights::WeightsRef;
use thiserror::Error;

/// Another engine of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerServer {
    /// Address at which its agent listens.
    pub agent: SocketAddr,
    /// Weights that it is declared to serve.
    pub weights: BTreeSet<WeightsRef>,
}

/// The target of one engine, as declared at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerTarget {
    /// Revision of the declarations; it never decreases.
    pub revision: u64,
    /// Version of each model and adapter.
    pub weights: BTreeMap<WeightsRef, String>,
    /// Role of the engine.
    pub role: String,
    /// The other declared engines.
    pub peers: BTreeMap<ServerId, PeerServer>,
    /// Models and adapters in force on any engine.
    pub in_force: BTreeSet<WeightsRef>,
}

/// The reason why a target can't be expressed by an order.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TargetError {
    /// More models and adapters than an order may name.
    #[error(
        "{count} models and adapters are declared; an order names at most {MAX_ORDERED_WEIGHTS}"
    )]
    TooMany {
        /// Number of declared models and adapters.
        count: usize,
    },
    /// An order has one version per name, so that a model and an adapter of the same name couldn't change
    /// independently.
    #[error("a model and an adapter are both called {name:?}")]
    NameClash {
        /// Name of both.
        name: String,
    },
}

impl TargetError {
    /// Returns the stable label for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            TargetError::TooMany { .. } => "too_many",
            TargetError::NameClash { .. } => "name_clash",
        }
    }
}

impl ServerTarget {
    /// Returns an error if an order can't express the target.
    pub fn check(&self) -> Result<(), TargetError> {
        let count = self.weights.len();
        if count > MAX_ORDERED_WEIGHTS {
            return Err(TargetError::TooMany { count });
        }
        let mut names = BTreeSet::new();
        for weights in self.weights.keys() {
            if !names.insert(&weights.name) {
                return Err(TargetError::NameClash { name: weights.name.clone() });
            }
        }
        Ok(())
    }

    /// Returns the other servers that are declared to serve `weights`.
    pub fn declared_peers<'a>(
        &'a self,
        weights: &'a WeightsRef,
    ) -> impl Iterator<Item = (&'a ServerId, SocketAddr)> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.weights.contains(weights));
        peers.map(|(server, peer)| (server, peer.agent))
    }

    /// Returns whether callers may still request `weights`.
    pub fn is_in_force(&self, weights: &WeightsRef) -> bool {
        self.in_force.contains(weights)
    }
}

/// Returns how many of the `others` other declared servers must be serving before one server may stop:
/// half of them, and at least one. This many keep serving when all that may stop have stopped.
pub fn required_servers(others: usize) -> usize {
    others.div_ceil(2).max(1)
}
