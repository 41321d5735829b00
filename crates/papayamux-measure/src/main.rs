//! Runs a measurement or the demo.

use std::process::ExitCode;

fn main() -> ExitCode {
    papayamux_measure::command_line::measure_main()
}
