//! The conflict rules under comparison. Each rule decides which revision of each file is in force.

use std::collections::{BTreeMap, BTreeSet};

use papayamux_declarations::{
    ConfigurationInForce, DeclarationFile, FileName, FileRevision, FileSet, RevisionOutcome,
};

/// A rule for conflicts between files.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConflictRule {
    /// Refuses the whole revision if it conflicts with the configuration in force at the process.
    WholeByArrival,
    /// Of conflicting files, excludes the whole file with the last name.
    WholeByName,
    /// Like `WholeByName`, but uses the newest older revision of that file without a conflict.
    WholeWithFallback,
    /// Blocks only the conflicting part of a file. This is the rule of the declarations library.
    BlockedPart,
}

impl ConflictRule {
    /// All rules.
    pub const ALL: [Self; 4] =
        [Self::WholeByArrival, Self::WholeByName, Self::WholeWithFallback, Self::BlockedPart];

    /// Returns the rule's name in the results.
    pub const fn label(self) -> &'static str {
        match self {
            Self::WholeByArrival => "whole_by_arrival",
            Self::WholeByName => "whole_by_name",
            Self::WholeWithFallback => "whole_with_fallback",
            Self::BlockedPart => "blocked_part",
        }
    }
}

/// One valid revision, kept as a separate file set so that it is parsed only once.
#[derive(Debug, Clone)]
struct ValidRevision {
    name: FileName,
    revision: FileRevision,
    set: FileSet,
}

/// The valid revisions of each file, newest first.
type Revisions = BTreeMap<FileName, Vec<ValidRevision>>;

/// A process that applies one rule.
#[derive(Debug)]
pub struct RuleProcess {
    rule: ConflictRule,
    received: FileSet,
    valid: Revisions,
    accepted: BTreeMap<FileName, ValidRevision>,
}

impl RuleProcess {
    /// Creates a process that has received no revision.
    pub fn new(rule: ConflictRule) -> Self {
        let received = FileSet::default();
        Self { rule, received, valid: Revisions::new(), accepted: BTreeMap::new() }
    }

    /// Returns all revisions that the process has received.
    pub fn received(&self) -> &FileSet {
        &self.received
    }

    /// Receives one revision and returns the configuration in force after it.
    pub fn receive(&mut self, file: &DeclarationFile) -> ConfigurationInForce {
        self.received.offer(file.clone());
        let mut set = FileSet::default();
        if set.offer(file.clone()) == RevisionOutcome::Accepted {
            let revisions = self.valid.entry(file.name.clone()).or_default();
            revisions.push(ValidRevision { name: file.name.clone(), revision: file.revision, set });
            revisions.sort_by_key(|file| std::cmp::Reverse(file.revision));
            revisions.dedup_by_key(|file| file.revision);
        }
        match self.rule {
            ConflictRule::WholeByArrival => self.accept_arrivals(),
            ConflictRule::WholeByName => resolve_conflicts(&self.valid, 1),
            ConflictRule::WholeWithFallback => resolve_conflicts(&self.valid, usize::MAX),
            ConflictRule::BlockedPart => ConfigurationInForce::compute(&self.received),
        }
    }

    /// Accepts newest revisions for as long as one of them adds no conflict to the configuration in
    /// force.
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
                (count_conflicts(&candidate) <= count_conflicts(&in_force))
                    .then_some((accepted, candidate))
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

fn count_conflicts(in_force: &ConfigurationInForce) -> usize {
    in_force.blocked.iter().filter(|blocked| blocked.reason.is_conflict()).count()
}

/// Resolves conflicts: while any remain, steps the conflicting file with the last name back to
/// the next older one of its `depth` newest revisions, or excludes it after the last of them.
fn resolve_conflicts(valid: &Revisions, depth: usize) -> ConfigurationInForce {
    let mut back: BTreeMap<&FileName, usize> = valid.keys().map(|name| (name, 0)).collect();
    loop {
        let chosen = back
            .iter()
            .filter_map(|(name, steps)| valid[*name].get(*steps).filter(|_| *steps < depth));
        let in_force = combine(chosen);
        let conflicting = in_force.blocked.iter().filter(|blocked| blocked.reason.is_conflict());
        let files: BTreeSet<_> = conflicting.map(|blocked| &blocked.origin.file).collect();
        match files.last().and_then(|name| back.get_mut(*name)) {
            None => return in_force,
            Some(steps) => *steps += 1,
        }
    }
}
