//! `papayamux-measure soak`.

use std::time::Duration;

use getopts::{Matches, Options};

use super::{MeasureTask, TaskError};
use crate::soak::{run_soak, FatalKind, SoakOptions};

pub(super) const TASK: MeasureTask = MeasureTask {
    name: "soak",
    purpose: "what the routers on the platform promise, under faults drawn by a seed",
    declare,
    run: |matches| run_soak(&soak_options(matches)?),
};

fn declare(options: &mut Options) {
    options.optopt("", "seed", "draws faults and requests (1)", "NUMBER");
    options.optopt("", "seconds", "how long faults are injected (30)", "SECONDS");
    options.optopt("", "routers", "router processes (3)", "COUNT");
    options.optopt("", "servers", "servers of each of three services (3)", "COUNT");
    options.optflag("", "entries", "servers start again and others write entries as well");
    options.optflag("", "outages", "outages of the store for all and for some overlap as well");
    options.optflag("", "restores", "the store comes back from copies as well");
    options.optflag("", "versions", "several software versions serve, and callers resume streams");
    options.optflag("", "scarce", "two organisations compete for a service with few slots");
    options.optflag("", "fatal", "a request is repeated under which every engine ends");
    options.optflag("", "fatal-part", "a part of prompts is sent under which every engine ends");
    options.optopt("", "callers", "callers, each with one request at a time (12)", "COUNT");
}

fn soak_options(matches: &Matches) -> Result<SoakOptions, TaskError> {
    let length = matches.opt_get("seconds")?.map(Duration::from_secs);
    let fatal = match (matches.opt_present("fatal"), matches.opt_present("fatal-part")) {
        (_, true) => FatalKind::Part,
        (true, false) => FatalKind::Content,
        (false, false) => FatalKind::Absent,
    };
    Ok(SoakOptions::builder()
        .maybe_seed(matches.opt_get("seed")?)
        .maybe_length(length)
        .maybe_routers(matches.opt_get("routers")?)
        .maybe_servers(matches.opt_get("servers")?)
        .entries(matches.opt_present("entries"))
        .outages(matches.opt_present("outages"))
        .restores(matches.opt_present("restores"))
        .versions(matches.opt_present("versions"))
        .scarce(matches.opt_present("scarce"))
        .fatal(fatal)
        .maybe_callers(matches.opt_get("callers")?)
        .build())
}
