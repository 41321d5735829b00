//! The daemons log failed requests by code, and never prompts or secrets.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use papayamux_testbed::{Caller, Fleet, FleetPlan};
use papayamux_transport::runtime;

const TIMEOUT: Duration = Duration::from_secs(30);
const SECRET: &str = "a secret of the fleet";
const PROMPT: &str = "the pensioner's birthday";

#[test]
fn a_failed_request_is_logged_by_code_without_its_text_or_the_secret() -> Result<(), Box<dyn Error>>
{
    let secret = format!("secret = {SECRET}");
    let plan = FleetPlan::builder().routers(1).engines(1).services(0);
    let plan = plan.router_lines(secret.clone()).agent_lines(secret).build();
    let fleet = Fleet::start(plan)?;
    let caller = Caller::new(fleet.routers[0].listen()?, "yanchang-desk");
    let body = Bytes::from(format!("{{\"model\":\"itinerary\",\"messages\":\"{PROMPT}\"}}"));
    let path = "/v1/chat/completions";
    runtime::run(async { caller.call(Method::POST, path, &[], body).await })??;
    let line = fleet.routers[0].wait_for_line("request failed", TIMEOUT)?;
    assert_eq!(line["code"], "invalid_request");
    assert_eq!(line["level"], "info");
    assert_eq!(line["program"], "papayamux-router");
    assert!(line["time_ms"].is_u64());
    let text = line.to_string();
    assert!(!text.contains(PROMPT) && !text.contains(SECRET), "{text}");
    Ok(())
}
