//! The settings file of a router on the platform, for fleets on loopback.

use std::net::SocketAddr;

/// A router among others.
#[derive(Debug, Clone)]
pub(crate) struct FrontSettings {
    /// Its number, from 0.
    pub index: usize,
    /// How many there are.
    pub count: usize,
    /// The port at which all hear one another, each on a loopback address of its own.
    pub peers_port: u16,
    /// Where it reads the store.
    pub store: SocketAddr,
    /// Further sections and bounds, as lines.
    pub further: String,
}

/// Routers to begin with.
const MOST_SEEDS: usize = 3;

impl FrontSettings {
    /// The file's text.
    pub(crate) fn text(&self) -> String {
        let host = |index: usize| format!("127.0.0.{}", index + 1);
        let seeds = (0..self.count.min(MOST_SEEDS))
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
