//! Entry point of the `papayamux-standins` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    papayamux_standins::command_line::standin_main()
}
