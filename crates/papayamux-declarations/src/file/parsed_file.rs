//! A file that is valid by itself.

use std::collections::BTreeMap;

use papayamux_state::ids::{AdapterId, ModelId, OrganisationId, ServerId};

use super::grants::GrantSection;
use super::items::{
    AdapterDeclaration, Located, ModelDeclaration, OrganisationDeclaration, RouteDeclaration,
    ServerDeclaration,
};
use crate::values::{FileName, PathPrefix};

/// All that a file declares.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ParsedFile {
    /// Organisations.
    pub organisations: BTreeMap<OrganisationId, Located<OrganisationDeclaration>>,
    /// Models.
    pub models: BTreeMap<ModelId, Located<ModelDeclaration>>,
    /// Adapters.
    pub adapters: BTreeMap<AdapterId, Located<AdapterDeclaration>>,
    /// Backend servers.
    pub servers: BTreeMap<ServerId, Located<ServerDeclaration>>,
    /// Routes.
    pub routes: BTreeMap<PathPrefix, Located<RouteDeclaration>>,
    /// Grants to teams; only in the owners' file.
    pub grants: BTreeMap<FileName, Located<GrantSection>>,
}

impl ParsedFile {
    /// How many things the file declares.
    pub fn item_count(&self) -> usize {
        self.organisations.len()
            + self.models.len()
            + self.adapters.len()
            + self.servers.len()
            + self.routes.len()
    }
}
