//! Servers beside agents that answer with bytes without end: memory stays bounded, other callers are served, and
//! nobody gets the bytes as an answer.

use std::error::Error;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use papayamux_protocol::chat::ChatMessage;
use papayamux_protocol::engine::CHAT_PATH;
use papayamux_testbed::{chat_request, Caller, Fleet, FleetPlan, FLEET_MODEL};
use papayamux_transport::runtime;

type TestResult = Result<(), Box<dyn Error>>;

const ORGANISATION: &str = "yanchang-desk";
/// Time within which a request to an endless server must end, in a debug build on a busy machine.
const END_TIMEOUT: Duration = Duration::from_secs(15);
/// Time within which a call at a sound server must end meanwhile.
const SOUND_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Memory that one endless answer may take at a process.
const MAX_MEMORY_GROWTH: u64 = 24 * 1024 * 1024;

/// The last chunk of a complete body.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";
/// Size of a head with the event that reports the failure.
const MAX_HEAD_BYTES: usize = 4 * 1024;
/// Size limit of an answer, and of its head and the framing of its chunks.
const MAX_ANSWER_BYTES: usize = 18 * 1024 * 1024;

/// Starts a router before an engine and a service, of which those with `arguments` are endless.
fn start(engine: &[&str], service: &[&str]) -> Result<Fleet, Box<dyn Error>> {
    let owned = |arguments: &[&str]| arguments.iter().map(|text| text.to_string()).collect();
    let plan = FleetPlan::builder().engines(1).services(1).routers(1);
    let plan = plan.engine_arguments(owned(engine)).service_arguments(owned(service)).build();
    Ok(Fleet::start(plan)?)
}

/// What a caller has received when the connection has ended.
#[derive(Debug)]
struct ReceivedAnswer {
    bytes: usize,
    is_whole: bool,
}

/// Sends a request and reads what comes until the connection ends.
fn read_to_end(router: SocketAddr, path: &str, body: &[u8]) -> std::io::Result<ReceivedAnswer> {
    let started_at = Instant::now();
    let mut stream = TcpStream::connect(router)?;
    stream.set_read_timeout(Some(END_TIMEOUT))?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nx-papayamux-organisation: {ORGANISATION}\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let (mut count, mut end, mut buffer) = (0, Vec::new(), vec![0; 64 * 1024]);
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        count += length;
        end.extend_from_slice(&buffer[..length]);
        end.drain(..end.len().saturating_sub(LAST_CHUNK.len()));
        if started_at.elapsed() > END_TIMEOUT {
            return Err(std::io::Error::other(format!("{count} bytes and no end")));
        }
    }
    Ok(ReceivedAnswer { bytes: count, is_whole: end == LAST_CHUNK })
}

fn peak_memory(fleet: &Fleet) -> Result<Vec<u64>, Box<dyn Error>> {
    let agents = fleet.servers.iter().map(|server| &server.agent);
    let peaks = agents.chain(&fleet.routers).map(|process| Ok(process.usage()?.peak.get()));
    peaks.collect()
}

/// Sends a request to the endless server beside calls to the other one, and checks that it is cut off after at
/// most `max_bytes`, that the others are answered in time, and that memory stays bounded.
async fn check_endless(
    fleet: &Fleet,
    endless: (&'static str, Bytes),
    sound: (&str, Bytes),
    max_bytes: usize,
) -> TestResult {
    let router = fleet.routers[0].listen()?;
    let before = peak_memory(fleet)?;
    let (path, body) = endless;
    let reading = std::thread::spawn(move || read_to_end(router, path, &body));
    while !reading.is_finished() {
        let caller = Caller::new(router, ORGANISATION);
        let call = caller.call(Method::POST, sound.0, &[], sound.1.clone());
        let (status, _) = monoio::time::timeout(SOUND_CALL_TIMEOUT, call).await??;
        assert_eq!(status, StatusCode::OK);
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    let answer = reading.join().map_err(|_| "the caller panicked")??;
    assert!(!answer.is_whole && answer.bytes < max_bytes, "{answer:?}");
    for (before, after) in before.iter().zip(peak_memory(fleet)?) {
        let growth = after.saturating_sub(*before);
        assert!(growth < MAX_MEMORY_GROWTH, "{growth} bytes");
    }
    Ok(())
}

fn chat(stream: bool) -> Result<Bytes, Box<dyn Error>> {
    let content = "Draft a day at the salt mines.".to_string();
    let message = ChatMessage { role: "user".to_string(), content };
    let mut request = chat_request(FLEET_MODEL, vec![message], 2);
    request.stream = stream;
    Ok(serde_json::to_vec(&request)?.into())
}

#[test]
fn endless_bytes_of_an_engine_are_no_chat() -> TestResult {
    let fleet = start(&["--endless"], &[])?;
    runtime::run(async {
        let sound = || ("/tickets/one", Bytes::from_static(b"{}"));
        check_endless(&fleet, (CHAT_PATH, chat(true)?), sound(), MAX_HEAD_BYTES).await
    })?
}

#[test]
fn endless_answer_of_a_service_is_cut_off_at_the_size_limit() -> TestResult {
    let fleet = start(&[], &["--endless"])?;
    runtime::run(async {
        let endless = || ("/tickets/one", Bytes::from_static(b"{}"));
        check_endless(&fleet, endless(), (CHAT_PATH, chat(false)?), MAX_ANSWER_BYTES).await
    })?
}
