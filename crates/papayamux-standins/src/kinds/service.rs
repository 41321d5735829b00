//! The `papayamux-standins service` command.

use std::time::Duration;

use getopts::{Matches, Options};
use papayamux_transport::shutdown::ShutdownSignal;

use super::standin_kind::{millis_or, value_or};
use super::{StandinError, StandinKind};
use crate::service::{serve_service, ServiceOptions};

/// Default processing time of a call.
const CALL_TIME: Duration = Duration::from_millis(2);

pub(super) const KIND: StandinKind = StandinKind {
    name: "service",
    declare,
    serve: |listener, matches| {
        Box::pin(async move {
            let options = service_options(&matches)?;
            Ok(serve_service(listener, options, ShutdownSignal::new()).await?)
        })
    },
};

fn declare(options: &mut Options) {
    options.optopt("", "name", "the service's name", "NAME");
    options.optopt("", "call-ms", "time of one call", "MILLISECONDS");
    options.optflag("", "endless", "answer calls with bytes without end");
}

fn service_options(matches: &Matches) -> Result<ServiceOptions, StandinError> {
    let name = value_or(matches, "name", "service".to_string())?;
    let call_time = millis_or(matches, "call-ms", CALL_TIME)?;
    let is_endless = matches.opt_present("endless");
    Ok(ServiceOptions { name, call_time, is_endless })
}
