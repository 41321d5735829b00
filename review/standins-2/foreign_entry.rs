//! Another writer leaves an entry beside those of the runners. The platform restarts processes that
//! end.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::config::{configuration, RouteDraft, TenantDraft};
use crate::deployment::{register, Places};
use crate::http::Reader;
use crate::record::Record;
use crate::request;
use crate::runner::{reply, Runner, Runs};
use crate::store::Store;

const ROUTERS: usize = 3;
const CLIENTS_PER_ROUTER: usize = 6;
const WORK: Duration = Duration::from_millis(200);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// When the entry is written, counted from the start of the traffic.
const TROUBLE_AT: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(20);
/// LOST allows as many at a machine.
const ALLOWED: usize = 3;

/// An entry of another writer: its service is none of the configuration.
const ENTRY: &str =
    "{\"service\":\"stock-index\",\"address\":\"127.0.0.1:9\",\"zone\":\"qigu-hall\",\
    \"version\":\"4\",\"slots\":1,\"state\":\"ready\",\"cold_remaining_ms\":12345678901234567890123,\"sequence\":1}";

/// A request on a kept connection that ended without an answer.
struct Unanswered {
    router: String,
    id: String,
}

pub fn run(folder: &Path, scratch: &Path, trouble: bool) -> bool {
    let record = Record::create(folder);
    let (store, runs) = (Store::start(), Runs::default());
    for id in ["i-1", "i-2", "i-3"] {
        let runner = Runner::start(id, "ticket-core", &runs, |request, reader| {
            std::thread::sleep(WORK);
            reply(request, reader, 200, "", "done")
        });
        register(&store, &runner);
    }
    let routes =
        [RouteDraft { name: "book", kind: "unsafe", service: "ticket-core", anonymous: false }];
    let tenants = [TenantDraft { name: "hule930", keys: &["key-a"] }];
    store.put("op/config", &configuration(7, &routes, 0, &tenants));
    let places = Places::new(scratch, ROUTERS);
    let mut routers = places.start_all(&store);
    record.line("all routers are ready");

    let ended = Arc::new(AtomicBool::new(false));
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let answered = Arc::new(AtomicUsize::new(0));
    let fronts: Vec<_> = (0..ROUTERS).map(|_| Arc::new(Mutex::new(None))).collect();
    let mut clients = Vec::new();
    for (number, router) in routers.iter().enumerate() {
        *fronts[number].lock().expect("the lock") = Some(router.front);
        for client in 0..CLIENTS_PER_ROUTER {
            let name = format!("{number}-{client}");
            let (front, router, record) =
                (fronts[number].clone(), router.name.clone(), record.clone());
            let (ended, unanswered) = (ended.clone(), unanswered.clone());
            let answered = answered.clone();
            clients.push(std::thread::spawn(move || {
                keep_calling(&name, &router, &front, &ended, &unanswered, &answered, &record);
            }));
        }
    }
    let started = Instant::now();
    let mut is_written = false;
    let mut ends = [0; ROUTERS];
    let mut restart_at: [Option<Instant>; ROUTERS] = [None; ROUTERS];
    while started.elapsed() < LENGTH {
        if trouble && !is_written && started.elapsed() >= TROUBLE_AT {
            store.put("servers/x-1", ENTRY);
            record.line(&format!("another writer: servers/x-1 = {ENTRY}"));
            is_written = true;
        }
        for number in 0..ROUTERS {
            if restart_at[number].is_none() && !routers[number].is_running() {
                record.line(&format!("{} ended by itself", routers[number].name));
                ends[number] += 1;
                restart_at[number] = Some(Instant::now() + RESTART_DELAY);
            }
            if restart_at[number].is_some_and(|due| Instant::now() >= due) {
                routers[number] = places.start(&store, &places.ips[number]);
                *fronts[number].lock().expect("the lock") = Some(routers[number].front);
                record.line(&format!("{} is started again", routers[number].name));
                restart_at[number] = None;
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    ended.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    drop(routers);

    let runs = runs.lock().expect("the lock").clone();
    for run in &runs {
        record.line_at(run.at, &format!("{} runs {}", run.runner, run.id));
    }
    let unanswered = unanswered.lock().expect("the lock");
    let mut is_broken = false;
    for (number, ip) in places.ips.iter().enumerate() {
        let name = format!("front-{}", ip.replace('.', "-"));
        let lost = unanswered.iter().filter(|lost: &&Unanswered| lost.router == name);
        let lost = lost.filter(|lost| runs.iter().any(|run| run.id == lost.id)).count();
        record.result(&format!(
            "{name}: {lost} requests of kept connections were passed on to a runner and got no \
             answer; the process ended by itself {} times",
            ends[number]
        ));
        is_broken |= lost > ALLOWED;
    }
    let answered = answered.load(Ordering::SeqCst);
    record.result(&format!(
        "{} runs; clients got {answered} whole answers with status 200",
        runs.len()
    ));
    is_broken
}

/// Sends one request after the other on a kept connection.
fn keep_calling(
    name: &str,
    router: &str,
    front: &Mutex<Option<SocketAddr>>,
    ended: &AtomicBool,
    unanswered: &Mutex<Vec<Unanswered>>,
    answered: &AtomicUsize,
    record: &Record,
) {
    let mut connection: Option<Reader> = None;
    let mut answered_before = false;
    for number in 1.. {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        if connection.is_none() {
            answered_before = false;
            let address = (*front.lock().expect("the lock")).expect("an address");
            connection = TcpStream::connect_timeout(&address, Duration::from_secs(1))
                .ok()
                .filter(|stream| stream.set_read_timeout(Some(Duration::from_secs(3))).is_ok())
                .map(Reader::new);
        }
        let Some(reader) = connection.as_mut() else {
            std::thread::sleep(Duration::from_millis(200));
            continue;
        };
        let id = format!("c{name}-{number}");
        let text = request("POST", "/book/x", &id, Some("key-a"), 2_000);
        record.line(&format!("client sends {id} to {router}"));
        let sent = reader.stream.write_all(text.as_bytes());
        match sent.and_then(|()| reader.message()) {
            Ok(answer) => {
                record.line(&format!("client gets {} for {id}", answer.word()));
                let closes =
                    answer.header("connection").is_some_and(|value| value.contains("close"));
                if closes {
                    connection = None;
                }
                answered_before = true;
                answered.fetch_add(usize::from(answer.word() == "200"), Ordering::SeqCst);
                if answer.word() != "200" {
                    std::thread::sleep(Duration::from_millis(200));
                }
            }
            Err(error) => {
                record.line(&format!("client gets no answer for {id}: {error}"));
                if answered_before {
                    let lost = Unanswered { router: router.to_string(), id };
                    unanswered.lock().expect("the lock").push(lost);
                }
                connection = None;
                std::thread::sleep(Duration::from_millis(200));
            }
        }
    }
}
