//! Stand-in for the configuration service: versioned files that can be read and watched, and
//! faults that tests inject.

mod file_history;
mod options;
mod server;
mod service_state;

pub use file_history::{FileHistory, HistoryError};
pub use options::{ConfigFaults, ConfigServiceOptions, ServedView};
pub use server::{
    serve_config_service, standin_file_path, COUNTERS_PATH, FAULTS_PATH, STANDIN_FILES_PATH,
};
