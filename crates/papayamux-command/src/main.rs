//! Entry point of the operators' command `papayamux`.

use std::process::ExitCode;

use papayamux_command::run_command;

fn main() -> ExitCode {
    let output = run_command(std::env::args().skip(1));
    print!("{}", output.text);
    eprint!("{}", output.errors);
    ExitCode::from(output.exit.code())
}
