//! The command line: `papayamux-measure TASK [options]`.

use std::process::ExitCode;

use getopts::Options;

use crate::tasks::{find_task, MeasureTask, TaskError, TASKS};

const PROGRAM: &str = "papayamux-measure";
const EXIT_CODES: &str = "Exit codes: 0 the task was run to its end; 1 it was not, or the command \
                          line is wrong.";

/// Runs the task named on the command line.
pub fn measure_main() -> ExitCode {
    match run_named(std::env::args().skip(1)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_named(mut arguments: impl Iterator<Item = String>) -> Result<(), TaskError> {
    let name = arguments.next().unwrap_or_default();
    if ["", "-h", "--help"].contains(&name.as_str()) {
        println!("Usage: {PROGRAM} TASK [options], {PROGRAM} TASK --help\n\nTasks:");
        for task in TASKS {
            println!("  {:9} {}", task.name, task.purpose);
        }
        println!("\nExample: {PROGRAM} routing --seed 1\n\n{EXIT_CODES}");
        return Ok(());
    }
    let task = find_task(&name).ok_or_else(|| format!("unknown task {name:?}; try --help"))?;
    run_task(task, arguments)
}

fn run_task(task: &MeasureTask, arguments: impl Iterator<Item = String>) -> Result<(), TaskError> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    (task.declare)(&mut options);
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        let brief =
            format!("Usage: {PROGRAM} {} [options]\n\n{}\n\n{EXIT_CODES}", task.name, task.purpose);
        print!("{}", options.usage(&brief));
        return Ok(());
    }
    if let Some(argument) = matches.free.first() {
        return Err(format!("unexpected argument {argument:?}").into());
    }
    (task.run)(&matches)
}
