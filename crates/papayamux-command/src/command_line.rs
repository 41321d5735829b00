//! Parsing of the command line: `papayamux TASK [options] …`.

use std::net::SocketAddr;

use getopts::{Matches, Options};
use http::Method;
use papayamux_declarations::{ExplainQuery, ItemKind};
use thiserror::Error;

use crate::check::check_files;
use crate::explain::explain_files;
use crate::input_files::{read_files, read_logs, InputFileError};
use crate::output::{CommandOutput, ExitMeaning};
use crate::rereads::explain_rereads;
use crate::status::show_status;
use crate::trace::trace_request;

const HELP: &str = "\
papayamux: checks declarations before they are submitted, says which file decides what, and shows
what processes say about themselves. It writes nothing.

Usage:
  papayamux check FILES...                     the fleet's verdict on the files
  papayamux explain FILES... QUESTIONS...      which file and revision decide a thing, and why
  papayamux status ADDRESSES...                the state behind processes' operators' ports
  papayamux trace REQUEST LOGS...              what became of a request, by the logs of routers
  papayamux rereads LOGS...                    why shared parts of prompts were read again

A file is named after its team: caverns.ini is the file of the team caverns. FILE@REVISION gives
its revision; without, files of one name count up from 1 in their order.

Examples:
  papayamux check declarations/*.ini
  papayamux explain declarations/*.ini --item 'model itinerary' --path /tickets/7 --method POST
  papayamux explain old/kiosk.ini@41 kiosk.ini@42 --organisation visitors
  papayamux status 10.1.0.7:9100 10.1.0.8:9100 --json
  papayamux trace 9c41d07be2a35f68 router-1.log router-2.log

Exit codes: 0 clean; 1 findings, something asked about is not in force or not found, or a process
did not answer; 2 the command line or a file can't be read.
";

#[derive(Debug, Error)]
enum CommandLineError {
    #[error("{0}; try --help")]
    Option(#[from] getopts::Fail),
    #[error("name a task: check, explain, status, trace or rereads; try --help")]
    NoTask,
    #[error("unknown task {0:?}: use check, explain, status, trace or rereads; try --help")]
    UnknownTask(String),
    #[error("ask something: --item, --path or a kind of thing; try --help")]
    NoQuery,
    #[error("the option --{0} is for explain only")]
    ExplainOnlyOption(&'static str),
    #[error("--method goes with --path")]
    MethodWithoutPath,
    #[error("{0}")]
    ExplainQuery(#[from] papayamux_declarations::ExplainQueryError),
    #[error("{0:?} is not a method")]
    Method(String),
    #[error("name the processes' addresses; try --help")]
    NoAddress,
    #[error("{0:?} is not an address such as 10.1.0.7:9100")]
    Address(String),
    #[error("name the request; try --help")]
    NoRequest,
    #[error("--capacity takes a number of tokens, not {0:?}")]
    Capacity(String),
    #[error(transparent)]
    File(#[from] InputFileError),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti("i", "item", "explain: a kind and a name, as in a section", "'KIND NAME'");
    for kind in ItemKind::ALL {
        let help = format!("explain: the {kind} called NAME");
        options.optmulti("", kind.label(), &help, "NAME");
    }
    options.optmulti("p", "path", "explain: the route of a call to PATH", "PATH");
    options.optopt("m", "method", "explain: the call's method (GET where not given)", "METHOD");
    let help = "rereads: tokens of shared parts that an engine keeps (all where not given)";
    options.optopt("", "capacity", help, "TOKENS");
    options.optflag("j", "json", "print JSON for programs");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Runs the command with the arguments after the program name.
pub fn run_command(arguments: impl Iterator<Item = String>) -> CommandOutput {
    run_task(arguments).unwrap_or_else(|error| CommandOutput::usage(&error))
}

fn run_task(arguments: impl Iterator<Item = String>) -> Result<CommandOutput, CommandLineError> {
    let options = options();
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        return Ok(CommandOutput::new(ExitMeaning::Clean, options.usage(HELP)));
    }
    if matches.opt_present("version") {
        let text = format!("papayamux {}\n", env!("CARGO_PKG_VERSION"));
        return Ok(CommandOutput::new(ExitMeaning::Clean, text));
    }
    let (task, named) = matches.free.split_first().ok_or(CommandLineError::NoTask)?;
    let json = matches.opt_present("json");
    match task.as_str() {
        "check" => {
            refuse_explain_options(&matches)?;
            Ok(check_files(&read_files(named)?, json))
        }
        "explain" => {
            let queries = read_explain_queries(&matches)?;
            Ok(explain_files(&read_files(named)?, queries, json))
        }
        "status" => {
            refuse_explain_options(&matches)?;
            Ok(show_status(&read_addresses(named)?, json))
        }
        "trace" => {
            refuse_explain_options(&matches)?;
            let (request, logs) = named.split_first().ok_or(CommandLineError::NoRequest)?;
            Ok(trace_request(request, &read_logs(logs)?))
        }
        "rereads" => {
            refuse_explain_options(&matches)?;
            let capacity = read_capacity(&matches)?;
            Ok(explain_rereads(&read_logs(named)?, capacity))
        }
        other => Err(CommandLineError::UnknownTask(other.to_string())),
    }
}

fn refuse_explain_options(matches: &Matches) -> Result<(), CommandLineError> {
    let names = ["item", "path", "method"].into_iter();
    let mut given =
        names.chain(ItemKind::ALL.map(ItemKind::label)).filter(|name| matches.opt_present(name));
    match given.next() {
        Some(name) => Err(CommandLineError::ExplainOnlyOption(name)),
        None => Ok(()),
    }
}

fn read_explain_queries(matches: &Matches) -> Result<Vec<ExplainQuery>, CommandLineError> {
    let mut queries = Vec::new();
    for item in matches.opt_strs("item") {
        queries.push(item.parse()?);
    }
    for kind in ItemKind::ALL {
        let names = matches.opt_strs(kind.label()).into_iter();
        queries.extend(names.map(|name| ExplainQuery::Item { kind, name }));
    }
    let paths = matches.opt_strs("path");
    if matches.opt_present("method") && paths.is_empty() {
        return Err(CommandLineError::MethodWithoutPath);
    }
    let method = read_method(&matches.opt_str("method").unwrap_or_else(|| "GET".to_string()))?;
    queries
        .extend(paths.into_iter().map(|path| ExplainQuery::Call { path, method: method.clone() }));
    match queries.is_empty() {
        true => Err(CommandLineError::NoQuery),
        false => Ok(queries),
    }
}

fn read_capacity(matches: &Matches) -> Result<Option<u64>, CommandLineError> {
    let Some(text) = matches.opt_str("capacity") else { return Ok(None) };
    text.parse().map(Some).map_err(|_| CommandLineError::Capacity(text))
}

fn read_method(text: &str) -> Result<Method, CommandLineError> {
    Method::from_bytes(text.as_bytes()).map_err(|_| CommandLineError::Method(text.to_string()))
}

fn read_addresses(texts: &[String]) -> Result<Vec<SocketAddr>, CommandLineError> {
    if texts.is_empty() {
        return Err(CommandLineError::NoAddress);
    }
    let parse = |text: &String| text.parse().map_err(|_| CommandLineError::Address(text.clone()));
    texts.iter().map(parse).collect()
}
