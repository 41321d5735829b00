//! The declaration file format and the configuration computed from the files.
//!
//! Each team writes one file. A [`DeclarationFile`] is one revision of a file as received from the
//! configuration service or a peer. A [`FileSet`] merges all received revisions, in any order.
//! [`ConfigurationInForce::compute`] derives the configuration from the set alone, so that all
//! processes that have received the same revisions compute the same configuration.
//!
//! ```
//! use papayamux_declarations::{DeclarationFile, FileSet, ConfigurationInForce};
//! let text = "[team]\nname = caverns\n\n[model itinerary]\nversion = 3\nweights = itinerary-3\n";
//! let mut set = FileSet::default();
//! set.offer(DeclarationFile::new("caverns".parse().unwrap(), 7.into(), text));
//! let in_force = ConfigurationInForce::compute(&set);
//! let model = &in_force.models[&"itinerary".parse().unwrap()];
//! assert_eq!(model.origin.to_string(), "caverns@7:4");
//! ```

mod explain;
mod file;
mod file_set;
mod in_force;
mod values;

pub use explain::{ExplainQuery, ExplainQueryError, Explanation};
pub use file::{
    AdapterDeclaration, DeclarationFile, EngineDeclaration, EngineRole, FileContent, GrantSection,
    Located, ModelDeclaration, NamePattern, OrganisationDeclaration, ParsedFile, RouteDeclaration,
    ServerDeclaration, ServerKind, MAX_FILE_BYTES, OWNERS_FILE,
};
pub use file_set::{FileHead, FileRecord, FileSet, RefusedRevision, RevisionOutcome, MAX_FILES};
pub use in_force::{
    BlockReason, BlockedItem, ConfigurationDigest, ConfigurationInForce, Declared, EngineTarget,
    FileRefusal, Generation, Organisation, Origin, Route, Server, ServerTask,
};
pub use values::{
    FileName, FileRevision, ItemKind, LoadBound, MethodName, PathPrefix, PriorityClass,
    RequestRate, ShareFraction, ValueError, VersionName, WeightsName,
};
