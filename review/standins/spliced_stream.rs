//! A runner crashes in the middle of a stream whose length it has declared, and the stream goes on at
//! another runner.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::deployment::{Client, Deployment, ENGINE_SERVICE};
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::runner::{Runner, RunnerKind};
use crate::Outcome;

/// One of six crashes, within the share of 0.17 that the site names.
const RUNNERS: usize = 6;
const SLOTS: u32 = 64;
const CLIENTS: usize = 60;
const EVENTS: u64 = 20;
const PAUSE: Duration = Duration::from_millis(50);
/// Time after the clients' start at which the runner crashes, in the middle of the streams.
const CRASH_AFTER: Duration = Duration::from_millis(500);
/// Time for which the routers run before the clients come, as before the traffic of a day.
const LEAD: Duration = Duration::from_secs(11);
const WORDS: [&str; 6] = ["salt", "mine", "tour", "visitors", "itinerary", "reservation"];

pub fn run(record: &Record, has_trouble: bool) -> std::io::Result<Outcome> {
    let mut deployment = Deployment::new()?;
    let resumed = Arc::new(Mutex::new(0));
    let mut runners = Vec::new();
    for index in 0..RUNNERS {
        let kind = RunnerKind { service: ENGINE_SERVICE, slots: SLOTS, is_engine: true };
        let (record, resumed) = (record.clone(), resumed.clone());
        runners.push(Runner::start(
            &deployment.runner_ip,
            &format!("i-llm-{index}"),
            kind,
            &deployment.store,
            move |runner, request, connection| {
                stream(runner, request, connection, &resumed, &record)
            },
        )?);
    }
    if !deployment.start_routers(2)? {
        return Ok(Outcome { breaches: Vec::new(), void: Some("no router is ready".to_string()) });
    }
    record.add("the routers are ready");
    std::thread::sleep(LEAD);
    let routers: Vec<_> = deployment.routers.iter().map(|router| router.callers).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (router, record) = (routers[number % routers.len()], record.clone());
            std::thread::spawn(move || call(router, number, &record))
        })
        .collect();
    std::thread::sleep(CRASH_AFTER);
    if has_trouble {
        // The busiest one, so that the crash meets streams.
        if let Some(runner) = runners.iter().max_by_key(|runner| runner.running()) {
            record.add(format!("{} crashes with {} streams", runner.id, runner.running()));
            runner.crash();
        }
    }
    let results = clients.into_iter().filter_map(|client| client.join().ok());
    let breaches: Vec<_> = results.flatten().collect();
    let resumed = *resumed.lock().unwrap();
    record.add(format!("{resumed} streams went on at another runner"));
    let void = (has_trouble && resumed == 0).then(|| "the crash met no stream".to_string());
    Ok(Outcome { breaches, void })
}

/// Streams the events after the one that the request names. The words are drawn anew for each run.
fn stream(
    runner: &Runner,
    request: &Message,
    connection: &mut Connection,
    resumed: &Mutex<u32>,
    record: &Record,
) -> bool {
    let id = request.header("attempt-id").unwrap_or_default();
    let after: u64 =
        request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut seed = hash(&format!("{id} {}", runner.id));
    let events: Vec<_> = (after + 1..=EVENTS)
        .map(|event| {
            let count = 3 + draw(&mut seed) % 6;
            let words: Vec<_> = (0..count).map(|_| WORDS[draw(&mut seed) % WORDS.len()]).collect();
            format!("id: {event}\ndata: {{\"text\":\"{}\"}}\n\n", words.join(" "))
        })
        .collect();
    let length: usize = events.iter().map(String::len).sum();
    record.add(format!("{} runs {id} after event {after}: {length} bytes", runner.id));
    if after > 0 {
        *resumed.lock().unwrap() += 1;
    }
    let head = runner.head(request, "200 OK", true);
    let head = format!("{head}Content-Type: text/event-stream\r\nContent-Length: {length}\r\n\r\n");
    if !connection.send(&head) {
        return false;
    }
    for event in events {
        std::thread::sleep(PAUSE);
        if runner.has_crashed() || !connection.send(&event) {
            record.add(format!("{}: its stream of {id} is cut off", runner.id));
            return false;
        }
    }
    record.add(format!("{} has sent the last event of {id}", runner.id));
    true
}

/// Requests one stream, and returns the breach that its answer shows.
fn call(router: SocketAddr, number: usize, record: &Record) -> Option<String> {
    let id = format!("c{number:015x}");
    let mut client = Client::connect(router)?;
    let headers = format!(
        "Model: m\r\nToken-Counts: 820,100\r\nPrompt-Prefix: 5c1e07a2:119,{:08x}:580,{:08x}:121\r\n\
         Deadline-Milliseconds: 15000\r\n",
        0x91bd_0000 + number / 3,
        0xe440_0000u32 + number as u32
    );
    record.add(format!("client {number} sends POST /chat/1 {id}"));
    if !client.send("POST", "/chat/1", &id, &headers, "{}") {
        record.add(format!("client {number} could not send"));
        return None;
    }
    let Some(answer) = client.read() else {
        record.add(format!("client {number} gets no answer for {id}"));
        return None;
    };
    let text = answer.text();
    // What follows the last empty line is part of an event.
    let (events, rest) = match text.rfind("\n\n") {
        Some(end) => text.split_at(end + 2),
        None => ("", text.as_str()),
    };
    let ids: Vec<u64> = events
        .lines()
        .filter_map(|line| line.strip_prefix("id: ").and_then(|id| id.parse().ok()))
        .collect();
    let last = ids.last().copied().unwrap_or(0);
    let end = if answer.is_whole { "complete" } else { "cut off" };
    record.add(format!(
        "client {number} gets {} for {id}, {end}: Content-Length {}, {} bytes, {} whole events up to {last}, \
         then {rest:?}",
        answer.status(),
        answer.header("content-length").unwrap_or("none"),
        text.len(),
        ids.len(),
    ));
    if answer.status() != 200 {
        return None;
    }
    if !ids.iter().copied().eq(1..=last) {
        return Some(format!("ORDER: a piece of {id} is missing or comes twice"));
    }
    let is_all = last == EVENTS && rest.is_empty();
    (answer.is_whole && !is_all).then(|| {
        format!("ORDER: {id} ends as complete after event {last} of {EVENTS}, then {rest:?}")
    })
}

fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn draw(seed: &mut u64) -> usize {
    *seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*seed >> 33) as usize
}
