//! The software versions that served lately.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use papayamux_state::backend::BackendServer;
use papayamux_state::ids::{ServiceId, SoftwareVersion};

use super::ORIGIN_TTL;

/// The versions of each service, with the time at which a server of the version was last known.
#[derive(Debug)]
pub struct VersionHistory {
    started: Instant,
    versions: HashMap<ServiceId, Vec<VersionSighting>>,
}

#[derive(Debug)]
struct VersionSighting {
    version: Option<SoftwareVersion>,
    last_seen: Instant,
}

impl VersionHistory {
    /// Creates the history of a router that starts.
    pub fn new(now: Instant) -> Self {
        Self { started: now, versions: HashMap::new() }
    }

    /// Records that a server is known.
    pub fn record(&mut self, server: &BackendServer, now: Instant) {
        let sightings = self.versions.entry(server.service.clone()).or_default();
        match sightings.iter_mut().find(|sighting| sighting.version == server.software) {
            Some(sighting) => sighting.last_seen = now,
            None => {
                sightings.push(VersionSighting { version: server.software.clone(), last_seen: now })
            }
        }
    }

    /// Records all known servers, and forgets versions that no stream can have begun at.
    pub fn update<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a Rc<BackendServer>>,
        now: Instant,
    ) {
        servers.for_each(|server| self.record(server, now));
        self.versions.retain(|_, sightings| {
            sightings
                .retain(|sighting| now.saturating_duration_since(sighting.last_seen) < ORIGIN_TTL);
            !sightings.is_empty()
        });
    }

    /// Returns the version of a service if it is the only one that the router has known lately.
    pub fn sole_version(&self, service: &ServiceId) -> Option<&SoftwareVersion> {
        match self.versions.get(service)?.as_slice() {
            [only] => only.version.as_ref(),
            _ => None,
        }
    }

    /// Returns whether the history covers the life of every stream.
    pub fn covers_all_streams(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= ORIGIN_TTL
    }
}
