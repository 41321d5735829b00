//! A new version takes one key away and adds a tenant whose key is long.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::config::{configuration, RouteDraft, TenantDraft};
use crate::deployment::{register, Places};
use crate::http::call;
use crate::record::Record;
use crate::request;
use crate::runner::{reply, Runner, Runs};
use crate::store::Store;

const ROUTERS: usize = 3;
/// `revoke_ms`.
const REVOKE: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(14);
const PAUSE: Duration = Duration::from_millis(200);
/// Length of the new tenant's key, as of a signed token; a head may have 16,384 bytes.
const LONG_KEY: usize = 700;

pub fn run(folder: &Path, scratch: &Path, trouble: bool) -> bool {
    let record = Record::create(folder);
    let (store, runs) = (Store::start(), Runs::default());
    for id in ["i-1", "i-2", "i-3"] {
        let runner = Runner::start(id, "ticket-core", &runs, |request, reader| {
            reply(request, reader, 200, "", "done")
        });
        register(&store, &runner);
    }
    let routes =
        [RouteDraft { name: "book", kind: "unsafe", service: "ticket-core", anonymous: false }];
    let tenants = [
        TenantDraft { name: "hule930", keys: &["key-kept"] },
        TenantDraft { name: "kedu118", keys: &["key-revoked"] },
    ];
    store.put("op/config", &configuration(7, &routes, 0, &tenants));
    let places = Places::new(scratch, ROUTERS);
    let routers = places.start_all(&store);
    record.line("all routers are ready");
    std::thread::sleep(Duration::from_secs(2));

    let length = if trouble { LONG_KEY } else { 20 };
    let new_key = "k".repeat(length);
    let tenants = [
        TenantDraft { name: "hule930", keys: &["key-kept"] },
        TenantDraft { name: "wuno96", keys: &[&new_key] },
    ];
    let acknowledged = store.put("op/config", &configuration(9, &routes, 0, &tenants));
    record.line(&format!(
        "version 9 is acknowledged: key-revoked is taken away, a key of {length} bytes is added"
    ));
    let mut number = 0;
    let mut broken = 0;
    let mut refused_new = 0;
    let is_run = |id: &str| runs.lock().expect("the lock").iter().any(|run| run.id == id);
    while acknowledged.elapsed() < LENGTH {
        for router in &routers {
            for (what, key) in [
                ("key-kept", "key-kept"),
                ("key-revoked", "key-revoked"),
                ("the new key", &new_key),
            ] {
                number += 1;
                let id = format!("q{number}");
                let sent = Instant::now();
                let text = request("POST", "/book/x", &id, Some(key), 2_000);
                let answer = call(router.front, &text, Duration::from_secs(3));
                let ran = is_run(&id);
                let after = (sent - acknowledged).as_secs_f64();
                record.line_at(
                    sent,
                    &format!(
                        "{id} with {what} to {}, {after:.3} s after the acknowledgement: {}, {}",
                        router.name,
                        answer.status,
                        if ran { "run" } else { "not run" }
                    ),
                );
                let is_late = sent - acknowledged > REVOKE;
                broken += usize::from(what == "key-revoked" && ran && is_late);
                refused_new +=
                    usize::from(what == "the new key" && answer.status == 401 && is_late);
            }
        }
        std::thread::sleep(PAUSE);
    }
    let ready = routers.iter().filter(|router| router.is_ready()).count();
    let unread: usize =
        routers.iter().map(|router| router.count_log("the configuration can't be read")).sum();
    record.result(&format!(
        "{broken} requests with the revoked key ran that were sent over {REVOKE:?} after the \
         acknowledgement; {refused_new} with the new key got 401 by then"
    ));
    record.result(&format!(
        "{ready} of {ROUTERS} routers are ready; {unread} lines say that the configuration can't be read"
    ));
    broken > 0
}
