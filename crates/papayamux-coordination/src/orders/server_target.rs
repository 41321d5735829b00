//! What one engine is to be brought to, and who else serves the same.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use papayamux_protocol::engine::MAX_ORDERED_WEIGHTS;
use papayamux_state::ids::ServerId;
use papayamux_state::weights::WeightsRef;
use thiserror::Error;

/// Another engine of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerServer {
    /// Where its agent listens.
    pub agent: SocketAddr,
    /// What it is declared to serve.
    pub weights: BTreeSet<WeightsRef>,
}

/// What one engine is to be brought to, as declared at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerTarget {
    /// How far the declarations have come; it never falls.
    pub revision: u64,
    /// Versions by model and adapter.
    pub weights: BTreeMap<WeightsRef, String>,
    /// The role.
    pub role: String,
    /// The other declared engines.
    pub peers: BTreeMap<ServerId, PeerServer>,
    /// Models and adapters that are in force, whoever serves them.
    pub in_force: BTreeSet<WeightsRef>,
}

/// Why a target can't be put into an order.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TargetError {
    /// More than an order may name.
    #[error(
        "{count} models and adapters are declared; an order names at most {MAX_ORDERED_WEIGHTS}"
    )]
    TooMany {
        /// How many there are.
        count: usize,
    },
    /// An order has one version for each name, so that one of the two could not change alone.
    #[error("a model and an adapter are both called {name:?}")]
    NameClash {
        /// The name.
        name: String,
    },
}

impl TargetError {
    /// The stable word for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            TargetError::TooMany { .. } => "too_many",
            TargetError::NameClash { .. } => "name_clash",
        }
    }
}

impl ServerTarget {
    /// Whether orders can express the target.
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

    /// The other servers that are declared to serve `weights`.
    pub fn keepers<'a>(
        &'a self,
        weights: &'a WeightsRef,
    ) -> impl Iterator<Item = (&'a ServerId, SocketAddr)> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.weights.contains(weights));
        peers.map(|(server, peer)| (server, peer.agent))
    }

    /// Whether callers may still ask for `weights`.
    pub fn is_in_force(&self, weights: &WeightsRef) -> bool {
        self.in_force.contains(weights)
    }
}

/// How many of `others` declared servers must serve before one server stops serving: half of them,
/// and at least one. So many serve on when all that can stop have stopped.
pub fn needed_keepers(others: usize) -> usize {
    others.div_ceil(2).max(1)
}
