//! Declaration files, raw and parsed.

mod declaration_file;
mod grants;
mod items;
mod parse;
mod parsed_file;
mod reader;

pub use declaration_file::{DeclarationFile, FileContent, MAX_FILE_BYTES};
pub use grants::{GrantSection, NamePattern, OWNERS_FILE};
pub use items::{
    AdapterDeclaration, EngineDeclaration, EngineRole, Located, ModelDeclaration,
    OrganisationDeclaration, RouteDeclaration, ServerDeclaration, ServerKind,
};
pub use parsed_file::ParsedFile;
