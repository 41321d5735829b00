//! The declaration format, and what is in force.
//!
//! Teams write one file each. A [`DeclarationFile`] is a file as the configuration service or a
//! peer handed it over; a [`FileSet`] joins all that a process has heard, in any order; and
//! [`ConfigurationInForce::compute`] derives from the set alone what holds, so that every process that has
//! heard the same computes the same.
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
