//! A file that is valid by itself.

use std::collections::BTreeMap;

use papayamux_settings::{Finding, Findings, IniFile};
use papayamux_state::ids::{AdapterId, ModelId, OrganisationId, ServerId};

use super::grants::GrantSection;
use super::items::{
    AdapterDeclaration, ModelDeclaration, OrganisationDeclaration, Placed, RouteDeclaration,
    ServerDeclaration,
};
use super::reader::read_file;
use super::LARGEST_FILE;
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
    /// Parses the text of the file called `name`, or reports all that is wrong with it by itself.
    pub fn parse(name: &FileName, text: &str) -> Result<Self, Findings> {
        if text.len() > LARGEST_FILE {
            return Err(Findings(vec![Finding {
                file: name.to_string(),
                line: 1,
                place: "file".to_string(),
                message: format!("the file has {} bytes, the bound is {LARGEST_FILE}", text.len()),
                help: "split it among teams".to_string(),
            }]));
        }
        let file = IniFile::parse(name.as_str(), text)?;
        let parsed = read_file(&file, name);
        file.finish(|| parsed)
    }

    /// How many things the file declares.
    pub fn item_count(&self) -> usize {
        self.organisations.len()
            + self.models.len()
            + self.adapters.len()
            + self.servers.len()
            + self.routes.len()
    }
}
