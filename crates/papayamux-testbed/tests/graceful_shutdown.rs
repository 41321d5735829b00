//! A graceful shutdown truncates no stream, and a draining server gets no new work.

use std::error::Error;
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

use nix::sys::signal::Signal;
use papayamux_protocol::chat::{ChatMessage, ChatRequest};
use papayamux_protocol::engine::render_prompt;
use papayamux_standins::engine::expected_answer;
use papayamux_testbed::{chat_request, Caller, ChatStream, Fleet, FleetPlan, FLEET_MODEL};
use papayamux_transport::runtime;

type TestResult = Result<(), Box<dyn Error>>;

const TOKENS: u32 = 300;
const TIMEOUT: Duration = Duration::from_secs(30);

fn chat(text: &str) -> ChatRequest {
    let message = ChatMessage { role: "user".to_string(), content: text.to_string() };
    chat_request(FLEET_MODEL, vec![message], TOKENS)
}

fn expected(request: &ChatRequest) -> String {
    expected_answer(FLEET_MODEL, &render_prompt(&request.messages), Some(TOKENS))
}

fn plan(engines: usize) -> FleetPlan {
    FleetPlan::builder().routers(1).engines(engines).services(0).faulty_links(true).build()
}

fn with_fleet(plan: FleetPlan, test: impl AsyncFnOnce(&mut Fleet) -> TestResult) -> TestResult {
    let mut fleet = Fleet::start(plan)?;
    runtime::run(test(&mut fleet))?
}

async fn begin_chat(fleet: &Fleet, request: &ChatRequest) -> Result<ChatStream, Box<dyn Error>> {
    let caller = Caller::new(fleet.routers[0].listen()?, "yanchang-desk");
    let mut stream = ChatStream::start(&caller, request, None).await?;
    stream.read_events(20).await?;
    Ok(stream)
}

#[test]
fn a_terminated_router_truncates_no_stream() -> TestResult {
    with_fleet(plan(1), async |fleet| {
        let request = chat("Which gate is nearest to the coach park?");
        let mut idle = TcpStream::connect(fleet.routers[0].listen()?)?;
        let mut stream = begin_chat(fleet, &request).await?;
        fleet.routers[0].signal(Signal::SIGTERM)?;
        fleet.routers[0].wait_for_line("router drains", TIMEOUT)?;
        stream.read_rest().await?;
        assert!(stream.is_whole);
        assert_eq!(stream.text, expected(&request));
        assert!(fleet.routers[0].wait_exit(TIMEOUT)?.success());
        assert_eq!(idle.read(&mut [0; 1])?, 0);
        Ok(())
    })
}

#[test]
fn a_terminated_agent_truncates_no_stream_even_if_its_link_breaks() -> TestResult {
    with_fleet(plan(1), async |fleet| {
        let request = chat("Which gate is nearest to the station?");
        let mut stream = begin_chat(fleet, &request).await?;
        fleet.servers[0].agent.signal(Signal::SIGTERM)?;
        fleet.servers[0].agent.wait_for_line("agent drains", TIMEOUT)?;
        stream.read_events(20).await?;
        fleet.link(0, 0)?.cut().await?;
        stream.read_rest().await?;
        assert!(stream.is_whole);
        assert_eq!(stream.text, expected(&request));
        assert!(fleet.servers[0].agent.wait_exit(TIMEOUT)?.success());
        Ok(())
    })
}

#[test]
fn a_second_signal_exits_at_once_and_logs_what_it_truncated() -> TestResult {
    with_fleet(plan(1), async |fleet| {
        let stream = begin_chat(fleet, &chat("How long is the tour?")).await?;
        for process in [&mut fleet.routers[0], &mut fleet.servers[0].agent] {
            process.signal(Signal::SIGTERM)?;
            process.wait_for_line("drains", TIMEOUT)?;
            process.signal(Signal::SIGTERM)?;
            let line = process.wait_for_line("drain cut off", TIMEOUT)?;
            assert_eq!(line["requests"].to_string().trim_matches('"'), "1");
            assert_eq!(process.wait_exit(TIMEOUT)?.code(), Some(1));
        }
        drop(stream);
        Ok(())
    })
}

#[test]
fn a_draining_agent_gets_no_new_work() -> TestResult {
    with_fleet(plan(2), async |fleet| {
        let request = chat("Which mine has the longest slide?");
        let mut stream = begin_chat(fleet, &request).await?;
        let busy = match fleet.servers[0].total_runs().await? {
            0 => 1,
            _ => 0,
        };
        fleet.servers[busy].agent.signal(Signal::SIGTERM)?;
        fleet.servers[busy].agent.wait_for_line("agent drains", TIMEOUT)?;
        let caller = Caller::new(fleet.routers[0].listen()?, "yanchang-desk");
        for number in 0..20 {
            let mut other = chat(&format!("Visitor {number} asks for the opening hours."));
            other.max_tokens = Some(4);
            let answer = caller.chat(&other).await?;
            assert_eq!(answer.server, fleet.servers[1 - busy].name);
        }
        stream.read_rest().await?;
        assert_eq!(stream.text, expected(&request));
        assert_eq!(fleet.servers[busy].total_runs().await?, 1);
        assert!(fleet.servers[busy].agent.wait_exit(TIMEOUT)?.success());
        Ok(())
    })
}
