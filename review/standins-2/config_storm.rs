//! Configurations come in quick succession; then a runner drains.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::config::{configuration, RouteDraft, TenantDraft};
use crate::deployment::{register, Places};
use crate::http::call;
use crate::record::Record;
use crate::request;
use crate::runner::{reply, Runner, Runs};
use crate::store::Store;

const ROUTERS: usize = 3;
/// Largest size of a value, `value_bytes`.
const VALUE_BYTES: usize = 1_048_576;
/// Further routes of the configuration, so that it stays below [`VALUE_BYTES`].
const FURTHER_ROUTES: usize = 4_000;
/// `gap_s` and `for_s` of the storm.
const GAP: Duration = Duration::from_millis(60);
const STORM: Duration = Duration::from_millis(1_500);
/// `drain_ms`.
const DRAIN: Duration = Duration::from_secs(2);
const LENGTH: Duration = Duration::from_secs(24);
const PAUSE: Duration = Duration::from_millis(250);

pub fn run(folder: &Path, scratch: &Path, trouble: bool) -> bool {
    let record = Record::create(folder);
    let (store, runs) = (Store::start(), Runs::default());
    let mut draining = Vec::new();
    let mut drained = None;
    for id in ["i-1", "i-2", "i-3"] {
        let runner = Runner::start(id, "ticket-core", &runs, |request, reader| {
            reply(request, reader, 200, "", "done")
        });
        draining.push(register(&store, &runner));
        drained.get_or_insert(runner);
    }
    let drained = drained.expect("a runner");
    let routes = [
        RouteDraft { name: "look", kind: "safe", service: "ticket-core", anonymous: true },
        RouteDraft { name: "book", kind: "unsafe", service: "ticket-core", anonymous: false },
    ];
    let tenants = [TenantDraft { name: "hule930", keys: &["key-a"] }];
    let draft = |version| configuration(version, &routes, FURTHER_ROUTES, &tenants);
    let bytes = draft(1_000).len();
    assert!(bytes <= VALUE_BYTES, "{bytes} bytes");
    store.put("op/config", &draft(7));
    let places = Places::new(scratch, ROUTERS);
    let routers = places.start_all(&store);
    record.line(&format!("all routers are ready; the configuration has {bytes} bytes"));
    std::thread::sleep(Duration::from_secs(5));

    let changes = if trouble { (STORM.as_millis() / GAP.as_millis()) as u64 } else { 1 };
    let versions: Vec<_> = (1..=changes).map(|change| draft(7 + change)).collect();
    let started = Instant::now();
    for (number, version) in (0u32..).zip(&versions) {
        let due = started + GAP * number;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        store.put("op/config", version);
    }
    record.line(&format!(
        "the last of {changes} versions is acknowledged, {:?} after the first was sent",
        started.elapsed()
    ));
    std::thread::sleep(Duration::from_secs(1));
    draining[0].store(1, Ordering::SeqCst);
    let acknowledged = store.put(&drained.key(), &drained.entry("draining", 1_000_000));
    record.line(&format!("the store acknowledges that {} is draining", drained.id));

    let (mut number, mut late, mut refused, mut unready) = (0, 0, 0, 0);
    while acknowledged.elapsed() < LENGTH {
        for router in &routers {
            let mut send = |method: &str, path: &str, key: Option<&str>| {
                number += 1;
                let id = format!("q{number}");
                let sent = Instant::now();
                let text = request(method, path, &id, key, 2_000);
                let answer = call(router.front, &text, Duration::from_secs(3));
                let run = runs.lock().expect("the lock").iter().find(|run| run.id == id).cloned();
                record.line_at(
                    sent,
                    &format!(
                        "{id} {method} {path} to {}: {}, run by {}",
                        router.name,
                        answer.status,
                        run.as_ref().map_or("none", |run| &run.runner)
                    ),
                );
                (answer.status, run)
            };
            let (_, run) = send("GET", "/look/x", None);
            let is_late = |at: Instant| at.saturating_duration_since(acknowledged) > DRAIN;
            late += usize::from(run.is_some_and(|run| run.runner == drained.id && is_late(run.at)));
            let (status, _) = send("POST", "/book/x", Some("key-a"));
            refused += usize::from(status == 503);
            let is_ready = router.is_ready();
            unready += usize::from(!is_ready);
            if !is_ready {
                record.line(&format!("{} is not ready", router.name));
            }
        }
        std::thread::sleep(PAUSE);
    }
    record.result(&format!(
        "{late} requests reached {} later than {DRAIN:?} after its draining was acknowledged",
        drained.id
    ));
    record.result(&format!(
        "{refused} of {} requests with a key were refused with 503; {unready} questions for \
         readiness found a router not ready",
        number / 2
    ));
    for router in &routers {
        for line in router.log_lines("source lost") {
            record.result(&format!("{}: {line}", router.name));
        }
    }
    late > 0
}
