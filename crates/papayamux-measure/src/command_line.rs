//! The command line: `papayamux-measure TASK [options]`.

use std::error::Error;
use std::process::ExitCode;

use getopts::{Matches, Options};

use crate::demo::run_demo;
use crate::path::run_path;
use crate::routing::{measure_routing, tabulate, RoutingOptions};

const TASKS: &str = "  demo     run a small fleet and a conversation of several turns
  path     what router and agent add to a call: latency, requests, events, memory
  routing  compare the routing policies: cache reuse, load skew, control traffic
  table    read the lines of routing from the standard input and print tables
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
    options.optopt("", "seed", "routing: seed of the workload", "NUMBER");
    options.optmulti("", "policy", "routing: a policy (all)", "NAME");
    options.optmulti("", "scenario", "routing: a scenario (all)", "NAME");
    options.optopt("", "site", "routing: yanchang or kitakaze (yanchang)", "NAME");
    options.optopt("", "seconds", "routing: length of one run (16)", "SECONDS");
    options.optmulti("", "router-line", "routing: a further router setting", "KEY=VALUE");
    options.optmulti("", "agent-line", "routing: a further [server] setting", "KEY=VALUE");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        let brief = format!("Usage: papayamux-measure TASK [options]\n\nTasks:\n{TASKS}");
        print!("{}", options.usage(&brief));
        return Ok(());
    }
    match matches.free.first().map(String::as_str) {
        Some("demo") => run_demo(),
        Some("path") => run_path(),
        Some("routing") => measure_routing(&routing_options(&matches)?),
        Some("table") => print_table(),
        Some(other) => Err(format!("unknown task {other:?}; try --help").into()),
        None => Err("name a task; try --help".into()),
    }
}

fn print_table() -> Result<(), Box<dyn Error>> {
    print!("{}", tabulate(std::io::stdin().lock())?);
    Ok(())
}

fn routing_options(matches: &Matches) -> Result<RoutingOptions, Box<dyn Error>> {
    let seed = matches.opt_str("seed").ok_or("routing needs --seed")?.parse()?;
    let policies = matches.opt_strs("policy");
    let scenarios = matches.opt_strs("scenario");
    let scenarios = scenarios.iter().map(|name| name.parse()).collect::<Result<Vec<_>, _>>()?;
    let site = matches.opt_str("site").map(|name| name.parse()).transpose()?;
    let seconds = matches.opt_str("seconds").map(|text| text.parse()).transpose()?;
    Ok(RoutingOptions::builder()
        .seed(seed)
        .maybe_policies((!policies.is_empty()).then_some(policies))
        .maybe_scenarios((!scenarios.is_empty()).then_some(scenarios))
        .maybe_site(site)
        .maybe_seconds(seconds)
        .router_lines(matches.opt_strs("router-line").join("\n"))
        .agent_lines(matches.opt_strs("agent-line").join("\n"))
        .build())
}
