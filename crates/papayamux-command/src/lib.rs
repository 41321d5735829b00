//! The operators' command: check declaration files, explain what decides, show processes' status,
//! trace a request through logs, explain why prompts were read again.
//!
//! The command reads files and the operators' ports of processes; it writes nothing.

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
