//! The command line of the stand-ins: `papayamux-standins KIND [options]`.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};
use papayamux_daemon::logging::start_logging;
use papayamux_transport::listen::listen;
use papayamux_transport::runtime;
use papayamux_transport::shutdown::ShutdownSignal;

use crate::engine::{serve_engine, EngineOptions};
use crate::fault_proxy::{serve_control, LinkProxy};
use crate::service::{serve_service, ServiceOptions};

const KINDS: &str = "engine, service, fault-proxy";

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "listen", "where to listen (port 0 picks one)", "ADDRESS");
    options.optopt("", "name", "the stand-in's name", "NAME");
    options.optopt("", "models", "engine: models it has loaded", "A,B");
    options.optopt("", "step-us", "engine: time of one step", "MICROSECONDS");
    options.optopt("", "batch", "engine: places in the batch", "COUNT");
    options.optopt("", "prefill", "engine: prompt tokens computed in one step", "COUNT");
    options.optopt("", "cache-blocks", "engine: blocks in the prefix cache", "COUNT");
    options.optopt("", "call-ms", "service: time of one call", "MILLISECONDS");
    options.optopt("", "target", "fault-proxy: where its connections lead", "ADDRESS");
    options.optopt("", "operations", "fault-proxy: where its faults are set", "ADDRESS");
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the stand-in that the command line names.
pub fn standin_main() -> ExitCode {
    match run_standin() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("papayamux-standins: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_standin() -> Result<(), Box<dyn Error>> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        let brief = format!("Usage: papayamux-standins KIND [options]\nKinds: {KINDS}");
        print!("{}", options.usage(&brief));
        return Ok(());
    }
    start_logging("papayamux-standins", log::LevelFilter::Info);
    let kind = matches.free.first().ok_or_else(|| format!("name a kind: {KINDS}"))?;
    let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = value_or(&matches, "listen", fallback)?;
    let kind = kind.clone();
    if kind == "fault-proxy" {
        return run_fault_proxy(&matches, address);
    }
    runtime::run(async move {
        let listener = listen(address)?;
        log::info!(listen:% = listener.local_addr()?, kind = kind; "stand-in started");
        let never = ShutdownSignal::new();
        match kind.as_str() {
            "engine" => serve_engine(listener, engine_options(&matches)?, never).await?,
            "service" => serve_service(listener, service_options(&matches)?, never).await?,
            other => return Err(format!("unknown kind {other:?}, known: {KINDS}").into()),
        }
        Ok(())
    })?
}

fn run_fault_proxy(matches: &Matches, address: SocketAddr) -> Result<(), Box<dyn Error>> {
    let target = matches.opt_str("target").ok_or("name the --target")?.parse()?;
    let operations = value_or(matches, "operations", SocketAddr::from(([127, 0, 0, 1], 0)))?;
    runtime::run(async move {
        let (listener, operators) = (listen(address)?, listen(operations)?);
        log::info!(
            listen:% = listener.local_addr()?, operations:% = operators.local_addr()?,
            kind = "fault-proxy";
            "stand-in started"
        );
        let proxy = LinkProxy::new(target);
        monoio::spawn(serve_control(operators, proxy.clone(), ShutdownSignal::new()));
        Ok(proxy.serve(listener, ShutdownSignal::new()).await?)
    })?
}

fn engine_options(matches: &Matches) -> Result<EngineOptions, Box<dyn Error>> {
    let name = value_or(matches, "name", "engine".parse()?)?;
    let models = matches.opt_str("models").unwrap_or_else(|| "model".to_string());
    let models = models.split(',').map(str::parse).collect::<Result<_, _>>()?;
    let mut engine = EngineOptions::new(name, models);
    let step = value_or(matches, "step-us", engine.step.as_micros() as u64)?;
    engine.step = Duration::from_micros(step);
    engine.batch_limit = value_or(matches, "batch", engine.batch_limit)?;
    engine.prefill_per_step = value_or(matches, "prefill", engine.prefill_per_step)?;
    engine.cache_blocks = value_or(matches, "cache-blocks", engine.cache_blocks)?;
    Ok(engine)
}

fn service_options(matches: &Matches) -> Result<ServiceOptions, Box<dyn Error>> {
    let name = matches.opt_str("name").unwrap_or_else(|| "service".to_string());
    let call_time = Duration::from_millis(value_or(matches, "call-ms", 2)?);
    Ok(ServiceOptions { name, call_time })
}

fn value_or<T>(matches: &Matches, option: &str, fallback: T) -> Result<T, Box<dyn Error>>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    match matches.opt_str(option) {
        None => Ok(fallback),
        Some(text) => text.parse().map_err(|error| format!("--{option} {text:?}: {error}").into()),
    }
}
