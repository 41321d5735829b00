//! The command line of the stand-ins: `papayamux-standins KIND [options]`.

use std::net::SocketAddr;
use std::process::ExitCode;

use getopts::{Matches, Options};
use papayamux_daemon::logging::start_logging;
use papayamux_transport::listen::listen;
use papayamux_transport::runtime;

use crate::kinds::{find_kind, kind_names, StandinError, StandinKind};

const PROGRAM: &str = "papayamux-standins";
const EXIT_CODES: &str = "Exit codes: 1 the stand-in could not start or serve on, or the command \
                          line is wrong; a running one ends by a signal.";
const DEFAULT_ADDRESS: &str = "127.0.0.1:0";

/// Runs the stand-in named on the command line.
pub fn standin_main() -> ExitCode {
    match run_standin() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_standin() -> Result<(), StandinError> {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    if ["", "-h", "--help"].contains(&name.as_str()) {
        println!("Usage: {PROGRAM} KIND [options], {PROGRAM} KIND --help");
        println!("Kinds: {}\n", kind_names());
        println!("Example: {PROGRAM} engine --listen 127.0.0.1:8000\n\n{EXIT_CODES}");
        return Ok(());
    }
    let kind = find_kind(&name)
        .ok_or_else(|| format!("unknown kind {name:?}, known: {}", kind_names()))?;
    run_kind(kind, arguments)
}

fn run_kind(
    kind: &'static StandinKind,
    arguments: impl Iterator<Item = String>,
) -> Result<(), StandinError> {
    let options = options_of(kind);
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        print!(
            "{}",
            options.usage(&format!("Usage: {PROGRAM} {} [options]\n\n{EXIT_CODES}", kind.name))
        );
        return Ok(());
    }
    if let Some(argument) = matches.free.first() {
        return Err(format!("unexpected argument {argument:?}").into());
    }
    start_logging(PROGRAM, log::LevelFilter::Info);
    let address = matches.opt_str("listen").unwrap_or_else(|| DEFAULT_ADDRESS.to_string());
    let address: SocketAddr =
        address.parse().map_err(|error| format!("--listen {address:?}: {error}"))?;
    runtime::run(async move {
        let listener = listen(address)?;
        if !has_control_port(&matches) {
            log::info!(listen:% = listener.local_addr()?, kind = kind.name; "stand-in started");
        }
        (kind.serve)(listener, matches).await
    })?
}

fn options_of(kind: &StandinKind) -> Options {
    let mut options = Options::new();
    options.optopt("", "listen", "where to listen (port 0 picks one)", "ADDRESS");
    options.optflag("h", "help", "print this help");
    (kind.declare)(&mut options);
    options
}

/// Returns `true` for kinds with a control port, which log their own start with both addresses.
fn has_control_port(matches: &Matches) -> bool {
    matches.opt_defined("operations")
}
