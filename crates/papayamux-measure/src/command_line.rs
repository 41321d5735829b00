//! The command line: `papayamux-measure TASK [options]`.

use std::error::Error;
use std::process::ExitCode;

use getopts::Options;

use crate::conflicts::measure_conflicts;
use crate::demo::run_demo;
use crate::path::run_path;

const TASKS: &str = "  demo     run a small fleet and a conversation of several turns
  path     what router and agent add to a call: latency, requests, events, memory
  conflicts  compare rules for clashes between declaration files
";

/// Runs the task that the command line names.
pub fn measure_main() -> ExitCode {
    match run_task() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("papayamux-measure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_task() -> Result<(), Box<dyn Error>> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("", "seed", "conflicts: seed of the histories", "NUMBER");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        let brief = format!("Usage: papayamux-measure TASK [options]\n\nTasks:\n{TASKS}");
        print!("{}", options.usage(&brief));
        return Ok(());
    }
    match matches.free.first().map(String::as_str) {
        Some("demo") => run_demo(),
        Some("path") => run_path(),
        Some("conflicts") => {
            let seed = matches.opt_str("seed").ok_or("conflicts needs --seed")?;
            measure_conflicts(seed.parse()?)
        }
        Some(other) => Err(format!("unknown task {other:?}; try --help").into()),
        None => Err("name a task; try --help".into()),
    }
}
