//! The routers' open connections to the store go silent, and a runner leaves a moment later; several times.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::deployment::{Client, Deployment, PLAIN_SERVICE};
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::runner::{Runner, RunnerKind};
use crate::Outcome;

const ROUTERS: usize = 2;
const RUNNERS: usize = 9;
/// Runners that leave, one in each round.
const ROUNDS: usize = 6;
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(15);
const CLIENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(40);
/// Time for which the routers run before the clients come, as before the traffic of a day.
const LEAD: Duration = Duration::from_secs(10);
const CALM: Duration = Duration::from_secs(4);
/// Time from the silence to the removal of the runner's entry.
const LEAVES_AFTER: Duration = Duration::from_millis(200);
/// Bound after which a runner that has left gets no requests: `drain_ms`.
const DRAIN: Duration = Duration::from_secs(2);
/// Time after a disruption from which machines are in touch: `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time after its leaving at which a runner ends: `drain_ms` and a little longer.
const ENDS_AFTER: Duration = Duration::from_millis(3_300);
/// Time from the beginning of a round to that of the next one.
const ROUND: Duration = Duration::from_secs(8);

/// When clients sent their requests, and when these reached a runner.
#[derive(Default)]
struct Observed {
    sent: Mutex<HashMap<String, Instant>>,
    reached: Mutex<Vec<(String, String, Instant)>>,
}

/// The leaving of one runner.
struct Departure {
    runner: String,
    left_at: Instant,
    /// Since when the routers are in touch again.
    in_touch_from: Instant,
}

pub fn run(record: &Record, has_trouble: bool) -> std::io::Result<Outcome> {
    let mut deployment = Deployment::new()?;
    let observed = Arc::new(Observed::default());
    let mut runners = Vec::new();
    for index in 0..RUNNERS {
        let kind = RunnerKind { service: PLAIN_SERVICE, slots: SLOTS, is_engine: false };
        let (record, observed) = (record.clone(), observed.clone());
        runners.push(Runner::start(
            &deployment.runner_ip,
            &format!("i-core-{index}"),
            kind,
            &deployment.store,
            move |runner, request, connection| {
                answer(runner, request, connection, &observed, &record)
            },
        )?);
    }
    if !deployment.start_routers(ROUTERS)? {
        return Ok(Outcome { breaches: Vec::new(), void: Some("no router is ready".to_string()) });
    }
    record.add("the routers are ready");
    std::thread::sleep(LEAD);
    let routers: Vec<_> = deployment.routers.iter().map(|router| router.callers).collect();
    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (router, record) = (routers[number % routers.len()], record.clone());
            let (ended, observed) = (ended.clone(), observed.clone());
            std::thread::spawn(move || call(router, number, &ended, &observed, &record))
        })
        .collect();
    std::thread::sleep(CALM);
    let mut departures = Vec::new();
    for runner in &runners[..ROUNDS] {
        let silent_at = Instant::now();
        if has_trouble {
            record.add("the open connections to the store go silent; new ones work");
            deployment.proxy.silence_open_connections();
        }
        std::thread::sleep(LEAVES_AFTER);
        runner.leave(&deployment.store);
        record.add(format!("the store accepts that {} has left; it serves on", runner.id));
        let left_at = Instant::now();
        let in_touch_from = if has_trouble { silent_at + STABLE_WINDOW } else { silent_at };
        departures.push(Departure { runner: runner.id.clone(), left_at, in_touch_from });
        std::thread::sleep(ENDS_AFTER);
        runner.crash();
        record.add(format!("{} has ended", runner.id));
        std::thread::sleep((silent_at + ROUND).saturating_duration_since(Instant::now()));
    }
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let breaches = departures.iter().flat_map(|departure| late_requests(&observed, departure));
    let breaches: Vec<_> = breaches.collect();
    let is_idle = observed.reached.lock().unwrap().is_empty();
    let void = is_idle.then(|| "no request reached a runner".to_string());
    Ok(Outcome { breaches, void })
}

/// Finds the requests that reached the runner too late, although they were sent to a router in touch.
fn late_requests(observed: &Observed, departure: &Departure) -> Vec<String> {
    let (sent, reached) = (observed.sent.lock().unwrap(), observed.reached.lock().unwrap());
    let late = reached.iter().filter(|(id, runner, at)| {
        *runner == departure.runner
            && *at > departure.left_at + DRAIN
            && sent.get(id).is_some_and(|sent| *sent > departure.in_touch_from)
    });
    let breaches = late.map(|(id, runner, at)| {
        let (late, calm) = (*at - departure.left_at, sent[id] - departure.in_touch_from);
        format!(
            "DRAIN: {id} reached {runner} {late:.2?} after it had left; it was sent {calm:.2?} after the \
             routers were in touch again"
        )
    });
    breaches.collect()
}

fn answer(
    runner: &Runner,
    request: &Message,
    connection: &mut Connection,
    observed: &Observed,
    record: &Record,
) -> bool {
    let id = request.header("attempt-id").unwrap_or_default().to_string();
    record.add(format!("{} runs {id}", runner.id));
    let reached = (id.clone(), runner.id.clone(), Instant::now());
    observed.reached.lock().unwrap().push(reached);
    std::thread::sleep(WORK);
    let body = format!("{id} was served by {}", runner.id);
    let head = runner.head(request, "200 OK", true);
    connection.send(&format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()))
}

/// Sends one request after the other on a kept connection.
fn call(
    router: SocketAddr,
    number: usize,
    ended: &AtomicBool,
    observed: &Observed,
    record: &Record,
) {
    let mut client = None;
    let mut count = 0u64;
    while !ended.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("b{number:03x}{count:012x}");
        let Some(mut open) = client.take().or_else(|| Client::connect(router)) else {
            std::thread::sleep(PAUSE);
            continue;
        };
        record.add(format!("client {number} sends POST /gate/1 {id}"));
        observed.sent.lock().unwrap().insert(id.clone(), Instant::now());
        let is_sent = open.send("POST", "/gate/1", &id, "Deadline-Milliseconds: 600\r\n", "");
        match is_sent.then(|| open.read()).flatten() {
            Some(answer) => {
                record.add(format!("client {number} gets {} for {id}", answer.status()));
                if !answer.closes() {
                    client = Some(open);
                }
            }
            None => record.add(format!("client {number} gets no answer for {id}")),
        }
        std::thread::sleep(PAUSE);
    }
}
