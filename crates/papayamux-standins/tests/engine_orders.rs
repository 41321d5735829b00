//! Tests of orders to the engine and the models loaded after them.

mod support;

use std::collections::BTreeMap;

use http::{Method, StatusCode};
use papayamux_protocol::engine::{
    CacheSnapshot, EngineFailure, EngineOrder, EngineState, CACHE_BLOCKS_PATH, ORDERS_PATH,
    STATE_PATH,
};
use support::{engine_options, run, start_engine, TestClient, MODEL};

fn order(fence: u64, models: &[&str], version: &str) -> EngineOrder {
    let models: Vec<_> = models.iter().map(|model| model.to_string()).collect();
    let versions = models.iter().map(|model| (model.clone(), version.to_string()));
    let versions: BTreeMap<_, _> = versions.collect();
    let role = "mixed".to_string();
    EngineOrder { fence, models, versions, role, ..EngineOrder::default() }
}

async fn give(engine: &TestClient, order: &EngineOrder) -> EngineState {
    engine.put(Method::POST, ORDERS_PATH, order, StatusCode::ACCEPTED).await
}

async fn settled(engine: &TestClient) -> EngineState {
    engine.until(STATE_PATH, |state: &EngineState| state.loading.is_empty()).await
}

fn loaded(state: &EngineState) -> Vec<(&str, &str)> {
    state.models.iter().map(|model| (model.name.as_str(), model.version.as_str())).collect()
}

#[test]
fn an_engine_that_checks_fencing_refuses_an_older_order() {
    run(async {
        let engine = start_engine(engine_options());
        give(&engine, &order(5, &["a"], "2")).await;
        let refused: EngineFailure = engine
            .put(Method::POST, ORDERS_PATH, &order(4, &["b"], "1"), StatusCode::CONFLICT)
            .await;
        assert_eq!(refused.error.highest_fence, Some(5));
        let state = settled(&engine).await;
        assert_eq!((state.fence, loaded(&state)), (Some(5), vec![("a", "2")]));
    });
}

#[test]
fn an_engine_that_ignores_fencing_obeys_any_order() {
    run(async {
        let mut options = engine_options();
        options.ignore_fencing = true;
        let engine = start_engine(options);
        give(&engine, &order(5, &["a"], "2")).await;
        give(&engine, &order(4, &["b"], "1")).await;
        let state = settled(&engine).await;
        assert_eq!((state.fence, loaded(&state)), (Some(4), vec![("b", "1")]));
        assert_eq!(state.role, "mixed");
    });
}

#[test]
fn a_model_that_is_not_loaded_is_refused_and_its_cache_is_gone() {
    run(async {
        let engine = start_engine(engine_options());
        let question = "where? ".repeat(40);
        engine.chat("r-1", &question, 3).await.rest().await.unwrap();
        give(&engine, &order(1, &[MODEL], "1")).await;
        let snapshot: CacheSnapshot = engine.get(CACHE_BLOCKS_PATH).await;
        assert!(!snapshot.blocks.is_empty(), "nothing changed, so the cache stays");
        give(&engine, &order(2, &[MODEL], "2")).await;
        settled(&engine).await;
        let snapshot: CacheSnapshot = engine.get(CACHE_BLOCKS_PATH).await;
        assert!(snapshot.blocks.is_empty(), "a new version can't reuse the old version's cache");
        give(&engine, &order(3, &[], "1")).await;
        let refused = engine.chat("r-2", &question, 3).await;
        assert_eq!(refused.status(), StatusCode::NOT_FOUND);
    });
}

#[test]
fn a_request_of_an_older_version_leaves_nothing_in_the_cache() {
    run(async {
        let engine = start_engine(engine_options());
        let mut stream = engine.chat("r-1", &"where? ".repeat(40), 60).await;
        stream.tokens(1).await;
        give(&engine, &order(1, &[MODEL], "2")).await;
        settled(&engine).await;
        assert!(stream.rest().await.is_some(), "the running request completes");
        let snapshot: CacheSnapshot = engine.get(CACHE_BLOCKS_PATH).await;
        assert!(snapshot.blocks.is_empty());
    });
}
