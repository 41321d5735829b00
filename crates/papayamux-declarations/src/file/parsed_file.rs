//! A file that is valid by itself.

use std::collections::BTreeMap;

use papayamux_state::ids::{AdapterId, ModelId, OrganisationId, ServerId};

use super::grants::GrantSection;
use super::items::{
    AdapterDeclaration, ModelDeclaration, OrganisationDeclaration, Placed, RouteDeclaration,
    ServerDeclaration,
};
use crate::values::{FileName, PathPrefix};

/// All that a file declares.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ParsedFile {
    /// Organisations.
    pub organisations: BTreeMap<OrganisationId, Placed<OrganisationDeclaration>>,
    /// Models.
    pub models: BTreeMap<ModelId, Placed<ModelDeclaration>>,
    /// Adapters.
    pub adapters: BTreeMap<AdapterId, Placed<AdapterDeclaration>>,
    /// Backend servers.
    pub servers: BTreeMap<ServerId, Placed<ServerDeclaration>>,
    /// Routes.
    pub routes: BTreeMap<PathPrefix, Placed<RouteDeclaration>>,
    /// Grants to teams; only in the owners' file.
    pub grants: BTreeMap<FileName, Placed<GrantSection>>,
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
