//! The rules that are compared. Each tells which revision of each file is in force.

use std::collections::{BTreeMap, BTreeSet};

use papayamux_declarations::{
    ConfigurationInForce, DeclarationFile, FileName, FileRevision, FileSet, RevisionOutcome,
};

/// A rule for clashes between files.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConflictRule {
    /// A revision that clashes with what the process has in force is refused whole.
    WholeByArrival,
    /// Of files that clash, the last by name is out whole.
    WholeByName,
    /// The same, but the file's newest older revision that does not clash stands in.
    WholeWithFallback,
    /// The part of a file that clashes has no effect: what the library computes.
    BlockedPart,
}

impl ConflictRule {
    /// Every rule.
    pub const ALL: [Self; 4] =
        [Self::WholeByArrival, Self::WholeByName, Self::WholeWithFallback, Self::BlockedPart];

    /// The word in the results.
    pub const fn label(self) -> &'static str {
        match self {
            Self::WholeByArrival => "whole_by_arrival",
            Self::WholeByName => "whole_by_name",
            Self::WholeWithFallback => "whole_with_fallback",
            Self::BlockedPart => "blocked_part",
        }
    }
}

/// One valid revision, as a set of its own so that it is parsed once.
#[derive(Debug, Clone)]
struct ValidRevision {
    name: FileName,
    revision: FileRevision,
    set: FileSet,
}

/// The valid revisions of each file, the newest first.
type Revisions = BTreeMap<FileName, Vec<ValidRevision>>;

/// One process under one rule.
#[derive(Debug)]
pub struct RuleProcess {
    rule: ConflictRule,
    heard: FileSet,
    valid: Revisions,
    accepted: BTreeMap<FileName, ValidRevision>,
}

impl RuleProcess {
    /// A process that has heard nothing.
    pub fn new(rule: ConflictRule) -> Self {
        let heard = FileSet::default();
        Self { rule, heard, valid: Revisions::new(), accepted: BTreeMap::new() }
    }

    /// All that the process has heard.
    pub fn heard(&self) -> &FileSet {
        &self.heard
    }

    /// Hears one revision; gives what is in force after it.
    pub fn hear(&mut self, file: &DeclarationFile) -> ConfigurationInForce {
        self.heard.offer(file.clone());
        let mut set = FileSet::default();
        if set.offer(file.clone()) == RevisionOutcome::Accepted {
            let revisions = self.valid.entry(file.name.clone()).or_default();
            revisions.push(ValidRevision { name: file.name.clone(), revision: file.revision, set });
            revisions.sort_by_key(|file| std::cmp::Reverse(file.revision));
            revisions.dedup_by_key(|file| file.revision);
        }
        match self.rule {
            ConflictRule::WholeByArrival => self.accept_arrivals(),
            ConflictRule::WholeByName => without_clashes(&self.valid, 1),
            ConflictRule::WholeWithFallback => without_clashes(&self.valid, usize::MAX),
            ConflictRule::BlockedPart => ConfigurationInForce::compute(&self.heard),
        }
    }

    /// Accepts newest revisions as long as one adds no clash to what is in force.
    fn accept_arrivals(&mut self) -> ConfigurationInForce {
        let mut in_force = combine(self.accepted.values());
        loop {
            let pending = self.valid.values().filter_map(|revisions| revisions.first());
            let accepted = |file: &ValidRevision| {
                self.accepted.get(&file.name).is_some_and(|known| known.revision >= file.revision)
            };
            let pending = pending.filter(|file| !accepted(file));
            let next = pending.cloned().find_map(|file| {
                let mut accepted = self.accepted.clone();
                accepted.insert(file.name.clone(), file);
                let candidate = combine(accepted.values());
                (clashes(&candidate) <= clashes(&in_force)).then_some((accepted, candidate))
            });
            let Some((accepted, candidate)) = next else { return in_force };
            (self.accepted, in_force) = (accepted, candidate);
        }
    }
}

fn combine<'a>(revisions: impl IntoIterator<Item = &'a ValidRevision>) -> ConfigurationInForce {
    let mut set = FileSet::default();
    for revision in revisions {
        set.merge(&revision.set);
    }
    ConfigurationInForce::compute(&set)
}

fn clashes(in_force: &ConfigurationInForce) -> usize {
    in_force.blocked.iter().filter(|blocked| blocked.reason.is_conflict()).count()
}

/// Steps the last file by name that clashes back to an older of its `depth` newest revisions, or
/// out, until nothing clashes.
fn without_clashes(valid: &Revisions, depth: usize) -> ConfigurationInForce {
    let mut back: BTreeMap<&FileName, usize> = valid.keys().map(|name| (name, 0)).collect();
    loop {
        let chosen = back
            .iter()
            .filter_map(|(name, steps)| valid[*name].get(*steps).filter(|_| *steps < depth));
        let in_force = combine(chosen);
        let clashing = in_force.blocked.iter().filter(|blocked| blocked.reason.is_conflict());
        let files: BTreeSet<_> = clashing.map(|blocked| &blocked.origin.file).collect();
        match files.last().and_then(|name| back.get_mut(*name)) {
            None => return in_force,
            Some(steps) => *steps += 1,
        }
    }
}
