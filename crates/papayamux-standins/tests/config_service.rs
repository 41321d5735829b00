//! Tests of the configuration service stand-in, with and without faults.
#![allow(clippy::unwrap_used, reason = "tests may panic")]

mod support;

use bytes::Bytes;
use futures_util::future::{join, join_all};
use http::{Method, StatusCode};
use papayamux_protocol::platform::{
    file_path, watch_path, ConfigFile, FileListing, FileRevision, FILES_PATH, MAX_FILE_BYTES,
};
use papayamux_standins::call_meter::CallCounters;
use papayamux_standins::config_service::{
    serve_config_service, standin_file_path, ConfigFaults, ConfigServiceOptions, ServedView,
    COUNTERS_PATH, FAULTS_PATH,
};
use support::{run, start, TestClient};

const TIMEOUT_MS: u64 = 60_000;

fn start_service(reads_per_second: usize) -> TestClient {
    let options = ConfigServiceOptions { reads_per_second };
    start(|listener, shutdown| serve_config_service(listener, options, shutdown))
}

async fn put(service: &TestClient, name: &str, text: &str) -> u64 {
    let path = standin_file_path(name);
    let (_, body) = service.call(Method::PUT, &path, Bytes::from(text.to_string())).await;
    serde_json::from_slice::<FileRevision>(&body).unwrap().revision
}

async fn set(service: &TestClient, faults: ConfigFaults) -> ConfigFaults {
    service.put(Method::PUT, FAULTS_PATH, &faults, StatusCode::OK).await
}

fn revision(name: &str, revision: u64) -> FileRevision {
    FileRevision { name: name.to_string(), revision, removed: false }
}

#[test]
fn files_have_the_revision_of_their_newest_change() {
    run(async {
        let service = start_service(1_000);
        put(&service, "kiosks", "a").await;
        put(&service, "desks", "b").await;
        put(&service, "kiosks", "c").await;
        let listing: FileListing = service.get(FILES_PATH).await;
        let files = vec![revision("desks", 2), revision("kiosks", 3)];
        assert_eq!(listing, FileListing { revision: 3, files });
        let file: ConfigFile = service.get(&file_path("kiosks")).await;
        assert_eq!((file.revision, file.text.as_str()), (3, "c"));
        service.call(Method::DELETE, &standin_file_path("desks"), Bytes::new()).await;
        let newer: FileListing = service.get(&watch_path(3, TIMEOUT_MS)).await;
        assert_eq!(newer.files, [FileRevision { removed: true, ..revision("desks", 4) }]);
        let (status, _) = service.call(Method::GET, &file_path("desks"), Bytes::new()).await;
        assert_eq!(status, StatusCode::NOT_FOUND);
    });
}

#[test]
fn a_watch_wakes_on_a_put_and_counts_as_one_call() {
    run(async {
        let service = start_service(1_000);
        put(&service, "kiosks", "a").await;
        let path = watch_path(1, TIMEOUT_MS);
        let waiting = service.get::<FileListing>(&path);
        let change = async {
            service.until(COUNTERS_PATH, |counters: &CallCounters| counters.calls == 1).await;
            put(&service, "desks", "b").await;
        };
        let (listing, ()) = join(waiting, change).await;
        assert_eq!(listing, FileListing { revision: 2, files: vec![revision("desks", 2)] });
        let counters: CallCounters = service.get(COUNTERS_PATH).await;
        assert_eq!((counters.calls, counters.refused, counters.highest_per_second), (1, 0, 1));
        let empty: FileListing = service.get(&watch_path(2, 0)).await;
        assert_eq!(empty, FileListing { revision: 2, files: Vec::new() });
    });
}

#[test]
fn reads_above_the_rate_are_refused_and_counted() {
    run(async {
        let service = start_service(2);
        let reads = (0..6).map(|_| service.call(Method::GET, FILES_PATH, Bytes::new()));
        let answers = join_all(reads).await;
        let refused = answers.iter().filter(|(status, _)| status.as_u16() == 429).count() as u64;
        let counters: CallCounters = service.get(COUNTERS_PATH).await;
        assert_eq!((counters.calls, counters.refused), (6, refused));
        assert!((1..=4).contains(&refused), "{refused} refused");
    });
}

#[test]
fn a_stale_service_gives_the_older_state_until_it_is_live_again() {
    run(async {
        let service = start_service(1_000);
        for text in ["a", "b", "c"] {
            put(&service, "kiosks", text).await;
        }
        let at = |revision| ConfigFaults { view: ServedView::At(revision), ..Default::default() };
        set(&service, at(2)).await;
        let file: ConfigFile = service.get(&file_path("kiosks")).await;
        let listing: FileListing = service.get(FILES_PATH).await;
        assert_eq!((file.text.as_str(), file.revision, listing.revision), ("b", 2, 2));
        let frozen = ConfigFaults { view: ServedView::Frozen, ..Default::default() };
        set(&service, ConfigFaults::default()).await;
        assert_eq!(set(&service, frozen).await, at(3));
        put(&service, "kiosks", "d").await;
        let file: ConfigFile = service.get(&file_path("kiosks")).await;
        assert_eq!(file.text, "c");
        let path = watch_path(3, TIMEOUT_MS);
        let waiting = service.get::<FileListing>(&path);
        let (listing, _) = join(waiting, set(&service, ConfigFaults::default())).await;
        assert_eq!(listing.revision, 4);
    });
}

#[test]
fn a_service_that_fails_says_so_also_to_waiting_watches() {
    run(async {
        let service = start_service(1_000);
        let path = watch_path(0, TIMEOUT_MS);
        let waiting = service.call(Method::GET, &path, Bytes::new());
        let fail = async {
            service.until(COUNTERS_PATH, |counters: &CallCounters| counters.calls == 1).await;
            let faults = ConfigFaults { unavailable: true, delay_ms: 1, ..Default::default() };
            set(&service, faults).await;
        };
        let ((status, _), ()) = join(waiting, fail).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        let (status, _) = service.call(Method::GET, FILES_PATH, Bytes::new()).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    });
}

#[test]
fn a_file_is_bounded_and_its_name_is_checked() {
    run(async {
        let service = start_service(1_000);
        let most = "x".repeat(MAX_FILE_BYTES);
        assert_eq!(put(&service, "kiosks", &most).await, 1);
        let file: ConfigFile = service.get(&file_path("kiosks")).await;
        assert_eq!(file.text.len(), MAX_FILE_BYTES);
        let path = standin_file_path("kiosks");
        let (status, _) = service.call(Method::PUT, &path, (most + "x").into()).await;
        assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
        let (status, _) = service.call(Method::PUT, &standin_file_path("a/b"), "x".into()).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
    });
}
