//! Active faults of all links, combined so that two kinds of fault on one link apply together.

use std::cell::RefCell;
use std::collections::BTreeMap;

use papayamux_standins::fault_proxy::{FaultyWays, LinkFaults};
use papayamux_testbed::{LinkControl, TestbedError};

/// A link, identified by the indexes of its ends in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkPlace {
    /// The link between a router and the agent of a server.
    Agent {
        /// Index of the router.
        router: usize,
        /// Index of the server.
        server: usize,
    },
    /// The link between an agent and its server, by the server's index.
    Server(usize),
}

impl LinkPlace {
    /// Returns the router at one end, if there is one.
    pub fn router(self) -> Option<usize> {
        match self {
            LinkPlace::Agent { router, .. } => Some(router),
            LinkPlace::Server(_) => None,
        }
    }

    /// Returns the server that the link leads to.
    pub fn server(self) -> usize {
        match self {
            LinkPlace::Agent { server, .. } | LinkPlace::Server(server) => server,
        }
    }
}

/// Lasting faults of every link.
#[derive(Default)]
pub struct LinkFaultTable {
    faults: RefCell<BTreeMap<LinkPlace, LinkFaults>>,
}

impl LinkFaultTable {
    /// Changes some of a link's faults and keeps the others.
    pub async fn change(
        &self,
        place: LinkPlace,
        link: &LinkControl,
        change: impl FnOnce(&mut LinkFaults),
    ) -> Result<(), TestbedError> {
        let faults = {
            let mut link_faults = self.faults.borrow_mut();
            let faults = link_faults.entry(place).or_default();
            change(faults);
            *faults
        };
        link.set(faults).await?;
        Ok(())
    }

    /// Silences a link's open connections for good and keeps its other faults.
    pub async fn silence(&self, place: LinkPlace, link: &LinkControl) -> Result<(), TestbedError> {
        let lasting = self.faults.borrow().get(&place).copied().unwrap_or_default();
        let drop = FaultyWays::Both;
        link.set(LinkFaults { drop, only_existing: true, ..lasting }).await?;
        link.set(lasting).await?;
        Ok(())
    }
}
