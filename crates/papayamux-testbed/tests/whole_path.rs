//! Chats and plain calls pass from a caller through router and agent to a server and back.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use papayamux_protocol::chat::{ChatCompletion, ChatMessage};
use papayamux_protocol::engine::{render_prompt, CHAT_PATH};
use papayamux_protocol::failure::{FailureCode, FailureEnvelope, FailureOutcome};
use papayamux_standins::engine::expected_answer;
use papayamux_standins::service::ServiceAnswer;
use papayamux_testbed::{chat_request, Caller, EventCounter, Fleet, FleetPlan, FLEET_MODEL};
use papayamux_transport::runtime;

/// Number of tokens of an answer that exceeds all windows and socket buffers on its path.
const TOKENS_BEYOND_BUFFERS: u32 = 100_000;
/// Number of events after the text: the token counts and the end of the stream.
const EVENTS_AT_THE_END: usize = 2;

type TestResult = Result<(), Box<dyn Error>>;

fn user_says(text: &str) -> Vec<ChatMessage> {
    vec![ChatMessage { role: "user".to_string(), content: text.to_string() }]
}

fn with_fleet(plan: FleetPlan, test: impl AsyncFnOnce(&Fleet) -> TestResult) -> TestResult {
    let fleet = Fleet::start(plan)?;
    runtime::run(test(&fleet))?
}

#[test]
fn streamed_and_whole_answers_come_back_to_the_byte() -> TestResult {
    with_fleet(FleetPlan::builder().build(), async |fleet| {
        let messages = user_says("When does the last train leave the mine?");
        let expected = expected_answer(FLEET_MODEL, &render_prompt(&messages), Some(200));
        for router in &fleet.routers {
            let caller = Caller::new(router.listen()?, "yanchang-desk");
            let mut request = chat_request(FLEET_MODEL, messages.clone(), 200);
            assert_eq!(caller.chat(&request).await?.text, expected);
            request.stream = false;
            let body = serde_json::to_vec(&request)?;
            let (status, body) = caller.call(Method::POST, CHAT_PATH, &[], body.into()).await?;
            assert_eq!(status, StatusCode::OK);
            let completion: ChatCompletion = serde_json::from_slice(&body)?;
            assert_eq!(completion.choices[0].message.content, expected);
        }
        Ok(())
    })
}

#[test]
fn a_plain_call_keeps_method_path_and_body() -> TestResult {
    with_fleet(FleetPlan::builder().build(), async |fleet| {
        let caller = Caller::new(fleet.routers[0].listen()?, "yanchang-desk");
        let body = Bytes::from_static(b"{\"ticket\":7}");
        let (status, body) = caller.call(Method::PUT, "/tickets/gate/3?fast=1", &[], body).await?;
        assert_eq!(status, StatusCode::OK);
        let answer: ServiceAnswer = serde_json::from_slice(&body)?;
        assert_eq!(
            (answer.method.as_str(), answer.path.as_str(), answer.body.as_str()),
            ("PUT", "/tickets/gate/3?fast=1", "{\"ticket\":7}")
        );
        Ok(())
    })
}

#[test]
fn requests_that_cannot_run_say_so() -> TestResult {
    with_fleet(FleetPlan::builder().routers(1).engines(1).build(), async |fleet| {
        let caller = Caller::new(fleet.routers[0].listen()?, "yanchang-desk");
        let unknown_model = serde_json::to_vec(&chat_request("nothing", user_says("x"), 1))?;
        let cases = [
            (CHAT_PATH, b"{\"model\":".to_vec(), FailureCode::InvalidRequest),
            (CHAT_PATH, unknown_model, FailureCode::UnknownModel),
            ("/nowhere", Vec::new(), FailureCode::UnknownRoute),
            ("/tickets", vec![b'x'; 5 * 1024 * 1024], FailureCode::BodyTooLarge),
        ];
        for (path, body, code) in cases {
            let (status, body) = caller.call(Method::POST, path, &[], body.into()).await?;
            assert_eq!(status, code.status(), "{path}");
            let failure: FailureEnvelope = serde_json::from_slice(&body)?;
            assert_eq!(failure.error.code, code);
            assert_eq!(failure.error.outcome, FailureOutcome::NotRun);
        }
        Ok(())
    })
}

#[test]
fn a_chat_for_a_model_that_is_not_loaded_is_refused_unrun() -> TestResult {
    let plan = FleetPlan::builder().routers(1).engines(1).services(0);
    let plan = plan.agent_server_lines("[orders]\nmodels = other\nlook_every = 100ms".to_string());
    with_fleet(plan.build(), async |fleet| {
        let agent = &fleet.servers[0].agent;
        let within = Duration::from_secs(60);
        let (loads, label) = ("papayamux_agent_weight_loads_total", "reason=\"loaded\"");
        agent.wait_metric(loads, label, 1.0, within).await?;
        let caller = Caller::new(fleet.routers[0].listen()?, "yanchang-desk");
        let chat = serde_json::to_vec(&chat_request(FLEET_MODEL, user_says("x"), 1))?;
        let (_, body) = caller.call(Method::POST, CHAT_PATH, &[], chat.into()).await?;
        let failure: FailureEnvelope = serde_json::from_slice(&body)?;
        assert_eq!(failure.error.outcome, FailureOutcome::NotRun);
        let refusals = agent.metrics().await?;
        let refusals =
            refusals.sum("papayamux_agent_refusals_total", "reason=\"model_not_loaded\"");
        assert!(refusals >= 1.0);
        assert_eq!(fleet.servers[0].total_runs().await?, 0);
        Ok(())
    })
}

#[test]
fn a_caller_that_does_not_read_holds_nobody_else() -> TestResult {
    let engine = ["--step-us", "0"].map(str::to_string).into();
    let plan = FleetPlan::builder().routers(1).engines(1).services(0).engine_arguments(engine);
    with_fleet(plan.build(), async |fleet| {
        let caller = Caller::new(fleet.routers[0].listen()?, "yanchang-desk");
        let long = chat_request(FLEET_MODEL, user_says("Tell me all."), TOKENS_BEYOND_BUFFERS);
        let body = serde_json::to_vec(&long)?;
        let mut unread = caller.send(Method::POST, CHAT_PATH, &[], body.into()).await?;
        let messages = user_says("Is the gate open?");
        let expected = expected_answer(FLEET_MODEL, &render_prompt(&messages), Some(200));
        assert_eq!(caller.chat(&chat_request(FLEET_MODEL, messages, 200)).await?.text, expected);
        let mut counter = EventCounter::default();
        while let Some(piece) = unread.next_piece().await {
            counter.read(&piece?);
        }
        assert_eq!(counter.events(), TOKENS_BEYOND_BUFFERS as usize + EVENTS_AT_THE_END);
        Ok(())
    })
}
