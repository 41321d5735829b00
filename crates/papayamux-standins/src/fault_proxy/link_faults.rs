//! Which faults a proxied link shows.

use serde::{Deserialize, Serialize};

/// One way through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkDirection {
    /// From the side that connected to the target.
    ToTarget,
    /// From the target to the side that connected.
    ToClient,
}

impl LinkDirection {
    /// The place of this way in an array of both.
    pub(super) const fn index(self) -> usize {
        match self {
            LinkDirection::ToTarget => 0,
            LinkDirection::ToClient => 1,
        }
    }
}

/// The ways that a fault concerns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultyWays {
    /// No way: the fault is off.
    #[default]
    None,
    /// From the side that connected to the target.
    ToTarget,
    /// From the target to the side that connected.
    ToClient,
    /// Both ways.
    Both,
}

impl FaultyWays {
    /// Whether `way` is concerned.
    pub fn include(self, direction: LinkDirection) -> bool {
        match self {
            FaultyWays::None => false,
            FaultyWays::Both => true,
            FaultyWays::ToTarget => direction == LinkDirection::ToTarget,
            FaultyWays::ToClient => direction == LinkDirection::ToClient,
        }
    }
}

/// All faults of a link; the default is none. Setting them replaces those set before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Milliseconds by which every byte is late.
    pub delay_ms: u64,
    /// Ways on which bytes and ends are kept until the hold is lifted, then delivered in order.
    pub hold: FaultyWays,
    /// Ways on which bytes and ends are thrown away. A connection that has dropped once stays
    /// silent on that way for good, also when the fault is lifted.
    pub drop: FaultyWays,
    /// New connections are closed at once.
    pub refuse: bool,
    /// The faults concern the connections that are open when they are set, not later ones.
    pub only_existing: bool,
    /// Each connection is closed after this many further bytes to the client.
    pub cut_after_bytes: Option<u64>,
}

impl LinkFaults {
    /// The faults that a connection opened later shows.
    pub(super) fn of_new_connections(self) -> Self {
        match self.only_existing {
            true => Self::default(),
            false => self,
        }
    }
}
