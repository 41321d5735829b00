//! Tests of the instance list, the weight store, and the engine that loads from the store.

mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use papayamux_protocol::engine::{EngineOrder, EngineState, ORDERS_PATH, STATE_PATH};
use papayamux_protocol::platform::{
    weights_path, InstanceEntry, InstanceKind, InstanceList, InstanceStatus, INSTANCES_PATH,
};
use papayamux_standins::call_meter::CallMeter;
use papayamux_standins::instance_list::{serve_instance_list, TRUE_INSTANCES_PATH};
use papayamux_standins::weight_store::{
    serve_weight_store, StoreCounters, WeightStoreOptions, STORE_COUNTERS_PATH,
};
use support::{engine_options, run, start, start_engine, TestClient};

const HOUR: Duration = Duration::from_secs(3_600);

fn one_instance() -> InstanceList {
    InstanceList {
        instances: vec![InstanceEntry {
            address: ([10, 0, 0, 1], 7_000).into(),
            kind: InstanceKind::Engine,
            server: Some("engine-0".to_string()),
            failure_domain: "a".to_string(),
            status: InstanceStatus::Leaving,
        }],
    }
}

fn start_list(lag: Duration) -> TestClient {
    start(|listener, shutdown| serve_instance_list(listener, lag, shutdown))
}

fn start_store(options: WeightStoreOptions) -> TestClient {
    start(|listener, shutdown| serve_weight_store(listener, options, shutdown))
}

#[test]
fn an_instance_list_is_late() {
    run(async {
        for (lag, expected) in [(HOUR, InstanceList::default()), (Duration::ZERO, one_instance())] {
            let service = start_list(lag);
            let list = one_instance();
            let put = service.put(Method::PUT, TRUE_INSTANCES_PATH, &list, StatusCode::OK);
            let present: InstanceList = put.await;
            let seen: InstanceList = service.get(INSTANCES_PATH).await;
            assert_eq!((present, seen), (one_instance(), expected));
        }
    });
}

#[test]
fn a_meter_counts_any_one_second() {
    let start = Instant::now();
    let mut meter = CallMeter::new(2);
    let at = |millis: u64| start + Duration::from_millis(millis);
    let accepted = [0, 600, 900, 1_100, 1_700].map(|millis| meter.accept(at(millis)));
    assert_eq!(accepted, [true, true, false, true, true]);
    let counters = meter.counters();
    assert_eq!((counters.calls, counters.refused, counters.highest_per_second), (5, 1, 3));
}

#[test]
fn a_weight_store_is_bounded_and_counts_loads() {
    run(async {
        let store = start_store(WeightStoreOptions { weight_bytes: 100, ..Default::default() });
        let (_, weights) = store.call(Method::GET, &weights_path("a", "2"), Bytes::new()).await;
        assert_eq!(weights.len(), 100);
        let (status, _) = store.call(Method::GET, "/v1/weights/a", Bytes::new()).await;
        assert_eq!(status, StatusCode::NOT_FOUND);
        let counters: StoreCounters = store.get(STORE_COUNTERS_PATH).await;
        assert_eq!((counters.calls.calls, counters.loads["a/2"]), (1, 1));
    });
}

#[test]
fn an_engine_loads_from_the_store_and_reports_failures() {
    run(async {
        let options = WeightStoreOptions { loads_per_second: 0, ..Default::default() };
        let (busy, store) = (start_store(options), start_store(WeightStoreOptions::default()));
        for (store, loads) in [(&busy, false), (&store, true)] {
            let mut options = engine_options();
            options.weight_store = Some(store.address());
            let engine = start_engine(options);
            let models = vec!["b".to_string()];
            let order = EngineOrder { fence: 1, models, ..EngineOrder::default() };
            let put = engine.put(Method::POST, ORDERS_PATH, &order, StatusCode::ACCEPTED);
            let accepted: EngineState = put.await;
            assert_eq!((accepted.models.len(), accepted.loading.len()), (0, 1));
            let settled = |state: &EngineState| state.loading.is_empty();
            let state = engine.until(STATE_PATH, settled).await;
            assert_eq!(
                (state.models.len(), state.failed.len()),
                match loads {
                    true => (1, 0),
                    false => (0, 1),
                }
            );
        }
        let counters: StoreCounters = store.get(STORE_COUNTERS_PATH).await;
        assert_eq!(counters.loads["b/1"], 1);
    });
}
