//! The servers to which routers send chats and calls.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use papayamux_protocol::chat::{ChatMessage, ChatRequest};
use papayamux_protocol::engine::render_prompt;
use papayamux_standins::engine::expected_answer;
use papayamux_standins::fault_proxy::FaultyWays;
use papayamux_testbed::{
    chat_request, Caller, CallerAnswer, Fleet, FleetPlan, FLEET_MODEL, FLEET_PATH,
};
use papayamux_transport::runtime;

type TestResult = Result<(), Box<dyn Error>>;

const TIMEOUT: Duration = Duration::from_secs(30);
const ADMITTED: &str = "papayamux_agent_admitted_requests_total";

fn with_fleet(plan: FleetPlan, test: impl AsyncFnOnce(&mut Fleet) -> TestResult) -> TestResult {
    let mut fleet = Fleet::start(plan)?;
    runtime::run(test(&mut fleet))?
}

fn turn(role: &str, content: &str) -> ChatMessage {
    ChatMessage { role: role.to_string(), content: content.to_string() }
}

fn long_chat() -> ChatRequest {
    let content = "Which of the four mines has the longest railway? ".repeat(8);
    chat_request(FLEET_MODEL, vec![turn("user", &content)], 100)
}

fn expected(request: &ChatRequest) -> String {
    expected_answer(FLEET_MODEL, &render_prompt(&request.messages), request.max_tokens)
}

fn server_index(fleet: &Fleet, answer: &CallerAnswer) -> Result<usize, Box<dyn Error>> {
    let place = fleet.servers.iter().position(|server| server.name == answer.server);
    place.ok_or_else(|| format!("no server in the fleet has the name {:?}", answer.server).into())
}

#[test]
fn a_returning_chat_is_warm_through_any_router() -> TestResult {
    with_fleet(FleetPlan::builder().routers(3).engines(4).services(0).build(), async |fleet| {
        let mut request = long_chat();
        let mut first = None;
        for router in &fleet.routers {
            let caller = Caller::new(router.listen()?, "yanchang-desk");
            let answer = caller.chat(&request).await?;
            let prompt = answer.usage.prompt_tokens;
            if let Some(previous) = first.replace(answer.server.clone()) {
                assert_eq!(answer.server, previous);
                let cached = answer.usage.prompt_tokens_details.cached_tokens;
                assert!(cached * 2 > prompt, "{cached} of {prompt} tokens");
            }
            request.messages.push(turn("assistant", &answer.text));
            request.messages.push(turn("user", "And the shortest?"));
        }
        Ok(())
    })
}

#[test]
fn a_chat_whose_home_is_full_goes_on_to_the_next_and_is_found_there() -> TestResult {
    let plan = FleetPlan::builder().routers(2).engines(2).services(0);
    let plan = plan.agent_server_lines("capacity = 1\nqueue = 0".to_string()).build();
    with_fleet(plan, async |fleet| {
        let caller = Caller::new(fleet.routers[0].listen()?, "yanchang-desk");
        let mut slow = long_chat();
        slow.max_tokens = Some(2_000);
        let (first, running) = (caller.clone(), slow.clone());
        let first = monoio::spawn(async move { first.chat(&running).await });
        let is_running = async |server: usize| -> Result<bool, Box<dyn Error>> {
            Ok(fleet.servers[server].agent.metrics().await?.sum(ADMITTED, "") > 0.0)
        };
        let home = loop {
            if is_running(0).await? {
                break 0;
            }
            if is_running(1).await? {
                break 1;
            }
        };
        let second = caller.chat(&long_chat()).await?;
        assert_eq!(second.text, expected(&long_chat()));
        assert_eq!(server_index(fleet, &second)?, 1 - home);
        let first = first.await?;
        assert_eq!((first.text, first.server), (expected(&slow), fleet.servers[home].name.clone()));
        Ok(())
    })
}

#[test]
fn a_chat_whose_home_is_silent_is_answered_elsewhere() -> TestResult {
    let plan = FleetPlan::builder().routers(1).engines(2).services(0).faulty_links(true).build();
    with_fleet(plan, async |fleet| {
        let caller = Caller::new(fleet.routers[0].listen()?, "yanchang-desk");
        let home = server_index(fleet, &caller.chat(&long_chat()).await?)?;
        fleet.link(0, home)?.hold_ways(FaultyWays::ToClient).await?;
        let answer = caller.chat(&long_chat()).await?;
        assert_eq!(
            (answer.text.as_str(), server_index(fleet, &answer)?),
            (expected(&long_chat()).as_str(), 1 - home)
        );
        let silent = "papayamux_router_probes_total";
        fleet.routers[0].wait_metric(silent, "reason=\"silent\"", 1.0, TIMEOUT).await?;
        Ok(())
    })
}

#[test]
fn a_call_in_flight_sends_the_next_one_to_another_service() -> TestResult {
    let plan = FleetPlan::builder().routers(1).engines(0).services(2);
    let arguments = ["--call-ms", "3000"].map(str::to_string).to_vec();
    with_fleet(plan.service_arguments(arguments).build(), async |fleet| {
        let caller = Caller::new(fleet.routers[0].listen()?, "yanchang-gate");
        let first = caller.clone();
        let first =
            monoio::spawn(
                async move { first.call(Method::POST, FLEET_PATH, &[], Bytes::new()).await },
            );
        let admitted = async || -> Result<Vec<f64>, Box<dyn Error>> {
            let mut counts = Vec::new();
            for server in &fleet.servers {
                counts.push(server.agent.metrics().await?.sum(ADMITTED, ""));
            }
            Ok(counts)
        };
        while admitted().await?.iter().sum::<f64>() < 1.0 {}
        let second = caller.call(Method::POST, FLEET_PATH, &[], Bytes::new()).await?;
        assert_eq!((first.await?.0, second.0), (StatusCode::OK, StatusCode::OK));
        assert_eq!(admitted().await?, [1.0, 1.0]);
        Ok(())
    })
}
