//! Tests of resumed, cancelled and refused requests to the engine.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use papayamux_protocol::engine::{
    cancel_path, stream_path, CancelOutcome, EngineErrorCode, EngineFailure, EngineLoad, LOAD_PATH,
};
use papayamux_standins::engine::{RUNS_PATH, TRUE_LOAD_PATH};
use support::{engine_options, expected, run, start_engine};

const HOUR: Duration = Duration::from_secs(3_600);
const ENDLESS: u32 = 1_000_000;

#[test]
fn a_resumed_stream_gives_the_missing_tokens_and_runs_once() {
    run(async {
        let mut options = engine_options();
        options.cancel_grace = HOUR;
        let engine = start_engine(options);
        let mut stream = engine.chat("r-1", "where?", 60).await;
        let seen = stream.tokens(7).await;
        drop(stream);
        let rest = engine.resume(&stream_path("r-1", 7)).await.rest().await.unwrap();
        assert_eq!(format!("{seen}{rest}"), expected("where?", 60));
        let late = engine.resume(&stream_path("r-1", 58)).await.rest().await.unwrap();
        assert!(expected("where?", 60).ends_with(&late) && late.split_whitespace().count() == 2);
        let runs: HashMap<String, u64> = engine.get(RUNS_PATH).await;
        assert_eq!(runs, HashMap::from([("r-1".to_string(), 1)]));
    });
}

#[test]
fn a_request_that_nobody_reads_ends_after_the_grace() {
    run(async {
        let engine = start_engine(engine_options());
        let mut stream = engine.chat("r-1", "where?", ENDLESS).await;
        stream.tokens(1).await;
        drop(stream);
        engine.until(TRUE_LOAD_PATH, |load: &EngineLoad| load.running == 0).await;
        let stream = engine.resume(&stream_path("r-1", 1)).await;
        assert_eq!(stream.status(), StatusCode::GONE);
    });
}

#[test]
fn a_cancelled_request_frees_its_place_in_the_batch() {
    run(async {
        let mut options = engine_options();
        options.batch_limit = 1;
        let engine = start_engine(options);
        let mut first = engine.chat("r-1", "first", ENDLESS).await;
        first.tokens(1).await;
        let second = engine.chat("r-2", "second", 3).await;
        let load: EngineLoad = engine.get(TRUE_LOAD_PATH).await;
        assert_eq!((load.running, load.waiting), (1, 1));
        let (_, body) = engine.call(Method::POST, &cancel_path("r-1"), Bytes::new()).await;
        let outcome: CancelOutcome = serde_json::from_slice(&body).unwrap();
        assert!(outcome.cancelled);
        assert_eq!(second.rest().await.unwrap(), expected("second", 3));
        assert_eq!(first.rest().await, None, "a cancelled stream is truncated");
        let (_, body) = engine.call(Method::POST, &cancel_path("r-2"), Bytes::new()).await;
        assert_eq!(&body[..], b"{\"cancelled\":false}");
    });
}

#[test]
fn a_request_cancelled_while_it_waits_never_runs() {
    run(async {
        let mut options = engine_options();
        options.batch_limit = 1;
        let engine = start_engine(options);
        let mut first = engine.chat("r-1", "first", ENDLESS).await;
        first.tokens(1).await;
        let second = engine.chat("r-2", "second", 3).await;
        engine.call(Method::POST, &cancel_path("r-2"), Bytes::new()).await;
        assert_eq!(second.rest().await, None);
        let runs: HashMap<String, u64> = engine.get(RUNS_PATH).await;
        assert_eq!(runs, HashMap::from([("r-1".to_string(), 1)]));
    });
}

#[test]
fn a_higher_priority_class_runs_first() {
    run(async {
        let mut options = engine_options();
        options.batch_limit = 1;
        let engine = start_engine(options);
        let mut first = engine.chat("r-1", "first", ENDLESS).await;
        first.tokens(1).await;
        let low = engine.chat_at("low", 7, "low", ENDLESS).await;
        let high = engine.chat_at("high", 1, "high", 3).await;
        engine.call(Method::POST, &cancel_path("r-1"), Bytes::new()).await;
        let answer = high.rest().await.expect("the lower class waits for the higher one");
        assert_eq!(answer, expected("high", 3));
        drop(low);
    });
}

#[test]
fn a_full_queue_and_unknown_ids_are_refused() {
    run(async {
        let mut options = engine_options();
        options.waiting_limit = 0;
        let engine = start_engine(options);
        let refused = engine.chat("r-1", "where?", 3).await;
        assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
        for path in [cancel_path("r-9"), cancel_path(""), "/v1/requests".to_string()] {
            let (status, body) = engine.call(Method::POST, &path, Bytes::new()).await;
            let failure: EngineFailure = serde_json::from_slice(&body).unwrap();
            assert_eq!(status, failure.error.code.status());
            assert_eq!(status, StatusCode::NOT_FOUND, "{path}");
        }
        let (_, body) = engine.call(Method::POST, "/v1/chat/completions", "{".into()).await;
        let failure: EngineFailure = serde_json::from_slice(&body).unwrap();
        assert_eq!(failure.error.code, EngineErrorCode::InvalidRequest);
    });
}

#[test]
fn a_load_report_shows_an_old_state() {
    run(async {
        let mut options = engine_options();
        options.load_lag = HOUR;
        let engine = start_engine(options);
        let mut stream = engine.chat("r-1", "where?", ENDLESS).await;
        stream.tokens(1).await;
        let present: EngineLoad = engine.get(TRUE_LOAD_PATH).await;
        let reported: EngineLoad = engine.get(LOAD_PATH).await;
        assert_eq!((present.running, reported.running), (1, 0));
    });
}
