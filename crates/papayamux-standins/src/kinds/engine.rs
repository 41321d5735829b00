//! The `papayamux-standins engine` command.

use getopts::{Matches, Options};
use papayamux_transport::shutdown::ShutdownSignal;

use super::standin_kind::{list_of, micros_or, millis_or, value_or};
use super::{StandinError, StandinKind};
use crate::engine::{serve_engine, EngineOptions, EventLogOptions};

/// Default name of the engine.
const DEFAULT_NAME: &str = "engine";
/// Model that is loaded unless the command line lists any.
const DEFAULT_MODEL: &str = "model";

pub(super) const KIND: StandinKind = StandinKind {
    name: "engine",
    declare,
    serve: |listener, matches| {
        Box::pin(async move {
            let options = engine_options(&matches)?;
            Ok(serve_engine(listener, options, ShutdownSignal::new()).await?)
        })
    },
};

fn declare(options: &mut Options) {
    options.optopt("", "name", "the engine's name", "NAME");
    options.optopt("", "models", "models it has loaded", "A,B");
    options.optopt("", "adapters", "adapters it has loaded", "A,B");
    options.optopt("", "step-us", "time of one step", "MICROSECONDS");
    options.optopt("", "batch", "slots in the batch", "COUNT");
    options.optopt("", "prefill", "prompt tokens computed in one step", "COUNT");
    options.optopt("", "waiting", "requests that may wait for a slot", "COUNT");
    options.optopt("", "cancel-grace-ms", "time until an unread request ends", "MILLISECONDS");
    options.optopt("", "cache-blocks", "blocks in the prefix cache", "COUNT");
    options.optopt("", "load-lag-ms", "age of the state that load reports show", "MILLISECONDS");
    options.optopt("", "event-log", "cache events kept", "COUNT");
    options.optopt("", "event-late-ms", "time until a cache event is visible", "MILLISECONDS");
    options.optopt("", "event-gap-share", "share of cache events lost", "0..1");
    options.optopt("", "event-gap-seed", "seed that selects the lost cache events", "NUMBER");
    options.optflag("", "ignore-fencing", "accept orders regardless of their fencing number");
    options.optopt("", "load-ms", "time to load a model or adapter", "MILLISECONDS");
    options.optopt("", "weight-store", "where weights are fetched from", "ADDRESS");
    options.optopt("", "kv-export-us", "time to export one block", "MICROSECONDS");
    options.optopt("", "kv-import-us", "time to import one block", "MICROSECONDS");
    options.optopt("", "kv-block-bytes", "bytes of one block in a KV blob", "COUNT");
    options.optflag("", "close-delimited", "end streams with their connection");
    options.optflag("", "endless", "answer chats with bytes without end");
    options.optopt("", "ends-on", "exit the process on a chat with this text", "TEXT");
}

fn engine_options(matches: &Matches) -> Result<EngineOptions, StandinError> {
    let mut models = list_of(matches, "models")?;
    if !matches.opt_present("models") {
        models.push(DEFAULT_MODEL.parse()?);
    }
    let server = value_or(matches, "name", DEFAULT_NAME.parse()?)?;
    let mut engine = EngineOptions::builder().server(server).models(models).build();
    engine.step = micros_or(matches, "step-us", engine.step)?;
    engine.batch_limit = value_or(matches, "batch", engine.batch_limit)?;
    engine.prefill_per_step = value_or(matches, "prefill", engine.prefill_per_step)?;
    engine.cache_blocks = value_or(matches, "cache-blocks", engine.cache_blocks)?;
    engine.adapters = list_of(matches, "adapters")?;
    engine.waiting_limit = value_or(matches, "waiting", engine.waiting_limit)?;
    engine.cancel_grace = millis_or(matches, "cancel-grace-ms", engine.cancel_grace)?;
    set_order_options(&mut engine, matches)?;
    set_kv_options(&mut engine, matches)?;
    engine.load_lag = millis_or(matches, "load-lag-ms", engine.load_lag)?;
    engine.events = event_options(matches)?;
    Ok(engine)
}

fn event_options(matches: &Matches) -> Result<EventLogOptions, StandinError> {
    let fallback = EventLogOptions::default();
    Ok(EventLogOptions {
        capacity: value_or(matches, "event-log", fallback.capacity)?,
        lateness: millis_or(matches, "event-late-ms", fallback.lateness)?,
        gap_share: value_or(matches, "event-gap-share", fallback.gap_share)?,
        gap_seed: value_or(matches, "event-gap-seed", fallback.gap_seed)?,
    })
}

fn set_order_options(engine: &mut EngineOptions, matches: &Matches) -> Result<(), StandinError> {
    engine.ignore_fencing = matches.opt_present("ignore-fencing");
    engine.load_time = millis_or(matches, "load-ms", engine.load_time)?;
    if matches.opt_present("weight-store") {
        engine.weight_store = list_of(matches, "weight-store")?.pop();
    }
    Ok(())
}

fn set_kv_options(engine: &mut EngineOptions, matches: &Matches) -> Result<(), StandinError> {
    engine.kv_export_time = micros_or(matches, "kv-export-us", engine.kv_export_time)?;
    engine.kv_import_time = micros_or(matches, "kv-import-us", engine.kv_import_time)?;
    engine.crash_on = matches.opt_str("ends-on");
    engine.close_delimited = matches.opt_present("close-delimited");
    engine.is_endless = matches.opt_present("endless");
    engine.kv_block_bytes = value_or(matches, "kv-block-bytes", engine.kv_block_bytes)?;
    Ok(())
}
