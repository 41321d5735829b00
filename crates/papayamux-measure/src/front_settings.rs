//! Settings file of a platform router in a fleet on loopback.

use std::net::SocketAddr;

/// The settings of one router of a fleet.
#[derive(Debug, Clone)]
pub(crate) struct FrontSettings {
    /// The index of the router, from 0.
    pub index: usize,
    /// The number of routers in the fleet.
    pub count: usize,
    /// The port for messages between routers, the same for all; each has its own loopback address.
    pub peers_port: u16,
    /// The address of the store that the router reads.
    pub store: SocketAddr,
    /// Additional sections and limits, as lines.
    pub further: String,
}

/// Maximum number of routers listed as seeds.
const MAX_SEEDS: usize = 3;

impl FrontSettings {
    /// Returns the text of the settings file.
    pub(crate) fn text(&self) -> String {
        let host = |index: usize| format!("127.0.0.{}", index + 1);
        let seeds = (0..self.count.min(MAX_SEEDS))
            .map(|seed| format!("{}:{}", host(seed), self.peers_port));
        format!(
            "[instance]\nname = router-{}\nfailure_domain = here\n\
             [listen]\ncallers = 127.0.0.1:0\noperations = 127.0.0.1:0\n\
             [source]\naddress = {}\n[peers]\nlisten = {}:{}\nseeds = {}\n{}",
            self.index,
            self.store,
            host(self.index),
            self.peers_port,
            seeds.collect::<Vec<_>>().join(","),
            self.further
        )
    }
}
