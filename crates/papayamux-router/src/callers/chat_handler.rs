//! Handles chat completions.

use papayamux_protocol::chat::parse_chat_call;
use papayamux_protocol::engine::CHAT_PATH;
use papayamux_protocol::failure::{FailureBody, FailureCode};
use papayamux_protocol::headers::CONVERSATION;
use papayamux_protocol::link::{ChatTarget, RetryRule};

use super::caller_request::{end_to_end_headers, header_text, CallerRequest};
use super::offer::{offer_request, AcceptedRequest, RequestOffer};
use super::CallerFrontend;

/// Offers a chat request to the servers of its model.
pub async fn handle_chat(
    frontend: &CallerFrontend,
    request: CallerRequest,
) -> Result<AcceptedRequest, FailureBody> {
    let conversation = header_text(&request.head.headers, CONVERSATION);
    let call = parse_chat_call(&request.organisation, conversation, &request.body)
        .map_err(|error| FailureBody::not_run(FailureCode::InvalidRequest, error.to_string()))?;
    let servers = frontend.directory.serving(&call.model);
    if servers.is_empty() {
        let message = format!("no server is declared for the model {}", call.model);
        return Err(FailureBody::not_run(FailureCode::UnknownModel, message));
    }
    let plan = frontend.planner.plan_chat(&call, servers).await;
    let offer = RequestOffer {
        organisation: request.organisation,
        retry_rule: RetryRule::Idempotent,
        claim: None,
        chat: Some(ChatTarget { model: call.model, adapter: call.adapter, chat: call.chat }),
        method: request.head.method.to_string(),
        path: CHAT_PATH.to_string(),
        headers: end_to_end_headers(&request.head.headers),
        body: request.body,
    };
    offer_request(frontend, &offer, plan).await
}
