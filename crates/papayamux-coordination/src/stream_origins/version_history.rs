//! The software versions that served lately.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_state::backend::BackendServer;
use papayamux_state::ids::{ServiceId, SoftwareVersion};

use super::ORIGIN_TTL;

/// Age of the known servers beyond which a version may have come and gone unseen.
const MAX_SERVERS_AGE: Duration = Duration::from_secs(2);

/// The versions of each service, with the time at which a server of the version was last known.
#[derive(Debug)]
pub struct VersionHistory {
    /// Since when no version can have been missed.
    complete_since: Instant,
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
        Self { complete_since: now, versions: HashMap::new() }
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

    /// Records all known servers and for how long they have not been confirmed, and forgets versions
    /// that no stream can have begun at.
    pub fn update<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a Rc<BackendServer>>,
        servers_age: Option<Duration>,
        now: Instant,
    ) {
        if servers_age.is_none_or(|age| age > MAX_SERVERS_AGE) {
            self.complete_since = now;
        }
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

    /// Returns the version at which every stream of a service must have begun that is alive at
    /// `now`: the only one known for as long as a stream may live.
    ///
    /// The known servers must have been confirmed after the stream's caller came back. Otherwise,
    /// a server that is not known yet may have begun the stream.
    pub fn certain_version(&self, service: &ServiceId, now: Instant) -> Option<&SoftwareVersion> {
        let covers_all_streams = now.saturating_duration_since(self.complete_since) >= ORIGIN_TTL;
        self.sole_version(service).filter(|_| covers_all_streams)
    }
}
