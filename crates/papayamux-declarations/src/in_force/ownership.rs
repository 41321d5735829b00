//! Decides which file owns a name that several files declare. The rule depends on names alone, not
//! on the order in which revisions arrived.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;

use papayamux_state::ids::ServerId;

use super::block::{BlockReason, BlockedItem, Origin};
use crate::file::{GrantSection, Located, ParsedFile, ServerDeclaration, OWNERS_FILE};
use crate::file_set::FileSet;
use crate::values::{FileName, FileRevision, ItemKind};

/// The revision in force of a file, with its declarations.
pub(super) struct FileInForce<'a> {
    pub(super) name: &'a FileName,
    pub(super) revision: FileRevision,
    pub(super) parsed: &'a ParsedFile,
}

impl FileInForce<'_> {
    pub(super) fn origin(&self, line: usize) -> Origin {
        Origin { file: self.name.clone(), revision: self.revision, line }
    }
}

/// Returns the files in force, sorted by name.
pub(super) fn files_in_force(set: &FileSet) -> Vec<FileInForce<'_>> {
    let files = set.records().filter_map(|(name, record)| {
        let revision = record.valid()?.revision;
        Some(FileInForce { name, revision, parsed: record.parsed()? })
    });
    files.collect()
}

/// The grants of the owners' file.
pub(super) struct Ownership<'a> {
    pub(super) grants: BTreeMap<&'a FileName, &'a GrantSection>,
}

impl<'a> Ownership<'a> {
    pub(super) fn new(files: &[FileInForce<'a>]) -> Self {
        let owners = files.iter().find(|file| file.name.as_str() == OWNERS_FILE);
        let grants = owners.into_iter().flat_map(|file| &file.parsed.grants);
        Self { grants: grants.map(|(team, located)| (team, &located.value)).collect() }
    }

    /// Returns the team to which the most specific matching pattern grants `name`.
    fn owner(&self, kind: ItemKind, name: &str) -> Option<&'a FileName> {
        let patterns = self.grants.iter().flat_map(|(team, grant)| {
            grant.patterns(kind).iter().map(move |pattern| (pattern, *team))
        });
        let matching = patterns.filter(|(pattern, _)| pattern.matches(name));
        matching.max_by_key(|(pattern, _)| pattern.specificity()).map(|(_, team)| team)
    }
}

/// A declaration that owns its name.
pub(super) struct Owned<'a, V> {
    pub(super) file: &'a FileInForce<'a>,
    pub(super) located: &'a Located<V>,
}

impl<V> Owned<'_, V> {
    pub(super) fn origin(&self) -> Origin {
        self.file.origin(self.located.line)
    }

    pub(super) fn blocked(
        &self,
        kind: ItemKind,
        name: &impl fmt::Display,
        key: Option<&'static str>,
        reason: BlockReason,
    ) -> BlockedItem {
        BlockedItem { origin: self.origin(), kind, name: name.to_string(), key, reason }
    }
}

/// The declarations of one kind that own their names.
pub(super) type OwnedItems<'a, K, V> = BTreeMap<&'a K, Owned<'a, V>>;

/// Finds the owner of each name of one kind and blocks all other declarations. The owner is the team
/// to which the owners' file grants the name, or else the first file by name that declares it.
pub(super) fn resolve_names<'a, K: Ord + fmt::Display, V>(
    files: &'a [FileInForce<'a>],
    ownership: &Ownership<'_>,
    kind: ItemKind,
    select: impl Fn(&'a ParsedFile) -> &'a BTreeMap<K, Located<V>>,
    blocked: &mut Vec<BlockedItem>,
) -> OwnedItems<'a, K, V> {
    let mut items: OwnedItems<'a, K, V> = BTreeMap::new();
    for file in files {
        for (name, located) in select(file.parsed) {
            let item = Owned { file, located };
            let owner =
                ownership.owner(kind, &name.to_string()).filter(|owner| *owner != file.name);
            if let Some(owner) = owner {
                let reason = BlockReason::Granted { owner: owner.clone() };
                blocked.push(item.blocked(kind, name, None, reason));
            } else if let Some(first) = items.get(name) {
                let reason = BlockReason::NameTaken { owner: first.file.name.clone() };
                blocked.push(item.blocked(kind, name, None, reason));
            } else {
                items.insert(name, item);
            }
        }
    }
    items
}

/// Blocks each server whose agent already belongs to a server that precedes it in the order of file
/// and server names.
pub(super) fn resolve_agents<'a>(
    servers: &mut OwnedItems<'a, ServerId, ServerDeclaration>,
    blocked: &mut Vec<BlockedItem>,
) {
    let mut order: Vec<_> = servers.iter().map(|(name, item)| (item.file.name, *name)).collect();
    order.sort_unstable();
    let mut owners: HashMap<SocketAddr, &FileName> = HashMap::new();
    for (file, name) in order {
        let Some(item) = servers.get(name) else { continue };
        match owners.get(&item.located.value.agent) {
            None => {
                owners.insert(item.located.value.agent, file);
            }
            Some(owner) => {
                let reason = BlockReason::AgentTaken { owner: (*owner).clone() };
                blocked.push(item.blocked(ItemKind::Server, name, Some("agent"), reason));
                servers.remove(name);
            }
        }
    }
}
