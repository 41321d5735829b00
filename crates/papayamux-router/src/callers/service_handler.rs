//! Handles calls to plain services.

use std::rc::Rc;

use papayamux_protocol::failure::{FailureBody, FailureCode};
use papayamux_protocol::headers::IDEMPOTENCY_KEY;
use papayamux_protocol::link::RetryRule;
use papayamux_state::ids::IdempotencyKey;

use super::caller_request::{end_to_end_headers, header_text, CallerRequest};
use super::offer::{offer_request, AcceptedRequest, RequestOffer};
use super::CallerFrontend;
use crate::claims::{run_keyed, KeyedCall};
use crate::routing::RoutePlan;

/// Offers a call to the servers that are declared for its path.
pub async fn handle_service(
    frontend: &Rc<CallerFrontend>,
    request: CallerRequest,
) -> Result<AcceptedRequest, FailureBody> {
    let path = request.head.uri.path();
    let Some(route) = frontend.directory.for_path(path) else {
        let message = format!("no server is declared for the path {path}");
        return Err(FailureBody::not_run(FailureCode::UnknownRoute, message));
    };
    let retry_rule = if route.idempotent || request.head.method.is_safe() {
        RetryRule::Idempotent
    } else {
        RetryRule::AtMostOnce(read_key(&request)?)
    };
    let path_and_query = request.head.uri.path_and_query();
    let offer = RequestOffer {
        organisation: request.organisation,
        retry_rule,
        claim: None,
        chat: None,
        method: request.head.method.to_string(),
        path: path_and_query.map_or("/", |path| path.as_str()).to_string(),
        headers: end_to_end_headers(&request.head.headers),
        body: request.body,
    };
    let plan = frontend.planner.plan_service(route).await;
    match &offer.retry_rule {
        RetryRule::AtMostOnce(Some(key)) => {
            let call = KeyedCall::new(&offer, key);
            run_detached(frontend.clone(), call, offer, plan).await
        }
        _ => offer_request(frontend, &offer, plan).await,
    }
}

/// Runs a call with an idempotency key up to the head of its answer, even if the caller disconnects
/// meanwhile. Otherwise its claims would remain, neither used nor released.
async fn run_detached(
    frontend: Rc<CallerFrontend>,
    call: KeyedCall,
    offer: RequestOffer,
    plan: RoutePlan,
) -> Result<AcceptedRequest, FailureBody> {
    monoio::spawn(async move { run_keyed(&frontend, &call, offer, plan).await }).await
}

fn read_key(request: &CallerRequest) -> Result<Option<IdempotencyKey>, FailureBody> {
    let Some(text) = header_text(&request.head.headers, IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|error| {
        let message = format!("the header {IDEMPOTENCY_KEY}: {error}");
        FailureBody::not_run(FailureCode::InvalidRequest, message)
    })
}
