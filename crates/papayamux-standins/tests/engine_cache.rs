//! Tests of the engine's published cache state and of KV cache transfers between engines.
#![allow(clippy::unwrap_used, reason = "tests may panic")]

mod support;

use std::collections::BTreeSet;

use bytes::Bytes;
use http::{Method, StatusCode};
use papayamux_protocol::engine::{
    block_hashes, render_prompt, root_hash, CacheChange, CacheEventPage, CacheSnapshot,
    EngineErrorCode, EngineFailure, KvExportRequest, KvImported, CACHE_BLOCKS_PATH,
    CACHE_EVENTS_PATH, KV_EXPORT_PATH, KV_IMPORT_PATH,
};
use support::{chat_request, engine_options, run, start_engine, TestClient, MODEL};

fn long_question(number: usize) -> String {
    format!("{number} ").repeat(200)
}

fn chain_of(question: &str) -> Vec<u64> {
    let prompt = render_prompt(&chat_request(question, 1).messages);
    block_hashes(root_hash(MODEL, None), &prompt)
}

async fn ask(engine: &TestClient, question: &str) {
    engine.chat("r", question, 3).await.rest().await.unwrap();
}

async fn export(engine: &TestClient, blocks: Vec<u64>) -> (StatusCode, Bytes) {
    let body = serde_json::to_vec(&KvExportRequest { blocks }).unwrap();
    engine.call(Method::POST, KV_EXPORT_PATH, body.into()).await
}

#[test]
fn an_index_built_from_events_equals_the_snapshot() {
    run(async {
        let mut options = engine_options();
        options.cache_blocks = 20;
        let engine = start_engine(options);
        for number in 0..6 {
            ask(&engine, &long_question(number % 4)).await;
        }
        let mut index = BTreeSet::new();
        let mut after = 0;
        loop {
            let path = format!("{CACHE_EVENTS_PATH}?after={after}&limit=7");
            let page: CacheEventPage = engine.get(&path).await;
            for event in &page.events {
                match event.change {
                    CacheChange::Stored(block) => assert!(index.insert(block)),
                    CacheChange::Evicted(block) => assert!(index.remove(&block)),
                    CacheChange::Cleared => index.clear(),
                }
            }
            if page.through == after {
                break;
            }
            after = page.through;
        }
        let snapshot: CacheSnapshot = engine.get(CACHE_BLOCKS_PATH).await;
        assert_eq!(snapshot.event, after);
        assert!(snapshot.blocks.iter().eq(index.iter()));
        assert_eq!(index.len(), 20);
    });
}

#[test]
fn gaps_and_lateness_show_in_pages_and_not_in_the_snapshot() {
    run(async {
        let mut options = engine_options();
        options.events.gap_share = 1.0;
        let engine = start_engine(options.clone());
        ask(&engine, &long_question(0)).await;
        let page: CacheEventPage = engine.get(CACHE_EVENTS_PATH).await;
        let snapshot: CacheSnapshot = engine.get(CACHE_BLOCKS_PATH).await;
        assert_eq!((page.through, page.events.len()), (snapshot.blocks.len() as u64, 0));
        options.events.lateness = std::time::Duration::from_secs(3_600);
        let engine = start_engine(options);
        ask(&engine, &long_question(0)).await;
        let page: CacheEventPage = engine.get(CACHE_EVENTS_PATH).await;
        let snapshot: CacheSnapshot = engine.get(CACHE_BLOCKS_PATH).await;
        assert_eq!((page.through, snapshot.event), (0, snapshot.blocks.len() as u64));
    });
}

#[test]
fn an_imported_chat_is_warm() {
    run(async {
        let (from, to) = (start_engine(engine_options()), start_engine(engine_options()));
        let chain = chain_of(&long_question(0));
        ask(&from, &long_question(0)).await;
        let (status, blob) = export(&from, chain.clone()).await;
        assert_eq!(status, StatusCode::OK);
        let (_, body) = to.call(Method::POST, KV_IMPORT_PATH, blob).await;
        let imported: KvImported = serde_json::from_slice(&body).unwrap();
        assert_eq!(imported.blocks as usize, chain.len());
        let snapshot: CacheSnapshot = to.get(CACHE_BLOCKS_PATH).await;
        assert_eq!(snapshot.blocks.iter().collect::<BTreeSet<_>>(), chain.iter().collect());
    });
}

#[test]
fn blobs_that_do_not_fit_are_refused() {
    run(async {
        let engine = start_engine(engine_options());
        ask(&engine, &long_question(0)).await;
        let chain = chain_of(&long_question(0));
        let (status, _) = export(&engine, chain[1..].to_vec()).await;
        assert_eq!(status, StatusCode::NOT_FOUND, "a chain starts at its first block");
        let (_, blob) = export(&engine, chain).await;
        let mut damaged = blob.to_vec();
        damaged[30] ^= 1;
        for body in [damaged.into(), Bytes::from_static(b"\xff\xff"), blob.slice(..blob.len() / 2)]
        {
            let (status, _) = engine.call(Method::POST, KV_IMPORT_PATH, body).await;
            assert_eq!(status, StatusCode::BAD_REQUEST);
        }
        let mut options = engine_options();
        options.models = vec!["other".parse().unwrap()];
        let (_, body) = start_engine(options).call(Method::POST, KV_IMPORT_PATH, blob).await;
        let failure: EngineFailure = serde_json::from_slice(&body).unwrap();
        assert_eq!(failure.error.code, EngineErrorCode::ForeignBlob);
    });
}
