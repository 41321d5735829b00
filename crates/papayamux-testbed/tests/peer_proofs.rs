//! Routers and agents accept only peers that know the fleet's secret and have allowed addresses.

use std::error::Error;

use papayamux_protocol::chat::ChatMessage;
use papayamux_testbed::{chat_request, Caller, CallerError, Fleet, FleetPlan, FLEET_MODEL};
use papayamux_transport::runtime;

type TestResult = Result<(), Box<dyn Error>>;

const SECRET: &str = "secret = a fleet's secret of the tests\n";
const OTHER_SECRET: &str = "secret = the secret of another fleet\n";

fn plan(router_lines: &str, agent_lines: &str) -> FleetPlan {
    let plan = FleetPlan::builder().routers(1).engines(1).services(0);
    plan.router_lines(router_lines.to_string()).agent_lines(agent_lines.to_string()).build()
}

async fn chat(fleet: &Fleet) -> Result<(), CallerError> {
    let address =
        fleet.routers[0].listen().map_err(|error| CallerError::InvalidAnswer(error.to_string()))?;
    let content = "Are dogs allowed?".to_string();
    let messages = vec![ChatMessage { role: "user".to_string(), content }];
    Caller::new(address, "desk").chat(&chat_request(FLEET_MODEL, messages, 3)).await.map(drop)
}

/// Runs a chat in a fleet. Returns whether it was answered, and the sums of the given metric and
/// label at the router and at the agent.
fn try_chat(
    plan: FleetPlan,
    router: (&str, &str),
    agent: (&str, &str),
) -> Result<(bool, f64, f64), Box<dyn Error>> {
    let fleet = Fleet::start(plan)?;
    runtime::run(async {
        let answered = chat(&fleet).await.is_ok();
        let at_router = fleet.routers[0].metrics().await?.sum(router.0, router.1);
        let at_agent = fleet.servers[0].agent.metrics().await?.sum(agent.0, agent.1);
        Ok((answered, at_router, at_agent))
    })?
}

const FAILED: &str = "papayamux_router_failed_links_total";
const REFUSED: &str = "papayamux_agent_link_failures_total";

#[test]
fn the_same_secret_opens_the_connection() -> TestResult {
    let counts = try_chat(plan(SECRET, SECRET), (FAILED, ""), (REFUSED, ""))?;
    assert_eq!(counts, (true, 0.0, 0.0));
    Ok(())
}

#[test]
fn another_secret_is_refused_and_counted() -> TestResult {
    let (router, agent) = ((FAILED, "unproved"), (REFUSED, "no_proof"));
    let (answered, at_router, at_agent) = try_chat(plan(OTHER_SECRET, SECRET), router, agent)?;
    assert!(!answered && at_router >= 1.0 && at_agent >= 1.0);
    Ok(())
}

#[test]
fn a_router_or_agent_without_the_secret_is_refused_and_counted() -> TestResult {
    let (router, agent) = ((FAILED, "secret_needed"), (REFUSED, "no_proof"));
    let (answered, at_router, at_agent) = try_chat(plan("", SECRET), router, agent)?;
    assert!(!answered && at_router >= 1.0 && at_agent >= 1.0);
    let router = (FAILED, "unproved");
    let (answered, at_router, _) = try_chat(plan(SECRET, ""), router, agent)?;
    assert!(!answered && at_router >= 1.0);
    Ok(())
}

#[test]
fn addresses_that_are_not_allowed_are_refused_and_counted() -> TestResult {
    let elsewhere = "allow = 10.0.0.0/8\n";
    let agent = (REFUSED, "address");
    let (answered, at_router, at_agent) = try_chat(plan("", elsewhere), (FAILED, ""), agent)?;
    assert!(!answered && at_router >= 1.0 && at_agent >= 1.0);
    let router = ("papayamux_router_refused_callers_total", "address");
    let (answered, at_router, _) = try_chat(plan(elsewhere, ""), router, agent)?;
    assert!(!answered && at_router >= 1.0);
    let loopback = "allow = 10.0.0.0/8, 127.0.0.1\n";
    assert!(try_chat(plan(loopback, loopback), router, agent)?.0);
    Ok(())
}
