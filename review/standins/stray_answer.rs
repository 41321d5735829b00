//! A runner sends additional bytes after a complete response, which belong to no request.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::deployment::{Client, Deployment, PLAIN_SERVICE};
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::runner::{Runner, RunnerKind};
use crate::Outcome;

/// What a full runner answers, without the identifier of any request.
const STRAY: &str =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const RUNNERS: usize = 3;
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(15);
/// One in so many answers of the faulty runner is followed by stray bytes: 3 in 100 at most.
const ANSWERS_PER_STRAY: u64 = 34;
const CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(30);
const CALM: Duration = Duration::from_secs(2);
const TROUBLE: Duration = Duration::from_secs(5);

#[derive(Default)]
struct FaultyRunner {
    is_active: AtomicBool,
    /// `true` once stray bytes were sent.
    has_sent: AtomicBool,
    answers: Mutex<u64>,
    /// Connections on which stray bytes come where the next answer is expected.
    due: Mutex<HashSet<SocketAddr>>,
}

/// Runs of each request, by its identifier.
type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

pub fn run(record: &Record, has_trouble: bool) -> std::io::Result<Outcome> {
    let mut deployment = Deployment::new()?;
    let runs: Runs = Arc::default();
    let fault = Arc::new(FaultyRunner::default());
    for index in 0..RUNNERS {
        let kind = RunnerKind { service: PLAIN_SERVICE, slots: SLOTS, is_engine: false };
        let (runs, record) = (runs.clone(), record.clone());
        let fault = (index == 0).then(|| fault.clone());
        Runner::start(
            &deployment.runner_ip,
            &format!("i-core-{index}"),
            kind,
            &deployment.store,
            move |runner, request, connection| {
                answer(runner, request, connection, fault.as_deref(), &runs, &record)
            },
        )?;
    }
    if !deployment.start_routers(2)? {
        return Ok(Outcome { breaches: Vec::new(), void: Some("no router is ready".to_string()) });
    }
    record.add("the routers are ready");
    let routers: Vec<_> = deployment.routers.iter().map(|router| router.callers).collect();
    let ended = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (router, record) = (routers[number % routers.len()], record.clone());
            let (ended, answers) = (ended.clone(), answers.clone());
            std::thread::spawn(move || call(router, number, &ended, &answers, &record))
        })
        .collect();
    std::thread::sleep(CALM);
    if has_trouble {
        record.add("i-core-0 begins to send additional bytes after some of its answers");
        fault.is_active.store(true, Ordering::SeqCst);
    }
    std::thread::sleep(TROUBLE);
    fault.is_active.store(false, Ordering::SeqCst);
    record.add("the disruption is over");
    std::thread::sleep(CALM);
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    // Runs that are still at work end.
    std::thread::sleep(Duration::from_millis(300));
    let (runs, answers) = (runs.lock().unwrap().clone(), answers.lock().unwrap().clone());
    let mut outcome = judge(&runs, &answers);
    if has_trouble && !fault.has_sent.load(Ordering::SeqCst) {
        outcome.void = Some("no stray bytes were sent".to_string());
    }
    Ok(outcome)
}

fn judge(runs: &HashMap<String, Vec<String>>, answers: &HashMap<String, u16>) -> Outcome {
    let unsafe_runs = runs.iter().filter(|(id, _)| id.starts_with('b'));
    let mut breaches: Vec<_> = unsafe_runs
        .filter(|(_, runners)| runners.len() > 1)
        .map(|(id, runners)| {
            format!("TWICE: unsafe request {id} ran at {}", runners.join(" and at "))
        })
        .collect();
    breaches.sort();
    let void = answers.is_empty().then(|| "no request was answered".to_string());
    Outcome { breaches, void }
}

fn answer(
    runner: &Runner,
    request: &Message,
    connection: &mut Connection,
    fault: Option<&FaultyRunner>,
    runs: &Runs,
    record: &Record,
) -> bool {
    let id = request.header("attempt-id").unwrap_or_default().to_string();
    let peer = connection.stream().peer_addr().ok();
    if let (Some(fault), Some(peer)) = (fault, peer) {
        let is_due = fault.due.lock().unwrap().remove(&peer);
        if is_due && fault.is_active.load(Ordering::SeqCst) {
            fault.has_sent.store(true, Ordering::SeqCst);
            record.add(format!("{} sends stray bytes on the connection from {peer}", runner.id));
            if !connection.send(STRAY) {
                return false;
            }
        }
    }
    record.add(format!("{} runs {id}", runner.id));
    runs.lock().unwrap().entry(id.clone()).or_default().push(runner.id.clone());
    std::thread::sleep(WORK);
    let body = format!("{id} was served by {}", runner.id);
    let head = runner.head(request, "200 OK", true);
    if !connection.send(&format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())) {
        return false;
    }
    if let (Some(fault), Some(peer)) = (fault, peer) {
        let mut answers = fault.answers.lock().unwrap();
        if fault.is_active.load(Ordering::SeqCst) {
            *answers += 1;
            if *answers % ANSWERS_PER_STRAY == 0 {
                fault.due.lock().unwrap().insert(peer);
            }
        }
    }
    true
}

/// Sends one request after the other on a kept connection: four unsafe ones, then a safe one.
fn call(
    router: SocketAddr,
    number: usize,
    ended: &AtomicBool,
    answers: &Mutex<HashMap<String, u16>>,
    record: &Record,
) {
    let mut client = None;
    let mut count = 0u64;
    while !ended.load(Ordering::SeqCst) {
        count += 1;
        let (kind, method, path) = match count % 5 {
            0 => ('a', "GET", "/kiosk/1"),
            _ => ('b', "POST", "/gate/1"),
        };
        let id = format!("{kind}{number:03x}{count:012x}");
        let Some(mut open) = client.take().or_else(|| Client::connect(router)) else {
            std::thread::sleep(PAUSE);
            continue;
        };
        record.add(format!("client {number} sends {method} {path} {id}"));
        let begun = Instant::now();
        let is_sent = open.send(method, path, &id, "Deadline-Milliseconds: 600\r\n", "");
        let answer = is_sent.then(|| open.read()).flatten();
        let ms = begun.elapsed().as_millis();
        match answer {
            Some(answer) => {
                let (status, text) = (answer.status(), answer.text());
                record.add(format!("client {number} gets {status} for {id} in {ms} ms: {text}"));
                answers.lock().unwrap().insert(id, status);
                if !answer.closes() {
                    client = Some(open);
                }
            }
            None => record.add(format!("client {number} gets no answer for {id}")),
        }
        std::thread::sleep(PAUSE);
    }
}
