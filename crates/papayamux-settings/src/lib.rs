//! INI settings files, with findings that give file, line and key.

mod finding;
mod ini_file;
mod section;

pub use finding::{Finding, Findings};
pub use ini_file::IniFile;
pub use section::{DurationSetting, SectionReader};
