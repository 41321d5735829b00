//! The faults of all links, so that two kinds of fault on one link are in force together.

use std::cell::RefCell;
use std::collections::BTreeMap;

use papayamux_standins::fault_proxy::{FaultyWays, LinkFaults};
use papayamux_testbed::{LinkControl, TestbedError};

/// A link, by the places of its ends in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkPlace {
    /// Between a router and the agent of a server.
    Agent {
        /// The router.
        router: usize,
        /// The server.
        server: usize,
    },
    /// Between an agent and its server.
    Server(usize),
}

impl LinkPlace {
    /// The router at one end, where there is one.
    pub fn router(self) -> Option<usize> {
        match self {
            LinkPlace::Agent { router, .. } => Some(router),
            LinkPlace::Server(_) => None,
        }
    }

    /// The server that the link leads to.
    pub fn server(self) -> usize {
        match self {
            LinkPlace::Agent { server, .. } | LinkPlace::Server(server) => server,
        }
    }
}

/// The lasting faults of every link.
#[derive(Default)]
pub struct LinkBoard {
    faults: RefCell<BTreeMap<LinkPlace, LinkFaults>>,
}

impl LinkBoard {
    /// Changes some of a link's faults and keeps the others.
    pub async fn change(
        &self,
        place: LinkPlace,
        link: &LinkControl,
        change: impl FnOnce(&mut LinkFaults),
    ) -> Result<(), TestbedError> {
        let faults = {
            let mut board = self.faults.borrow_mut();
            let faults = board.entry(place).or_default();
            change(faults);
            *faults
        };
        link.set(faults).await?;
        Ok(())
    }

    /// Makes a link's open connections silent for good, and keeps its other faults.
    pub async fn silence(&self, place: LinkPlace, link: &LinkControl) -> Result<(), TestbedError> {
        let lasting = self.faults.borrow().get(&place).copied().unwrap_or_default();
        let drop = FaultyWays::Both;
        link.set(LinkFaults { drop, only_existing: true, ..lasting }).await?;
        link.set(lasting).await?;
        Ok(())
    }
}
