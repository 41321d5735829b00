//! Export and import of KV cache blocks.

use http::{Request, StatusCode};
use hyper::body::Incoming;
use papayamux_protocol::engine::{EngineErrorCode, KvExportRequest, KvImported, MAX_KV_BLOCKS};
use papayamux_transport::http::AnswerBody;
use prost::Message;

use super::failure::{engine_error, invalid_request, EngineResult};
use super::http_interface::EngineServer;
use super::kv_blob::KvBlob;
use crate::request_body::read_body;
use crate::respond;

/// Exports the cached leading blocks of a chain.
pub async fn export_blocks(server: &EngineServer, request: Request<Incoming>) -> EngineResult {
    let body = read_body(request.into_body()).await.map_err(invalid_request)?;
    let request: KvExportRequest = serde_json::from_slice(&body).map_err(invalid_request)?;
    let chain = &request.blocks[..request.blocks.len().min(MAX_KV_BLOCKS)];
    let chain = server.batch.cached_chain(chain).ok_or_else(|| {
        engine_error(EngineErrorCode::BlocksNotHeld, "the first block is not cached")
    })?;
    let weights = server.loader.weights_below(chain.root).ok_or_else(|| {
        engine_error(EngineErrorCode::BlocksNotHeld, "the chain's model is not loaded")
    })?;
    monoio::time::sleep(server.options.kv_export_time * chain.blocks.len() as u32).await;
    let blob = KvBlob::new(chain, weights, server.options.kv_block_bytes);
    let body = AnswerBody::from(blob.encode_to_vec());
    Ok(respond::typed(StatusCode::OK, "application/octet-stream", body))
}

/// Imports a blob into the cache, if it was computed with the weights that are loaded here.
pub async fn import_blob(server: &EngineServer, request: Request<Incoming>) -> EngineResult {
    let body = read_body(request.into_body()).await.map_err(invalid_request)?;
    let blob = KvBlob::read(body).map_err(invalid_request)?;
    let weights = blob.weights();
    let chain = blob.into_chain();
    monoio::time::sleep(server.options.kv_import_time * chain.blocks.len() as u32).await;
    if server.loader.weights_below(chain.root) != Some(weights) {
        let message = "the blob's model, adapter or version is not loaded";
        return Err(engine_error(EngineErrorCode::ForeignBlob, message));
    }
    server.batch.import(&chain);
    Ok(respond::json(StatusCode::OK, &KvImported { blocks: chain.blocks.len() as u64 }))
}
