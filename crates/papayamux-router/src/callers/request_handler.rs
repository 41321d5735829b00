//! Handles callers' requests from arrival to response.

use std::rc::Rc;

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Method, Request, Response};
use papayamux_protocol::engine::CHAT_PATH;
use papayamux_protocol::failure::{FailureBody, FailureCode};
use papayamux_protocol::headers::LAST_EVENT_ID;
use papayamux_state::ids::{Incarnation, RequestIdSource};
use papayamux_transport::http::{AnswerBody, CallerBody};

use super::answer_stream::answer_response;
use super::caller_request::read_request;
use super::chat_handler::handle_chat;
use super::in_flight::InFlightGuard;
use super::offer::AcceptedRequest;
use super::resume_handler::handle_resume;
use super::service_handler::handle_service;
use crate::claims::FleetTracker;
use crate::directory::ServerDirectory;
use crate::metrics::RouterMetrics;
use crate::routing::RoutePlanner;
use crate::settings::RouterSettings;

/// Handles callers' requests and routes them to agents.
pub struct CallerFrontend {
    pub(crate) settings: RouterSettings,
    pub(crate) metrics: RouterMetrics,
    pub(crate) request_ids: RequestIdSource,
    pub(crate) directory: Rc<ServerDirectory>,
    pub(crate) fleets: Rc<FleetTracker>,
    pub(crate) planner: RoutePlanner,
}

impl CallerFrontend {
    /// Creates the frontend for one incarnation of a router.
    pub fn new(
        settings: RouterSettings,
        directory: Rc<ServerDirectory>,
        planner: RoutePlanner,
        incarnation: Incarnation,
        metrics: RouterMetrics,
    ) -> Rc<Self> {
        let request_ids = RequestIdSource::new(incarnation);
        let fleets = FleetTracker::new(settings.claims.clone());
        match settings.claims.fleet.as_slice() {
            [] => directory.set_fleet_tracker(fleets.clone()),
            entries => fleets.put_in_force(directory.witness_peers(entries)),
        }
        Rc::new(Self { settings, metrics, request_ids, directory, fleets, planner })
    }

    /// Handles one request and returns the response.
    pub async fn handle(self: &Rc<Self>, request: Request<CallerBody>) -> Response<AnswerBody> {
        let in_flight = InFlightGuard::new(&self.metrics);
        match self.route_request(request).await {
            Ok(accepted) => answer_response(accepted, in_flight),
            Err(failure) => self.failure_response(&failure),
        }
    }

    async fn route_request(
        self: &Rc<Self>,
        request: Request<CallerBody>,
    ) -> Result<AcceptedRequest, FailureBody> {
        let is_chat = request.uri().path() == CHAT_PATH;
        if is_chat && request.method() != Method::POST {
            let message = format!("{CHAT_PATH} takes POST only");
            return Err(FailureBody::not_run(FailureCode::InvalidRequest, message));
        }
        let request = read_request(request, &self.settings).await?;
        match is_chat {
            true if request.head.headers.contains_key(LAST_EVENT_ID) => {
                handle_resume(self, &request).await
            }
            true => handle_chat(self, request).await,
            false => handle_service(self, request).await,
        }
    }

    fn failure_response(&self, failure: &FailureBody) -> Response<AnswerBody> {
        let code = code_label(failure.code);
        let reason = failure.reason.as_deref().unwrap_or_default();
        // The failure's message isn't logged, since it may quote the request.
        log::info!(code = code, reason = reason; "request failed");
        self.metrics.failures.count(code);
        let mut response = Response::new(AnswerBody::from(failure.to_json()));
        *response.status_mut() = failure.code.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(seconds) = failure.retry_after_seconds {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

fn code_label(code: FailureCode) -> &'static str {
    match code {
        FailureCode::InvalidRequest => "invalid_request",
        FailureCode::BodyTooLarge => "body_too_large",
        FailureCode::UnknownOrganisation => "unknown_organisation",
        FailureCode::UnknownModel => "unknown_model",
        FailureCode::UnknownRoute => "unknown_route",
        FailureCode::Refused => "refused",
        FailureCode::ConnectionLost => "connection_lost",
        FailureCode::ServerFailed => "server_failed",
        FailureCode::DeadlinePassed => "deadline_passed",
        FailureCode::ShuttingDown => "shutting_down",
        FailureCode::AnswerGone => "answer_gone",
        FailureCode::ClaimsUnavailable => "claims_unavailable",
        FailureCode::KeyInUse => "key_in_use",
        FailureCode::KeyReused => "key_reused",
        FailureCode::AnswerNotKept => "answer_not_kept",
        FailureCode::FirstRunFailed => "first_run_failed",
    }
}
