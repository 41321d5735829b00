//! Chat completions.

use std::cmp::Reverse;
use std::rc::Rc;

use papayamux_protocol::chat::read_chat_call;
use papayamux_protocol::engine::CHAT_PATH;
use papayamux_protocol::failure::{FailureBody, FailureCode};
use papayamux_protocol::headers::CONVERSATION;
use papayamux_protocol::link::{ChatTarget, RepeatRule};
use papayamux_state::ids::ChatKey;
use papayamux_state::placement::rendezvous_weight;

use super::caller_request::{end_to_end_headers, header_text, CallerRequest};
use super::offer::{offer_request, RequestOffer, TakenRequest};
use super::CallerDesk;
use crate::agents::AgentPeer;
use crate::directory::ServerRecord;

/// Brings a chat request to a server of its model.
pub async fn handle_chat(
    desk: &CallerDesk,
    request: CallerRequest,
) -> Result<TakenRequest, FailureBody> {
    let conversation = header_text(&request.head.headers, CONVERSATION);
    let call = read_chat_call(&request.organisation, conversation, &request.body)
        .map_err(|error| FailureBody::not_run(FailureCode::InvalidRequest, error.to_string()))?;
    let peers = rank_peers(&call.chat, &desk.directory.serving(&call.model));
    if peers.is_empty() {
        let message = format!("no server is declared for the model {}", call.model);
        return Err(FailureBody::not_run(FailureCode::UnknownModel, message));
    }
    let offer = RequestOffer {
        organisation: request.organisation,
        repeat: RepeatRule::Idempotent,
        claim: None,
        chat: Some(ChatTarget { model: call.model, adapter: call.adapter, chat: call.chat }),
        method: request.head.method.to_string(),
        path: CHAT_PATH.to_string(),
        headers: end_to_end_headers(&request.head.headers),
        body: request.body,
    };
    offer_request(desk, &offer, &peers).await
}

/// The agents of `servers`, the chat's home first.
fn rank_peers(chat: &ChatKey, servers: &[Rc<ServerRecord>]) -> Vec<Rc<AgentPeer>> {
    let weight_of =
        |record: &Rc<ServerRecord>| Reverse(rendezvous_weight(chat, &record.entry.server));
    let mut ranked = servers.to_vec();
    ranked.sort_by_cached_key(weight_of);
    ranked.iter().map(|record| record.peer.clone()).collect()
}
