//! Declaration files: as handed over, and as parsed.

mod declaration_file;
mod grants;
mod items;
mod parse;
mod parsed_file;
mod reader;

pub use declaration_file::{DeclarationFile, FileContent, LARGEST_FILE};
pub use grants::{GrantSection, NamePattern, OWNERS_FILE};
pub use items::{
    AdapterDeclaration, EngineDeclaration, EngineRole, ModelDeclaration, OrganisationDeclaration,
    Placed, RouteDeclaration, ServerDeclaration, ServerKind,
};
pub use parsed_file::ParsedFile;
