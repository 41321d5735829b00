//! Crowds of callers before a router with agents: every process lives and keeps to its memory, and ordinary callers
//! are answered.

use std::error::Error;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use papayamux_testbed::{Caller, Fleet, FleetPlan, ProcessHandle, FLEET_PATH};
use papayamux_transport::runtime;

type TestResult = Result<(), Box<dyn Error>>;

const ORGANISATION: &str = "yanchang-desk";
/// Memory of each instance.
const INSTANCE_MEMORY: u64 = 64 * 1024 * 1024;
/// Limit of a body in the settings.
const BODY_BYTES: usize = 1024 * 1024;
const CROWD: usize = 160;
const PIECE_BYTES: usize = 64 * 1024;
/// Time within which an ordinary caller that tries again and again must be answered.
const PATIENCE: Duration = Duration::from_secs(20);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time that a request takes at the server.
const CALL_MILLIS: &str = "1500";

fn start() -> Result<Fleet, Box<dyn Error>> {
    let arguments = ["--call-ms", CALL_MILLIS].map(str::to_string).into();
    let memory = format!("memory_mb = {}\n", INSTANCE_MEMORY as f64 / 1e6);
    let lines = format!("longest_body = {BODY_BYTES}\n{memory}");
    let plan = FleetPlan::builder().engines(0).services(1).routers(1);
    let plan = plan.service_arguments(arguments).router_lines(lines).agent_lines(memory);
    Ok(Fleet::start(plan.build())?)
}

/// Callers that each send a head that ends with `framing` and some bytes of a body, and then keep their
/// connections open.
struct CallerCrowd {
    callers: Vec<JoinHandle<()>>,
    leaves: Arc<AtomicBool>,
    acted: Arc<AtomicUsize>,
}

impl CallerCrowd {
    fn start(address: SocketAddr, framing: &'static str, bytes: usize) -> Self {
        let (leaves, acted) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let callers = (0..CROWD).map(|_| {
            let (leaves, acted) = (leaves.clone(), acted.clone());
            std::thread::spawn(move || {
                let stream = TcpStream::connect(address);
                if let Ok(stream) = &stream {
                    send_body(stream, framing, bytes, &leaves);
                }
                acted.fetch_add(1, Ordering::Relaxed);
                while !leaves.load(Ordering::Relaxed) {
                    std::thread::sleep(RETRY_PAUSE);
                }
            })
        });
        Self { callers: callers.collect(), leaves, acted }
    }

    fn wait_until_acted(&self) {
        let started_at = Instant::now();
        while self.acted.load(Ordering::Relaxed) < CROWD && started_at.elapsed() < PATIENCE {
            std::thread::sleep(RETRY_PAUSE);
        }
    }

    fn leave(self) {
        self.leaves.store(true, Ordering::Relaxed);
        for caller in self.callers {
            assert!(caller.join().is_ok(), "a caller panicked");
        }
    }
}

/// Sends a request until all is sent, the router closes the connection or the crowd leaves.
fn send_body(mut stream: &TcpStream, framing: &str, bytes: usize, leaves: &AtomicBool) {
    if stream.set_write_timeout(Some(RETRY_PAUSE)).is_err() {
        return;
    }
    let mut text = format!(
        "POST {FLEET_PATH} HTTP/1.1\r\nhost: x\r\nx-papayamux-organisation: {ORGANISATION}\r\n\
         {framing}"
    )
    .into_bytes();
    text.resize(text.len() + bytes, b'x');
    let mut left = text.as_slice();
    while !left.is_empty() && !leaves.load(Ordering::Relaxed) {
        match stream.write(&left[..left.len().min(PIECE_BYTES)]) {
            Ok(count) => left = &left[count..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

async fn check_call(fleet: &Fleet, body: Bytes, when: &str) -> TestResult {
    let started_at = Instant::now();
    loop {
        let caller = Caller::new(fleet.routers[0].listen()?, ORGANISATION);
        let call = caller.call(Method::POST, FLEET_PATH, &[], body.clone());
        if matches!(call.await, Ok((StatusCode::OK, _))) {
            return Ok(());
        }
        assert!(started_at.elapsed() < PATIENCE, "{when}: no answer");
        monoio::time::sleep(RETRY_PAUSE).await;
    }
}

fn check_process(name: &str, process: &ProcessHandle) -> TestResult {
    let peak = process.usage()?.peak.get();
    println!("{name}: peak of {peak} bytes");
    assert!(peak < INSTANCE_MEMORY, "{name}: {peak} bytes");
    Ok(())
}

fn check_crowd(framing: &'static str, bytes: usize) -> TestResult {
    let fleet = start()?;
    let crowd = CallerCrowd::start(fleet.routers[0].listen()?, framing, bytes);
    crowd.wait_until_acted();
    runtime::run(async {
        check_call(&fleet, Bytes::from_static(b"{}"), "beside the crowd").await?;
        crowd.leave();
        check_call(&fleet, Bytes::from(vec![b'x'; BODY_BYTES]), "in calm").await
    })??;
    check_process("router", &fleet.routers[0])?;
    check_process("agent", &fleet.servers[0].agent)
}

#[test]
fn bodies_one_byte_short_are_within_memory_beside_agents() -> TestResult {
    check_crowd("content-length: 1048576\r\n\r\n", BODY_BYTES - 1)
}

#[test]
fn chunk_without_an_end_is_within_memory_beside_agents() -> TestResult {
    check_crowd("transfer-encoding: chunked\r\n\r\n100001\r\n", BODY_BYTES - 1)
}

#[test]
fn complete_bodies_are_within_memory_beside_agents() -> TestResult {
    check_crowd("content-length: 1048576\r\n\r\n", BODY_BYTES)
}
