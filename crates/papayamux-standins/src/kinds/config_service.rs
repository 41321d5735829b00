//! The `papayamux-standins config-service` command.

use getopts::Options;
use papayamux_transport::shutdown::ShutdownSignal;

use super::standin_kind::value_or;
use super::StandinKind;
use crate::config_service::{serve_config_service, ConfigServiceOptions};

pub(super) const KIND: StandinKind = StandinKind {
    name: "config-service",
    declare,
    serve: |listener, matches| {
        Box::pin(async move {
            let fallback = ConfigServiceOptions::default().reads_per_second;
            let reads_per_second = value_or(&matches, "reads-per-s", fallback)?;
            let options = ConfigServiceOptions { reads_per_second };
            Ok(serve_config_service(listener, options, ShutdownSignal::new()).await?)
        })
    },
};

fn declare(options: &mut Options) {
    options.optopt("", "reads-per-s", "reads answered in any one second", "COUNT");
}
