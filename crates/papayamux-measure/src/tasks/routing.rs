//! `papayamux-measure routing`.

use getopts::{Matches, Options};

use super::{MeasureTask, TaskError};
use crate::routing::{measure_routing, RoutingOptions};

pub(super) const TASK: MeasureTask = MeasureTask {
    name: "routing",
    purpose: "compare the routing policies: cache reuse, load skew, control traffic",
    declare,
    run: |matches| measure_routing(&routing_options(matches)?),
};

fn declare(options: &mut Options) {
    options.optopt("", "seed", "seed of the workload", "NUMBER");
    options.optmulti("", "policy", "a policy (all)", "NAME");
    options.optmulti("", "scenario", "a scenario (all)", "NAME");
    options.optopt("", "site", "yanchang or kitakaze (yanchang)", "NAME");
    options.optopt("", "seconds", "length of one run (16)", "SECONDS");
    options.optopt("", "load", "factor on the chats that begin in a second (1)", "FACTOR");
    options.optmulti("", "router-line", "a further router setting", "KEY=VALUE");
    options.optmulti("", "agent-line", "a further [server] setting", "KEY=VALUE");
}

fn routing_options(matches: &Matches) -> Result<RoutingOptions, TaskError> {
    let seed = matches.opt_str("seed").ok_or("routing needs --seed")?.parse()?;
    let policies = matches.opt_strs("policy");
    let scenarios = matches.opt_strs("scenario");
    let scenarios = scenarios.iter().map(|name| name.parse()).collect::<Result<Vec<_>, _>>()?;
    let site = matches.opt_str("site").map(|name| name.parse()).transpose()?;
    let seconds = matches.opt_str("seconds").map(|text| text.parse()).transpose()?;
    let load = matches.opt_str("load").map(|text| text.parse()).transpose()?;
    Ok(RoutingOptions::builder()
        .seed(seed)
        .maybe_policies((!policies.is_empty()).then_some(policies))
        .maybe_scenarios((!scenarios.is_empty()).then_some(scenarios))
        .maybe_site(site)
        .maybe_seconds(seconds)
        .maybe_load(load)
        .router_lines(matches.opt_strs("router-line").join("\n"))
        .agent_lines(matches.opt_strs("agent-line").join("\n"))
        .build())
}
