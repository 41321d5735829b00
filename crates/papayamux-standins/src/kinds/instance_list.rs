//! The `papayamux-standins instance-list` command.

use std::time::Duration;

use getopts::Options;
use papayamux_transport::shutdown::ShutdownSignal;

use super::standin_kind::millis_or;
use super::StandinKind;
use crate::instance_list::serve_instance_list;

pub(super) const KIND: StandinKind = StandinKind {
    name: "instance-list",
    declare,
    serve: |listener, matches| {
        Box::pin(async move {
            let lag = millis_or(&matches, "lag-ms", Duration::ZERO)?;
            Ok(serve_instance_list(listener, lag, ShutdownSignal::new()).await?)
        })
    },
};

fn declare(options: &mut Options) {
    options.optopt("", "lag-ms", "age of the list that readers see", "MILLISECONDS");
}
