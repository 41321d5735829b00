//! Faults of a proxied link.

use serde::{Deserialize, Serialize};

/// A direction through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkDirection {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

impl LinkDirection {
    /// Returns the index of this direction in an array of both.
    pub(super) const fn index(self) -> usize {
        match self {
            LinkDirection::ToTarget => 0,
            LinkDirection::ToClient => 1,
        }
    }
}

/// The directions that a fault affects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultyWays {
    /// Neither direction; the fault is off.
    #[default]
    None,
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
    /// Both directions.
    Both,
}

impl FaultyWays {
    /// Returns `true` if `direction` is affected.
    pub fn include(self, direction: LinkDirection) -> bool {
        match self {
            FaultyWays::None => false,
            FaultyWays::Both => true,
            FaultyWays::ToTarget => direction == LinkDirection::ToTarget,
            FaultyWays::ToClient => direction == LinkDirection::ToClient,
        }
    }
}

/// All faults of a link; none by default. Setting them replaces the previous ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Delay of every byte in milliseconds.
    pub delay_ms: u64,
    /// Directions in which bytes and closes are withheld until the fault is removed, and then
    /// delivered in order.
    pub hold: FaultyWays,
    /// Directions in which bytes and closes are discarded. A connection affected once stays silent
    /// in that direction permanently, even after the fault is removed.
    pub drop: FaultyWays,
    /// Closes new connections immediately.
    pub refuse: bool,
    /// Applies the faults only to connections that are open when the faults are set.
    pub only_existing: bool,
    /// Closes each connection after this many further bytes to the client.
    pub cut_after_bytes: Option<u64>,
}

impl LinkFaults {
    /// Returns the faults that apply to connections opened later.
    pub(super) fn of_new_connections(self) -> Self {
        match self.only_existing {
            true => Self::default(),
            false => self,
        }
    }
}
