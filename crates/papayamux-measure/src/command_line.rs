//! The command line: `papayamux-measure TASK [options]`.

use std::error::Error;
use std::process::ExitCode;

use getopts::{Matches, Options};

use crate::demo::run_demo;
use crate::path::run_path;
use crate::promises::{run_promises, PromiseOptions};

const TASKS: &str = "  demo     run a small fleet and a conversation of several turns
  path     what router and agent add to a call: latency, requests, events, memory
  promises what callers are told and what really ran while links, agents and routers fail
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
    options.optopt("", "seed", "promises: draws workload and faults", "NUMBER");
    options.optopt("", "scenario", "promises: run only this one", "NAME");
    options.optopt("", "requests", "promises: requests of each scenario", "COUNT");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        let brief = format!("Usage: papayamux-measure TASK [options]\n\nTasks:\n{TASKS}");
        print!("{}", options.usage(&brief));
        return Ok(());
    }
    match matches.free.first().map(String::as_str) {
        Some("demo") => run_demo(),
        Some("path") => run_path(),
        Some("promises") => run_promises(&promise_options(&matches)?),
        Some(other) => Err(format!("unknown task {other:?}; try --help").into()),
        None => Err("name a task; try --help".into()),
    }
}

fn promise_options(matches: &Matches) -> Result<PromiseOptions, Box<dyn Error>> {
    Ok(PromiseOptions::builder()
        .maybe_seed(matches.opt_get("seed")?)
        .maybe_scenario(matches.opt_str("scenario"))
        .maybe_requests(matches.opt_get("requests")?)
        .build())
}
