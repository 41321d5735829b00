//! A source that keeps the changes of each of its eras, so that its contents are known at every position.

use std::collections::BTreeMap;

use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::source::{SourceEra, SourcePosition};

/// A change written to the source.
#[derive(Debug, Clone)]
pub enum Written {
    Server(BackendServer),
    Departed(String),
    /// A configuration of this version.
    Configuration(u64),
}

pub struct SimulatedSource {
    /// All changes of each era. A revision is a number of changes. An era begins with those of the copy from which
    /// the source was restored.
    written: Vec<Vec<Written>>,
    /// The source's positions, with the times at which it reached them.
    reached: Vec<(u64, SourcePosition)>,
    newest_version: u64,
}

/// Returns a position of the first era.
pub fn at(revision: u64) -> SourcePosition {
    SourcePosition::new(SourceEra::default(), revision)
}

/// Returns the name of a listed server, its start, and whether it drains.
pub fn listed_entry(server: &BackendServer) -> (String, (String, bool)) {
    let draining = server.phase == ServerPhase::Draining;
    (server.name.to_string(), (server.id.to_string(), draining))
}

impl SimulatedSource {
    pub fn new() -> Self {
        Self { written: vec![Vec::new()], reached: vec![(0, at(0))], newest_version: 0 }
    }

    pub fn position(&self) -> SourcePosition {
        self.reached.last().unwrap().1
    }

    /// Returns the position at a moment.
    pub fn position_when(&self, moment: u64) -> SourcePosition {
        let reached = self.reached.iter().rfind(|(when, _)| *when <= moment);
        reached.map_or(at(0), |(_, position)| *position)
    }

    /// Returns all changes up to a position, those of the copy included.
    pub fn written_up_to(&self, position: SourcePosition) -> &[Written] {
        &self.written[position.era.0 as usize][..position.revision as usize]
    }

    /// Returns whether a server's entry was written after a position, up to another one of the same era.
    pub fn is_written_between(
        &self,
        name: &str,
        after: SourcePosition,
        up_to: SourcePosition,
    ) -> bool {
        let written = self.written_up_to(up_to)[after.revision as usize..].iter();
        let mut servers = written.filter_map(|change| match change {
            Written::Server(server) => Some(server.name.to_string()),
            Written::Departed(_) | Written::Configuration(_) => None,
        });
        servers.any(|written| written == name)
    }

    /// Returns the newest configuration version up to a position.
    pub fn version_at(&self, position: SourcePosition) -> u64 {
        let versions = self.written_up_to(position).iter().map(|change| match change {
            Written::Configuration(version) => *version,
            Written::Server(_) | Written::Departed(_) => 0,
        });
        versions.max().unwrap_or_default()
    }

    /// Returns the servers listed at a position.
    pub fn servers_at(&self, position: SourcePosition) -> Vec<BackendServer> {
        let mut listed = BTreeMap::new();
        for change in self.written_up_to(position) {
            match change {
                Written::Server(server) => drop(listed.insert(server.name.to_string(), server)),
                Written::Departed(name) => drop(listed.remove(name)),
                Written::Configuration(_) => {}
            }
        }
        listed.into_values().cloned().collect()
    }

    pub fn listed_at(&self, position: SourcePosition) -> BTreeMap<String, (String, bool)> {
        self.servers_at(position).iter().map(listed_entry).collect()
    }

    pub fn write(&mut self, change: Written, now: u64) {
        let SourcePosition { era, revision } = self.position();
        self.written[era.0 as usize].push(change);
        self.reached.push((now, SourcePosition::new(era, revision + 1)));
    }

    pub fn write_configuration(&mut self, now: u64) {
        self.newest_version += 1;
        self.write(Written::Configuration(self.newest_version), now);
    }

    /// Restores the source from a copy that lacks the last `lost` changes.
    pub fn restore(&mut self, lost: u64, now: u64) {
        let SourcePosition { era, revision } = self.position();
        let copy = SourcePosition::new(era, revision.saturating_sub(lost));
        let kept = self.written_up_to(copy).to_vec();
        self.written.push(kept);
        let restored = SourcePosition::new(SourceEra(era.0 + 1), copy.revision);
        self.reached.push((now, restored));
    }
}
