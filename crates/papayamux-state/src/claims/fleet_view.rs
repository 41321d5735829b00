//! The declared fleet and its choice of the witnesses for a key.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;
use xxhash_rust::xxh3::{xxh3_64_with_seed, Xxh3};

use super::ClaimKey;
use crate::ids::{FailureDomain, IdError, ServerId};

/// A server of the declared fleet with its declared failure domain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeclaredServer {
    /// The server, whose agent is the witness.
    pub server: ServerId,
    /// The server's failure domain, if one is declared.
    pub domain: Option<FailureDomain>,
}

impl FromStr for DeclaredServer {
    type Err = IdError;

    /// Parses `SERVER` or `SERVER@DOMAIN`.
    fn from_str(text: &str) -> Result<Self, IdError> {
        match text.rsplit_once('@') {
            None => Ok(Self { server: text.parse()?, domain: None }),
            Some((server, domain)) => {
                Ok(Self { server: server.parse()?, domain: Some(domain.parse()?) })
            }
        }
    }
}

impl fmt::Display for DeclaredServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.domain {
            None => write!(formatter, "{}", self.server),
            Some(domain) => write!(formatter, "{}@{domain}", self.server),
        }
    }
}

/// A hash of everything that determines the witnesses of a key and how long they keep a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FleetDigest(u64);

impl FleetDigest {
    /// Returns the number as sent on the wire.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl From<u64> for FleetDigest {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for FleetDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The error of creating a [`FleetView`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FleetViewError {
    /// The number of witnesses is even (or zero).
    #[error("the number of witnesses must be odd, not {0}")]
    Even(usize),
}

/// One revision of the declared fleet. Its digest also covers the number of witnesses and the
/// retention, because processes that differ in them must not cooperate on claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetView {
    servers: Vec<DeclaredServer>,
    witnesses: usize,
    digest: FleetDigest,
}

impl FleetView {
    /// Creates a view of `servers` with `witnesses` witnesses for each key, each of which keeps a
    /// claim for `retention`.
    pub fn new(
        mut servers: Vec<DeclaredServer>,
        witnesses: usize,
        retention: Duration,
    ) -> Result<Self, FleetViewError> {
        if witnesses.is_multiple_of(2) {
            return Err(FleetViewError::Even(witnesses));
        }
        servers.sort_unstable();
        servers.dedup_by(|left, right| left.server == right.server);
        let digest = digest_of(&servers, witnesses, retention);
        Ok(Self { servers, witnesses, digest })
    }

    /// Returns the digest of the view.
    pub const fn digest(&self) -> FleetDigest {
        self.digest
    }

    /// Returns the declared servers, sorted by name.
    pub fn servers(&self) -> &[DeclaredServer] {
        &self.servers
    }

    /// Returns the witnesses of `key`: the servers with the highest rendezvous weights, chosen in
    /// rounds that take at most one server from each failure domain. Servers without a declared
    /// failure domain are not limited by this.
    pub fn witnesses(&self, key: ClaimKey) -> Vec<ServerId> {
        let mut ranked: Vec<_> = self.servers.iter().collect();
        ranked.sort_by_cached_key(|declared| Reverse(weight(key, &declared.server)));
        let mut chosen: Vec<ServerId> = Vec::new();
        while chosen.len() < self.witnesses && !ranked.is_empty() {
            let mut domains = HashSet::new();
            ranked.retain(|declared| {
                let fits = chosen.len() < self.witnesses
                    && declared.domain.as_ref().is_none_or(|domain| domains.insert(domain));
                if fits {
                    chosen.push(declared.server.clone());
                }
                !fits
            });
        }
        chosen
    }
}

fn weight(key: ClaimKey, server: &ServerId) -> u64 {
    let seed = xxh3_64_with_seed(server.as_str().as_bytes(), 0);
    xxh3_64_with_seed(&key.get().to_le_bytes(), seed)
}

fn digest_of(servers: &[DeclaredServer], witnesses: usize, retention: Duration) -> FleetDigest {
    let mut hasher = Xxh3::new();
    hasher.update(&(witnesses as u64).to_le_bytes());
    hasher.update(&(retention.as_millis() as u64).to_le_bytes());
    for declared in servers {
        let domain = declared.domain.as_ref().map_or("", FailureDomain::as_str);
        for part in [declared.server.as_str(), domain] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
    }
    FleetDigest(hasher.digest())
}
