//! Streams stay complete when connections are closed or become silent, and can be resumed through
//! another router.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use papayamux_protocol::chat::{ChatCompletion, ChatMessage, ChatRequest};
use papayamux_protocol::engine::{render_prompt, CHAT_PATH};
use papayamux_protocol::failure::{FailureCode, FailureEnvelope, FailureOutcome};
use papayamux_standins::engine::expected_answer;
use papayamux_standins::fault_proxy::{FaultyWays, LinkFaults};
use papayamux_testbed::{
    chat_request, Caller, CallerError, ChatStream, Fleet, FleetPlan, FLEET_MODEL,
};
use papayamux_transport::runtime;

type TestResult = Result<(), Box<dyn Error>>;

const ORGANISATION: &str = "yanchang-desk";
const TOKENS: u32 = 300;
/// Number of events that are read before each fault.
const BEFORE_FAULT: usize = 40;
const TIMEOUT: Duration = Duration::from_secs(30);

fn chat() -> ChatRequest {
    let content = "Draft a day at the salt mines for forty pensioners.".to_string();
    chat_request(FLEET_MODEL, vec![ChatMessage { role: "user".to_string(), content }], TOKENS)
}

fn expected() -> String {
    expected_answer(FLEET_MODEL, &render_prompt(&chat().messages), Some(TOKENS))
}

fn plan() -> FleetPlan {
    FleetPlan::builder().engines(1).services(1).faulty_links(true).build()
}

/// Returns a plan whose engine needs many seconds for an answer.
fn slow_plan() -> FleetPlan {
    let plan = FleetPlan::builder().engines(1).services(0).routers(1).faulty_links(true);
    plan.engine_arguments(["--step-us", "50000"].map(str::to_string).into()).build()
}

fn with_fleet(plan: FleetPlan, test: impl AsyncFnOnce(&mut Fleet) -> TestResult) -> TestResult {
    let mut fleet = Fleet::start(plan)?;
    runtime::run(test(&mut fleet))?
}

fn caller_at(fleet: &Fleet, router: usize) -> Result<Caller, Box<dyn Error>> {
    Ok(Caller::new(fleet.routers[router].listen()?, ORGANISATION))
}

async fn begin_chat(fleet: &Fleet) -> Result<ChatStream, Box<dyn Error>> {
    let mut stream = ChatStream::start(&caller_at(fleet, 0)?, &chat(), None).await?;
    stream.read_events(BEFORE_FAULT).await?;
    Ok(stream)
}

async fn assert_whole_after_one_run(fleet: &Fleet, mut stream: ChatStream) -> TestResult {
    stream.read_rest().await?;
    assert!(stream.is_whole);
    assert_eq!(stream.text, expected());
    assert_eq!(fleet.servers[0].total_runs().await?, 1);
    Ok(())
}

#[test]
fn a_link_cut_mid_stream_leaves_the_answer_whole() -> TestResult {
    with_fleet(plan(), async |fleet| {
        let mut stream = begin_chat(fleet).await?;
        for _ in 0..3 {
            fleet.link(0, 0)?.cut().await?;
            stream.read_events(BEFORE_FAULT).await?;
        }
        assert_whole_after_one_run(fleet, stream).await?;
        let metrics = fleet.routers[0].metrics().await?;
        assert!(metrics.sum("papayamux_router_recoveries_total", "resumed") >= 3.0);
        Ok(())
    })
}

#[test]
fn a_link_silent_for_good_mid_stream_is_replaced() -> TestResult {
    with_fleet(plan(), async |fleet| {
        let stream = begin_chat(fleet).await?;
        fleet.link(0, 0)?.silence().await?;
        assert_whole_after_one_run(fleet, stream).await
    })
}

#[test]
fn a_router_that_went_silent_is_noticed_by_the_agent() -> TestResult {
    with_fleet(slow_plan(), async |fleet| {
        let stream = begin_chat(fleet).await?;
        fleet.link(0, 0)?.hold().await?;
        let agent = &fleet.servers[0].agent;
        let failures = "papayamux_agent_link_failures_total";
        agent.wait_metric(failures, "silent", 1.0, TIMEOUT).await?;
        drop(stream);
        Ok(())
    })
}

#[test]
fn a_caller_goes_on_through_the_other_router() -> TestResult {
    with_fleet(plan(), async |fleet| {
        let first = begin_chat(fleet).await?;
        fleet.routers[0].kill()?;
        let other = caller_at(fleet, 1)?;
        let mut rest = ChatStream::start(&other, &chat(), Some(&first.last_id)).await?;
        rest.read_rest().await?;
        assert!(rest.is_whole);
        assert_eq!(format!("{}{}", first.text, rest.text), expected());
        let mut again = ChatStream::start(&other, &chat(), Some(&first.last_id)).await?;
        again.read_rest().await?;
        assert_eq!(again.text, rest.text);
        let mut nothing = ChatStream::start(&other, &chat(), Some(&rest.last_id)).await?;
        assert_eq!(nothing.next_event().await?, None);
        assert_eq!(fleet.servers[0].total_runs().await?, 1);
        Ok(())
    })
}

#[test]
fn an_answer_is_not_given_to_others_and_never_run_again() -> TestResult {
    with_fleet(plan(), async |fleet| {
        let mut stream = begin_chat(fleet).await?;
        stream.read_rest().await?;
        let stranger = Caller::new(fleet.routers[1].listen()?, "kitakaze");
        assert_gone(&stranger, &stream.last_id).await?;
        fleet.restart_agent(0)?;
        assert_gone(&caller_at(fleet, 1)?, &stream.last_id).await?;
        assert_eq!(fleet.servers[0].total_runs().await?, 1);
        Ok(())
    })
}

async fn assert_gone(caller: &Caller, last_id: &str) -> TestResult {
    match ChatStream::start(caller, &chat(), Some(last_id)).await {
        Err(CallerError::Failure { status, body }) => {
            let failure: FailureEnvelope = serde_json::from_str(&body)?;
            assert_eq!(status, StatusCode::GONE);
            assert_eq!(failure.error.code, FailureCode::AnswerGone);
            assert_eq!(failure.error.outcome, FailureOutcome::Unknown);
            Ok(())
        }
        Err(error) => Err(error.into()),
        Ok(_) => Err("a caller received an answer that it must not receive".into()),
    }
}

#[test]
fn an_answer_whose_agent_is_replaced_ends_with_an_error() -> TestResult {
    with_fleet(plan(), async |fleet| {
        let stream = begin_chat(fleet).await?;
        fleet.restart_agent(0)?;
        assert_error_event(stream, FailureOutcome::Unknown).await
    })
}

/// Asserts that the stream ends with a failure event that reports `outcome`, and that the
/// connection is then aborted.
async fn assert_error_event(mut stream: ChatStream, outcome: FailureOutcome) -> TestResult {
    let mut last = None;
    let end = loop {
        match stream.next_event().await {
            Ok(Some(event)) => last = Some(event),
            end => break end,
        }
    };
    assert!(matches!(end, Err(CallerError::Partial { .. })));
    let last = last.ok_or("the stream had no event before its end")?;
    assert_eq!(last.kind, "error");
    let failure: FailureEnvelope = serde_json::from_str(&last.data)?;
    assert_eq!(failure.error.outcome, outcome);
    assert!(!stream.is_whole && expected().starts_with(&stream.text));
    Ok(())
}

/// Returns a plan whose agents query a silent server soon, with the given arguments for the engine
/// and the service.
fn short_progress_plan(engine: &[&str], service: &[&str]) -> FleetPlan {
    let owned = |arguments: &[&str]| arguments.iter().map(|text| text.to_string()).collect();
    let plan = FleetPlan::builder().engines(1).services(1).routers(1).faulty_links(true);
    let plan = plan.agent_server_lines("progress_within = 300ms".to_string());
    plan.engine_arguments(owned(engine)).service_arguments(owned(service)).build()
}

#[test]
fn an_engine_connection_cut_or_silent_mid_stream_is_resumed() -> TestResult {
    with_fleet(short_progress_plan(&["--cancel-grace-ms", "5000"], &[]), async |fleet| {
        let mut stream = begin_chat(fleet).await?;
        fleet.servers[0].link()?.cut().await?;
        stream.read_events(BEFORE_FAULT).await?;
        fleet.servers[0].link()?.silence().await?;
        assert_whole_after_one_run(fleet, stream).await
    })
}

#[test]
fn an_engine_that_can_not_resume_ends_the_answer_with_an_error() -> TestResult {
    with_fleet(short_progress_plan(&["--cancel-grace-ms", "0"], &[]), async |fleet| {
        let stream = begin_chat(fleet).await?;
        fleet.servers[0].standin.kill()?;
        assert_error_event(stream, FailureOutcome::Failed).await
    })
}

#[test]
fn a_stream_that_ends_with_its_connection_is_whole_only_after_its_last_event() -> TestResult {
    let plan = || short_progress_plan(&["--cancel-grace-ms", "0", "--close-delimited"], &[]);
    with_fleet(plan(), async |fleet| {
        let stream = begin_chat(fleet).await?;
        assert_whole_after_one_run(fleet, stream).await
    })?;
    with_fleet(plan(), async |fleet| {
        let stream = begin_chat(fleet).await?;
        fleet.servers[0].standin.kill()?;
        assert_error_event(stream, FailureOutcome::Failed).await
    })
}

#[test]
fn a_slow_but_living_server_is_not_given_up() -> TestResult {
    with_fleet(
        short_progress_plan(&["--step-us", "700000"], &["--call-ms", "1500"]),
        async |fleet| {
            let caller = caller_at(fleet, 0)?;
            let mut request = chat();
            request.max_tokens = Some(3);
            let expected = expected_answer(FLEET_MODEL, &render_prompt(&request.messages), Some(3));
            assert_eq!(caller.chat(&request).await?.text, expected);
            request.stream = false;
            let body = serde_json::to_vec(&request)?;
            let (_, body) = caller.call(Method::POST, CHAT_PATH, &[], body.into()).await?;
            let completion: ChatCompletion = serde_json::from_slice(&body)?;
            assert_eq!(completion.choices[0].message.content, expected);
            let call = caller.call(Method::POST, "/tickets/slow", &[], Bytes::new());
            assert_eq!(call.await?.0, StatusCode::OK);
            assert_eq!(fleet.servers[0].total_runs().await?, 2);
            assert_eq!(fleet.servers[1].total_runs().await?, 1);
            Ok(())
        },
    )
}

#[test]
fn a_server_silent_on_every_connection_is_given_up_as_unknown() -> TestResult {
    with_fleet(short_progress_plan(&[], &[]), async |fleet| {
        let caller = caller_at(fleet, 0)?;
        fleet.servers[1].link()?.hold().await?;
        let call = caller.call(Method::POST, "/tickets/lost", &[], Bytes::new());
        let (status, body) = call.await?;
        let failure: FailureEnvelope = serde_json::from_slice(&body)?;
        assert_eq!(status, failure.error.code.status());
        assert_eq!(failure.error.outcome, FailureOutcome::Unknown);
        Ok(())
    })
}

#[test]
fn a_call_that_never_arrived_is_proved_so_and_run_once() -> TestResult {
    with_fleet(plan(), async |fleet| {
        let caller = caller_at(fleet, 0)?;
        let body = || Bytes::from_static(b"{}");
        caller.call(Method::POST, "/tickets/warm", &[], body()).await?;
        let drop = FaultyWays::ToTarget;
        let faults = LinkFaults { drop, only_existing: true, ..LinkFaults::default() };
        fleet.link(0, 1)?.set(faults).await?;
        let (status, _) = caller.call(Method::POST, "/tickets/late", &[], body()).await?;
        assert_eq!(status, StatusCode::OK);
        assert_eq!(fleet.servers[1].total_runs().await?, 2);
        let metrics = fleet.servers[1].agent.metrics().await?;
        assert_eq!(metrics.sum("papayamux_agent_resumes_total", "never_arrived"), 1.0);
        Ok(())
    })
}

#[test]
fn a_dead_request_direction_is_detected_while_answers_arrive() -> TestResult {
    with_fleet(slow_plan(), async |fleet| {
        let mut first = ChatStream::start(&caller_at(fleet, 0)?, &chat(), None).await?;
        first.read_events(2).await?;
        let drop = FaultyWays::ToTarget;
        let faults = LinkFaults { drop, only_existing: true, ..LinkFaults::default() };
        fleet.link(0, 0)?.set(faults).await?;
        let mut second = ChatStream::start(&caller_at(fleet, 0)?, &chat(), None).await?;
        second.read_events(2).await?;
        assert!(!first.is_whole);
        let lost = "papayamux_router_lost_links_total";
        let metrics = fleet.routers[0].metrics().await?;
        assert_eq!(metrics.sum(lost, "silent"), 1.0);
        Ok(())
    })
}

#[test]
fn a_call_whose_answer_was_lost_on_the_way_runs_once() -> TestResult {
    let plan = FleetPlan::builder().engines(0).services(1).routers(1).faulty_links(true);
    with_fleet(plan.build(), async |fleet| {
        let caller = caller_at(fleet, 0)?;
        let body = || Bytes::from_static(b"{}");
        caller.call(Method::POST, "/tickets/warm", &[], body()).await?;
        let drop = FaultyWays::ToClient;
        let faults = LinkFaults { drop, only_existing: true, ..LinkFaults::default() };
        fleet.link(0, 0)?.set(faults).await?;
        let (status, _) = caller.call(Method::POST, "/tickets/once", &[], body()).await?;
        assert_eq!(status, StatusCode::OK);
        assert_eq!(fleet.servers[0].total_runs().await?, 2);
        Ok(())
    })
}
