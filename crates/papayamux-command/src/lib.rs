//! The operators' command `papayamux`. It checks declaration files, explains which declaration
//! decides, shows the status of processes, traces a request through logs, and explains repeated
//! prefills of prompts.
//!
//! The command is read-only: it reads files and queries the operators' ports of processes.

mod check;
mod command_line;
mod explain;
mod input_files;
mod log_line;
mod output;
mod rereads;
mod status;
mod trace;
mod wire;

pub use command_line::run_command;
pub use output::{CommandOutput, ExitMeaning};
