//! The outcomes that callers receive and the runs that servers count when links between routers and
//! agents, or agents and servers, fail.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use monoio::net::TcpStream;
use papayamux_protocol::chat::{ChatMessage, ChatRequest};
use papayamux_protocol::engine::render_prompt;
use papayamux_protocol::failure::{FailureBody, FailureOutcome};
use papayamux_protocol::link::{
    Addressed, AgentClock, AgentMessage, OpenRequest, PlacementRule, RetryRule, RouterHello,
    RouterMessage, PROTOCOL_VERSION,
};
use papayamux_protocol::wire::{AgentFrame, RouterFrame};
use papayamux_standins::engine::expected_answer;
use papayamux_standins::fault_proxy::{FaultyWays, LinkFaults};
use papayamux_state::ids::{Incarnation, RequestIdSource};
use papayamux_state::refusal::RefusalReason;
use papayamux_testbed::{
    chat_request, AgentStatus, Caller, CallerAnswer, CallerOutcome, Fleet, FleetPlan, FLEET_MODEL,
};
use papayamux_transport::link::start_link;
use papayamux_transport::runtime;

type TestResult = Result<(), Box<dyn Error>>;

const TIMEOUT: Duration = Duration::from_secs(30);

fn with_fleet(plan: FleetPlan, test: impl AsyncFnOnce(&mut Fleet) -> TestResult) -> TestResult {
    let mut fleet = Fleet::start(plan)?;
    runtime::run(test(&mut fleet))?
}

fn two_engines() -> FleetPlan {
    FleetPlan::builder().routers(1).engines(2).services(0).faulty_links(true).build()
}

fn one_service() -> FleetPlan {
    FleetPlan::builder().routers(1).engines(0).services(1).faulty_links(true).build()
}

fn long_chat() -> (ChatRequest, String) {
    let content = "Which of the four mines has the longest railway?".to_string();
    let messages = vec![ChatMessage { role: "user".to_string(), content }];
    let expected = expected_answer(FLEET_MODEL, &render_prompt(&messages), Some(100));
    (chat_request(FLEET_MODEL, messages, 100), expected)
}

fn caller_of(fleet: &Fleet) -> Result<Caller, Box<dyn Error>> {
    Ok(Caller::new(fleet.routers[0].listen()?, "yanchang-desk"))
}

/// Returns the index in the fleet of the server that generated an answer.
fn server_index(fleet: &Fleet, answer: &CallerAnswer) -> Result<usize, Box<dyn Error>> {
    let place = fleet.servers.iter().position(|server| server.name == answer.server);
    place.ok_or_else(|| format!("no server in the fleet has the name {:?}", answer.server).into())
}

fn failure_of(outcome: CallerOutcome<Bytes>) -> Result<FailureBody, Box<dyn Error>> {
    match outcome {
        CallerOutcome::Reported(failure) => Ok(failure),
        other => Err(format!("expected a reported failure, got {other:?}").into()),
    }
}

/// Starts a call that may run at most once, in a new task.
fn start_booking(caller: &Caller) -> monoio::task::JoinHandle<CallerOutcome<Bytes>> {
    let caller = caller.clone();
    let body = Bytes::from_static(b"{\"ticket\":7}");
    monoio::spawn(async move { caller.call_once(Method::POST, "/tickets", &[], body).await })
}

#[test]
fn a_chat_whose_link_is_cut_before_its_answer_is_whole_from_another_server() -> TestResult {
    // The default policy would detect that the home is silent and immediately use another server.
    let plan = FleetPlan::builder().routers(1).engines(2).services(0).faulty_links(true);
    let plan = plan.router_lines("policy = consistent-hash".to_string()).build();
    with_fleet(plan, async |fleet| {
        let caller = caller_of(fleet)?;
        let (chat, expected) = long_chat();
        let home = server_index(fleet, &caller.chat(&chat).await?)?;
        let link = fleet.link(0, home)?;
        link.hold_ways(FaultyWays::ToClient).await?;
        let (second, again) = (caller.clone(), chat.clone());
        let second = monoio::spawn(async move { second.chat(&again).await });
        fleet.servers[home].wait_runs(2).await?;
        link.cut().await?;
        let answer = second.await?;
        assert_eq!(answer.text, expected);
        assert_ne!(server_index(fleet, &answer)?, home);
        let metrics = fleet.routers[0].metrics().await?;
        assert_eq!(
            metrics.sum("papayamux_router_retries_total", "reason=\"connection_lost\""),
            1.0
        );
        Ok(())
    })
}

#[test]
fn a_silent_link_is_found_and_replaced() -> TestResult {
    with_fleet(two_engines(), async |fleet| {
        let caller = caller_of(fleet)?;
        let (chat, expected) = long_chat();
        let home = server_index(fleet, &caller.chat(&chat).await?)?;
        fleet.link(0, home)?.silence().await?;
        assert_eq!(caller.chat(&chat).await?.text, expected);
        let lost = "papayamux_router_lost_links_total";
        fleet.routers[0].wait_metric(lost, "reason=\"silent\"", 1.0, TIMEOUT).await?;
        let answer = caller.chat(&chat).await?;
        assert_eq!(
            (answer.text.as_str(), server_index(fleet, &answer)?),
            (expected.as_str(), home)
        );
        Ok(())
    })
}

#[test]
fn a_booking_whose_answer_is_lost_is_unknown_and_ran_once() -> TestResult {
    with_fleet(one_service(), async |fleet| {
        let caller = caller_of(fleet)?;
        let link = fleet.link(0, 0)?;
        let CallerOutcome::Answered(_) = start_booking(&caller).await else {
            panic!("no answer without a fault")
        };
        link.hold_ways(FaultyWays::ToClient).await?;
        let booking = start_booking(&caller);
        fleet.servers[0].wait_runs(2).await?;
        link.cut().await?;
        assert_eq!(failure_of(booking.await)?.outcome, FailureOutcome::Unknown);
        link.heal().await?;
        let CallerOutcome::Answered(_) = start_booking(&caller).await else {
            panic!("no answer after the link was healed")
        };
        assert_eq!(fleet.servers[0].total_runs().await?, 3);
        Ok(())
    })
}

#[test]
fn a_booking_released_after_its_deadline_never_runs() -> TestResult {
    let plan = FleetPlan::builder().routers(1).engines(0).services(1).faulty_links(true);
    let plan = plan.router_lines("start_within = 2s".to_string()).build();
    with_fleet(plan, async |fleet| {
        let caller = caller_of(fleet)?;
        let CallerOutcome::Answered(_) = start_booking(&caller).await else {
            panic!("no answer without a fault")
        };
        let link = fleet.link(0, 0)?;
        link.hold_ways(FaultyWays::ToTarget).await?;
        let reported_outcome = failure_of(start_booking(&caller).await)?.outcome;
        assert_eq!(reported_outcome, FailureOutcome::Unknown);
        link.heal().await?;
        let CallerOutcome::Answered(_) = start_booking(&caller).await else {
            panic!("no answer after the link was healed")
        };
        assert_eq!(fleet.servers[0].total_runs().await?, 2);
        Ok(())
    })
}

#[test]
fn an_agent_refuses_what_comes_after_its_deadline() -> TestResult {
    let plan = FleetPlan::builder().routers(1).engines(0).services(1).build();
    with_fleet(plan, async |fleet| {
        let server = &fleet.servers[0];
        let status: AgentStatus = server.agent.status().await?;
        let agent_incarnation = status.incarnation.parse()?;
        let reason = offer_to(server.agent.listen()?, agent_incarnation, AgentClock(0)).await?;
        assert_eq!(reason, RefusalReason::DeadlinePassed);
        assert_eq!(server.total_runs().await?, 0);
        Ok(())
    })
}

#[test]
fn every_call_reported_not_run_did_not_run() -> TestResult {
    let plan = FleetPlan::builder().routers(1).engines(0).services(1).faulty_links(true);
    let plan = plan.agent_server_lines("capacity = 1\nqueue = 0".to_string());
    let plan = plan.service_arguments(["--call-ms", "300"].map(str::to_string).into()).build();
    with_fleet(plan, async |fleet| {
        let caller = caller_of(fleet)?;
        let first = start_booking(&caller);
        fleet.servers[0].wait_runs(1).await?;
        let at_capacity = failure_of(start_booking(&caller).await)?;
        assert_eq!(at_capacity.reason.as_deref(), Some(RefusalReason::AtCapacity.label()));
        let CallerOutcome::Answered(_) = first.await else {
            panic!("the first call was not answered")
        };
        let link = fleet.link(0, 0)?;
        link.refuse().await?;
        link.cut().await?;
        let lost = "papayamux_router_lost_links_total";
        fleet.routers[0].wait_metric(lost, "", 1.0, TIMEOUT).await?;
        let refused = failure_of(start_booking(&caller).await)?;
        link.heal().await?;
        fleet.servers[0].agent.kill()?;
        let without_agent = failure_of(start_booking(&caller).await)?;
        for failure in [at_capacity, refused, without_agent] {
            assert_eq!(failure.outcome, FailureOutcome::NotRun, "{}", failure.message);
        }
        assert_eq!(fleet.servers[0].total_runs().await?, 1);
        Ok(())
    })
}

#[test]
fn a_chat_that_may_have_run_is_not_reported_not_run_after_a_further_refusal() -> TestResult {
    with_fleet(two_engines(), async |fleet| {
        let caller = caller_of(fleet)?;
        let (chat, _) = long_chat();
        let home = server_index(fleet, &caller.chat(&chat).await?)?;
        fleet.servers[1 - home].agent.kill()?;
        let link = fleet.link(0, home)?;
        link.hold_ways(FaultyWays::ToClient).await?;
        let (second, again) = (caller.clone(), chat.clone());
        let second = monoio::spawn(async move { second.chat_once(&again, &[]).await });
        fleet.servers[home].wait_runs(2).await?;
        let hold = FaultyWays::ToClient;
        link.set(LinkFaults { hold, refuse: true, ..LinkFaults::default() }).await?;
        link.cut().await?;
        assert_eq!(second.await.reported_outcome(), Some(FailureOutcome::Unknown));
        Ok(())
    })
}

#[test]
fn a_chat_lost_on_a_silent_connection_to_its_engine_is_sent_again() -> TestResult {
    let plan = FleetPlan::builder().routers(1).engines(1).services(0).faulty_links(true);
    let plan = plan.agent_server_lines("progress_within = 300ms".to_string()).build();
    with_fleet(plan, async |fleet| {
        let caller = caller_of(fleet)?;
        let (chat, expected) = long_chat();
        caller.chat(&chat).await?;
        fleet.servers[0].link()?.silence().await?;
        assert_eq!(caller.chat(&chat).await?.text, expected);
        let streams = "papayamux_agent_server_streams_total";
        let metrics = fleet.servers[0].agent.metrics().await?;
        assert_eq!(metrics.sum(streams, "reason=\"gone\""), 1.0);
        assert_eq!(fleet.servers[0].total_runs().await?, 2);
        Ok(())
    })
}

#[test]
fn a_booking_under_way_to_an_agent_that_ends_is_refused_and_not_lost() -> TestResult {
    with_fleet(one_service(), async |fleet| {
        let caller = caller_of(fleet)?;
        let CallerOutcome::Answered(_) = start_booking(&caller).await else {
            panic!("no answer without a fault")
        };
        let link = fleet.link(0, 0)?;
        link.hold_ways(FaultyWays::ToTarget).await?;
        let booking = start_booking(&caller);
        link.wait_report(|report| report.kept_to_target > 0).await?;
        fleet.servers[0].agent.terminate()?;
        fleet.servers[0].agent.wait_for_line("agent drains", TIMEOUT)?;
        link.heal().await?;
        let failure = failure_of(booking.await)?;
        assert_eq!(failure.outcome, FailureOutcome::NotRun, "{}", failure.message);
        assert!(fleet.servers[0].agent.wait_exit(TIMEOUT)?.success());
        assert_eq!(fleet.servers[0].total_runs().await?, 1);
        Ok(())
    })
}

#[test]
fn a_restarted_agent_refuses_what_was_meant_for_its_predecessor() -> TestResult {
    with_fleet(one_service(), async |fleet| {
        let before: AgentStatus = fleet.servers[0].agent.status().await?;
        fleet.restart_agent(0)?;
        let after: AgentStatus = fleet.servers[0].agent.status().await?;
        assert_ne!(before.incarnation, after.incarnation);
        let address = fleet.servers[0].agent.listen()?;
        let notice = offer_to(address, before.incarnation.parse()?, AgentClock(u64::MAX)).await?;
        assert_eq!(notice, RefusalReason::WrongIncarnation);
        assert_eq!(fleet.servers[0].total_runs().await?, 0);
        let caller = caller_of(fleet)?;
        let CallerOutcome::Answered(_) = start_booking(&caller).await else {
            panic!("no answer without a fault")
        };
        Ok(())
    })
}

/// Sends a booking like a router to the incarnation `agent` of an agent, and returns the reason of
/// its refusal.
async fn offer_to(
    address: std::net::SocketAddr,
    agent: Incarnation,
    start_before: AgentClock,
) -> Result<RefusalReason, Box<dyn Error>> {
    let stream = TcpStream::connect_addr(address).await?;
    let (sender, mut receiver) = start_link::<RouterFrame, AgentFrame, RouterMessage>(stream)?;
    let incarnation = Incarnation::generate();
    let domain = "a".parse()?;
    let hello = RouterHello { version: PROTOCOL_VERSION, incarnation, domain, nonce: None };
    let open = OpenRequest {
        id: RequestIdSource::new(incarnation).generate(),
        agent,
        organisation: "yanchang-desk".parse()?,
        priority: 0,
        start_before,
        retry_rule: RetryRule::AtMostOnce(None),
        claim: None,
        chat: None,
        method: "POST".to_string(),
        path: "/tickets".to_string(),
        headers: Vec::new(),
        body: Bytes::new(),
        placement: PlacementRule::default(),
        sent_after: papayamux_state::crash_record::CrashRecord::default(),
    };
    sender.send(0, RouterMessage::Hello(hello));
    sender.send(1, RouterMessage::Open(Box::new(open)));
    while let Some(received) = receiver.receive().await {
        if let Addressed { stream: 1, message: AgentMessage::Refused(notice) } = received? {
            return Ok(notice.reason);
        }
    }
    Err("the agent closed the connection".into())
}
