//! Malformed and hostile input on every port gets a clear error, and the process continues to
//! serve.

use std::error::Error;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use papayamux_testbed::{Caller, Fleet, FleetPlan, FLEET_PATH};
use papayamux_transport::runtime;

type TestResult = Result<(), Box<dyn Error>>;

/// Maximum time until a port answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends bytes and reads until the peer closes the connection or has sent at least `enough` bytes.
fn exchange(address: SocketAddr, bytes: &[u8], enough: usize) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    // A write error is ignored: the peer may answer and close before it has read everything.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    while answer.len() < enough {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => break,
            Err(error) => return Err(error),
        }
    }
    Ok(answer)
}

fn status_of(address: SocketAddr, request: &str) -> Result<String, Box<dyn Error>> {
    let answer = exchange(address, request.as_bytes(), "HTTP/1.1 200".len())?;
    let text = String::from_utf8_lossy(&answer);
    Ok(text.split(' ').nth(1).unwrap_or("closed").to_string())
}

async fn assert_serves(fleet: &Fleet) -> TestResult {
    let caller = Caller::new(fleet.routers[0].listen()?, "yanchang-desk");
    let (status, _) = caller.call(Method::GET, FLEET_PATH, &[], Bytes::new()).await?;
    assert!(status.is_success());
    Ok(())
}

fn metric(fleet_port: SocketAddr, name: &str) -> Result<String, Box<dyn Error>> {
    let request = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let text = exchange(fleet_port, request.as_bytes(), usize::MAX)?;
    let text = String::from_utf8(text)?;
    let line = text.lines().find(|line| line.starts_with(name));
    Ok(line.and_then(|line| line.rsplit(' ').next()).unwrap_or("0").to_string())
}

#[test]
fn callers_port_refuses_malformed_requests() -> TestResult {
    let fleet = Fleet::start(FleetPlan::builder().routers(1).engines(0).build())?;
    let port = fleet.routers[0].listen()?;
    let head = "POST /tickets HTTP/1.1\r\nhost: x\r\nx-papayamux-organisation: a\r\n";
    let long = "a".repeat(300 * 1024);
    let many: String = (0..200).map(|index| format!("h{index}: v\r\n")).collect();
    let cases = [
        (format!("{head}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd"), "400"),
        (format!("{head}content-length: 3, 4\r\n\r\nabcd"), "400"),
        (format!("{head}content-length: -1\r\n\r\n"), "400"),
        (format!("{head}transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n"), "400"),
        (format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\n"), "400"),
        (format!("{head}long: {long}\r\n\r\n"), "431"),
        (format!("{head}{many}\r\n"), "431"),
        (format!("GET /{long} HTTP/1.1\r\n\r\n"), "431"),
        ("GARBAGE\r\n\r\n".to_string(), "400"),
        ("\u{0}\u{1}\u{2}\u{3}".repeat(30_000), "400"),
        ("POST /tickets HTTP/1.1\r\nhost: x\r\n\r\n".to_string(), "401"),
        ("POST /tickets HTTP/1.1\r\nx-papayamux-organisation: \u{1}\r\n\r\n".to_string(), "400"),
    ];
    for (request, expected) in &cases {
        let shown: String = request.chars().take(90).collect();
        assert_eq!(status_of(port, request)?, *expected, "{shown:?}");
    }
    runtime::run(assert_serves(&fleet))?
}

#[test]
fn a_request_with_length_and_chunks_hides_no_second_request() -> TestResult {
    let fleet = Fleet::start(FleetPlan::builder().routers(1).engines(0).build())?;
    let request = "POST /tickets HTTP/1.1\r\nhost: x\r\nx-papayamux-organisation: a\r\n\
                   content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n\
                   GET /tickets/hidden HTTP/1.1\r\nhost: x\r\nx-papayamux-organisation: a\r\n\r\n";
    let answer = exchange(fleet.routers[0].listen()?, request.as_bytes(), usize::MAX)?;
    let answer = String::from_utf8_lossy(&answer);
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    assert!(!answer.contains("hidden"));
    runtime::run(assert_serves(&fleet))?
}

#[test]
fn agents_port_refuses_broken_frames() -> TestResult {
    let fleet = Fleet::start(FleetPlan::builder().routers(1).engines(0).build())?;
    let agent = &fleet.servers[0].agent;
    let cases: [&[u8]; 5] = [
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x02\xff\xff",
        b"\x00\x00\x00\x00",
        b"\x00\x00\x00\x02\x30\x07",
        b"GET / HTTP/1.1\r\n\r\n",
    ];
    for frame in cases {
        let answer = exchange(agent.listen()?, frame, usize::MAX)?;
        assert!(answer.is_empty(), "{frame:?} was answered by {answer:?}");
    }
    let operations = agent.operations()?;
    let broken = metric(operations, "papayamux_agent_link_failures_total{reason=\"broken\"}")?;
    let no_hello = metric(operations, "papayamux_agent_link_failures_total{reason=\"no_hello\"}")?;
    assert_eq!((broken.as_str(), no_hello.as_str()), ("4", "1"));
    runtime::run(assert_serves(&fleet))?
}

#[test]
fn operators_port_answers_what_it_does_not_know() -> TestResult {
    let fleet = Fleet::start(FleetPlan::builder().routers(1).engines(0).build())?;
    for process in [&fleet.routers[0], &fleet.servers[0].agent] {
        let port = process.operations()?;
        let cases = [
            ("GET /ready HTTP/1.1\r\nhost: x\r\n\r\n", "200"),
            ("GET /status HTTP/1.1\r\nhost: x\r\n\r\n", "200"),
            ("GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n", "200"),
            ("POST /status HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n", "405"),
            ("GET /secrets HTTP/1.1\r\nhost: x\r\n\r\n", "404"),
        ];
        for (request, expected) in cases {
            assert_eq!(status_of(port, request)?, expected, "{request:?}");
        }
    }
    Ok(())
}
