//! The command line and exit codes of a daemon.

use std::process::ExitCode;

use getopts::Options;
use papayamux_settings::Findings;
use thiserror::Error;

/// The name and purpose of a daemon, for its help text.
#[derive(Debug, Clone, Copy)]
pub struct DaemonInfo {
    /// The name of the program.
    pub program: &'static str,
    /// A short description of what it does.
    pub purpose: &'static str,
}

/// The task that the command line requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DaemonTask {
    /// Print the text and exit.
    Print(String),
    /// Check the settings file and exit.
    Check(String),
    /// Run with the settings file.
    Run(String),
}

/// The error of parsing the command line.
#[derive(Debug, Error)]
pub enum CommandLineError {
    /// An option is unknown or lacks its value.
    #[error("{0}; try --help")]
    Option(#[from] getopts::Fail),
    /// The settings file is missing.
    #[error("--settings FILE is missing; try --help")]
    NoSettings,
}

const EXIT_CODES: &str = "\
Exit codes: 0 ended by SIGTERM or SIGINT with nothing cut off, or nothing found by --check; 1 the
daemon could not start, or its end cut requests off; 2 the command line or the settings are wrong.";

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "the INI file with the settings", "FILE");
    options.optflag("c", "check", "check the settings, report all findings, and leave");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Parses the arguments after the program name.
pub fn read_arguments(
    info: DaemonInfo,
    arguments: impl Iterator<Item = String>,
) -> Result<DaemonTask, CommandLineError> {
    let options = options();
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        let brief = format!(
            "{program}: {purpose}\n\nUsage: {program} --settings FILE [--check]\n\nExample: \
             {program} --settings {program}.ini --check\n\n{EXIT_CODES}",
            program = info.program,
            purpose = info.purpose,
        );
        return Ok(DaemonTask::Print(options.usage(&brief)));
    }
    if matches.opt_present("version") {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(DaemonTask::Print(format!("{} {version}\n", info.program)));
    }
    let file = matches.opt_str("settings").ok_or(CommandLineError::NoSettings)?;
    match matches.opt_present("check") {
        true => Ok(DaemonTask::Check(file)),
        false => Ok(DaemonTask::Run(file)),
    }
}

/// The exit code for an invalid command line or invalid settings.
pub const EXIT_USAGE: u8 = 2;

/// Implements `main` of a daemon: reads the command line and the settings, then runs the daemon or
/// reports that the settings are valid.
pub fn daemon_main<S>(
    info: DaemonInfo,
    read_settings: impl FnOnce(&str, &str) -> Result<S, Findings>,
    run: impl FnOnce(S) -> Result<(), Box<dyn std::error::Error>>,
) -> ExitCode {
    let task = match read_arguments(info, std::env::args().skip(1)) {
        Ok(task) => task,
        Err(error) => return refuse(&error),
    };
    let (file, only_check) = match task {
        DaemonTask::Print(text) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        DaemonTask::Check(file) => (file, true),
        DaemonTask::Run(file) => (file, false),
    };
    let text = match std::fs::read_to_string(&file) {
        Ok(text) => text,
        Err(error) => return refuse(&format!("{file}: {error}")),
    };
    let settings = match read_settings(&file, &text) {
        Ok(settings) => settings,
        Err(findings) => return refuse(&findings),
    };
    if only_check {
        println!("{file}: no findings");
        return ExitCode::SUCCESS;
    }
    let result = run(settings);
    if let Err(error) = &result {
        log::error!(error:% = error; "the daemon ends");
    }
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", info.program);
            ExitCode::FAILURE
        }
    }
}

fn refuse(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_USAGE)
}
