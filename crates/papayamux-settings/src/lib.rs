//! INI settings files, with findings that give file, line and key.

mod duration_setting;
mod factor_setting;
mod finding;
mod ini_file;
mod megabyte_setting;
mod section;

pub use duration_setting::{DurationSetting, DurationSettingError};
pub use factor_setting::{FactorSetting, FactorSettingError};
pub use finding::{Finding, Findings};
pub use ini_file::IniFile;
pub use megabyte_setting::{MegabyteSetting, MegabyteSettingError};
pub use section::SectionReader;
