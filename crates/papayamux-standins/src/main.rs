//! Runs one stand-in.

use std::process::ExitCode;

fn main() -> ExitCode {
    papayamux_standins::command_line::standin_main()
}
