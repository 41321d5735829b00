//! The `papayamux-standins weight-store` command.

use getopts::{Matches, Options};
use papayamux_transport::shutdown::ShutdownSignal;

use super::standin_kind::{millis_or, value_or};
use super::{StandinError, StandinKind};
use crate::weight_store::{serve_weight_store, WeightStoreOptions};

pub(super) const KIND: StandinKind = StandinKind {
    name: "weight-store",
    declare,
    serve: |listener, matches| {
        Box::pin(async move {
            let options = store_options(&matches)?;
            Ok(serve_weight_store(listener, options, ShutdownSignal::new()).await?)
        })
    },
};

fn declare(options: &mut Options) {
    options.optopt("", "loads-per-s", "loads answered in any one second", "COUNT");
    options.optopt("", "weight-bytes", "bytes of each model's weights", "COUNT");
    options.optopt("", "load-ms", "time until a load is answered", "MILLISECONDS");
}

fn store_options(matches: &Matches) -> Result<WeightStoreOptions, StandinError> {
    let fallback = WeightStoreOptions::default();
    Ok(WeightStoreOptions {
        loads_per_second: value_or(matches, "loads-per-s", fallback.loads_per_second)?,
        weight_bytes: value_or(matches, "weight-bytes", fallback.weight_bytes)?,
        load_time: millis_or(matches, "load-ms", fallback.load_time)?,
    })
}
