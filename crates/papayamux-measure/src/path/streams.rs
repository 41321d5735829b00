//! Measures events relayed per second per core, and memory per open stream.

use std::cell::Cell;
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use papayamux_protocol::chat::ChatMessage;
use papayamux_protocol::engine::CHAT_PATH;
use papayamux_testbed::{chat_request, Caller, EventCounter, Fleet, ProcessHandle, FLEET_MODEL};
use serde_json::json;

use super::throughput::CpuMeter;

/// The number of open streams while events are counted.
const STREAMS: usize = 200;
/// The number of open streams at the second memory reading.
const MANY_STREAMS: usize = 1_000;
/// The number of tokens in each answer, too many to complete during the measurement.
const TOKENS: u32 = 1_000_000;
/// The period in which events are counted.
const COUNT_DURATION: Duration = Duration::from_secs(4);
/// Wait for streams to settle.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// The number of events received by all streams.
type EventCount = Rc<Cell<u64>>;

async fn read_stream(caller: Caller, number: usize, events: EventCount) -> Option<()> {
    let content = format!("stream number {number}");
    let message = ChatMessage { role: "user".to_string(), content };
    let request = chat_request(FLEET_MODEL, vec![message], TOKENS);
    let body = serde_json::to_vec(&request).ok()?;
    let mut answer = caller.send(Method::POST, CHAT_PATH, &[], body.into()).await.ok()?;
    let mut counter = EventCounter::default();
    while let Some(Ok(piece)) = answer.next_piece().await {
        let ended = counter.read(&piece);
        events.set(events.get() + ended as u64);
    }
    Some(())
}

fn open_streams(caller: &Caller, numbers: std::ops::Range<usize>, events: &EventCount) {
    for number in numbers {
        monoio::spawn(read_stream(caller.clone(), number, events.clone()));
    }
}

fn resident_kib(process: &ProcessHandle) -> Result<f64, Box<dyn Error>> {
    Ok(process.usage()?.resident.get() as f64 / 1_024.0)
}

/// Measures streams that stay open for the whole measurement.
pub async fn measure_streams(fleet: &Fleet) -> Result<serde_json::Value, Box<dyn Error>> {
    let engine = fleet.servers.iter().find(|server| server.name.starts_with("engine"));
    let agent = &engine.ok_or("the fleet has no engine")?.agent;
    let router = &fleet.routers[0];
    let caller = Caller::new(router.listen()?, "measure");
    let events: EventCount = Rc::default();
    open_streams(&caller, 0..STREAMS, &events);
    monoio::time::sleep(SETTLE_TIME).await;
    let few = [resident_kib(router)?, resident_kib(agent)?];
    let (before, meter) = (events.get(), CpuMeter::start(router, agent)?);
    monoio::time::sleep(COUNT_DURATION).await;
    let relayed = (events.get() - before) as f64;
    let reading = meter.read()?;
    open_streams(&caller, STREAMS..MANY_STREAMS, &events);
    monoio::time::sleep(SETTLE_TIME + COUNT_DURATION).await;
    let many = [resident_kib(router)?, resident_kib(agent)?];
    let added = (MANY_STREAMS - STREAMS) as f64;
    let [router_cores, agent_cores] = reading.cores;
    Ok(json!({
        "measure": "streams",
        "streams": STREAMS,
        "events_per_s": relayed / reading.seconds,
        "router_core_share": router_cores / reading.seconds,
        "agent_core_share": agent_cores / reading.seconds,
        "events_per_s_per_router_core": relayed / router_cores,
        "events_per_s_per_agent_core": relayed / agent_cores,
        "events_per_s_per_core_of_both": relayed / (router_cores + agent_cores),
        "router_kib_per_stream": (many[0] - few[0]) / added,
        "agent_kib_per_stream": (many[1] - few[1]) / added,
    }))
}
