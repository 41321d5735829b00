//! A parsed file without findings of its own.

use std::collections::BTreeMap;

use papayamux_state::ids::{AdapterId, ModelId, OrganisationId, ServerId};

use super::grants::GrantSection;
use super::items::{
    AdapterDeclaration, Located, ModelDeclaration, OrganisationDeclaration, RouteDeclaration,
    ServerDeclaration,
};
use crate::values::{FileName, PathPrefix};

/// All declarations of a file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ParsedFile {
    /// Declared organisations.
    pub organisations: BTreeMap<OrganisationId, Located<OrganisationDeclaration>>,
    /// Declared models.
    pub models: BTreeMap<ModelId, Located<ModelDeclaration>>,
    /// Declared adapters.
    pub adapters: BTreeMap<AdapterId, Located<AdapterDeclaration>>,
    /// Declared backend servers.
    pub servers: BTreeMap<ServerId, Located<ServerDeclaration>>,
    /// Declared routes.
    pub routes: BTreeMap<PathPrefix, Located<RouteDeclaration>>,
    /// Grants by team; empty except in the owners' file.
    pub grants: BTreeMap<FileName, Located<GrantSection>>,
}

impl ParsedFile {
    /// Returns the number of declared items, without grants.
    pub fn item_count(&self) -> usize {
        self.organisations.len()
            + self.models.len()
            + self.adapters.len()
            + self.servers.len()
            + self.routes.len()
    }
}
