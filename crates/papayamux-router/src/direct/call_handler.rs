//! Serves callers' requests: admits them, finds a server, passes the answer on.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use papayamux_transport::http::AnswerBody;

use super::active_request::ActiveRequest;
use super::attempt::{
    collect_body, send_attempt, AttemptAnswer, CollectedBody, LostAttempt, TIME_UP,
};
use super::call_plan::CallPlan;
use super::interface::CallInterface;
use super::request_body::read_body;
use super::stream_relay::{InFlight, StreamRelay};
use super::{CallFailure, CallHead, Fleet, NotRunReason};

/// Headers that belong to one connection.
const CONNECTION_HEADERS: [&str; 5] =
    ["keep-alive", "proxy-connection", "te", "trailer", "upgrade"];

/// The requests of callers.
pub struct CallHandler {
    fleet: Rc<Fleet>,
    interface: Rc<dyn CallInterface>,
}

impl CallHandler {
    /// A handler that speaks `interface`.
    pub fn new(fleet: Rc<Fleet>, interface: Rc<dyn CallInterface>) -> Rc<Self> {
        Rc::new(Self { fleet, interface })
    }

    /// Answers a request.
    pub async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let call = match self.interface.read_call(head) {
            Ok(call) => Rc::new(call),
            Err(failure) => return self.refuse(None, arrived, &failure),
        };
        match self.serve(call.clone(), body, arrived).await {
            Ok(response) => response,
            Err(failure) => self.refuse(Some(&call), arrived, &failure),
        }
    }

    fn refuse(
        &self,
        call: Option<&CallHead>,
        arrived: Instant,
        failure: &CallFailure,
    ) -> Response<AnswerBody> {
        self.fleet.metrics().outcomes.count(failure.label());
        log::info!(
            request:% = call.map_or("", |call| call.id.0.as_str()), outcome = failure.label(),
            cause:% = failure, ms = arrived.elapsed().as_millis() as u64,
            configuration:% = self.fleet.configuration_version(),
            configuration_age_ms = self.configuration_age_ms(); "request refused"
        );
        self.interface.failure(failure)
    }

    fn configuration_age_ms(&self) -> u64 {
        let age = self.fleet.configuration_age();
        age.map_or(u64::MAX, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    async fn serve(
        &self,
        call: Rc<CallHead>,
        body: Incoming,
        arrived: Instant,
    ) -> Result<Response<AnswerBody>, CallFailure> {
        let admitted = self.fleet.admit(&call).await?;
        let draw = rand::random::<f64>();
        let Some(service) = admitted.route.pick_service(draw).cloned() else {
            return Err(CallFailure::not_run(NotRunReason::NoServer));
        };
        let fleet = self.fleet.clone();
        let mut plan =
            CallPlan::new(fleet, call, admitted.route, service, admitted.holder, arrived);
        plan.body = read_body(body, admitted.longest_body, plan.left()).await?;
        plan.check_quarantine()?;
        plan.check_open()?;
        let in_flight = InFlight::begin(&self.fleet);
        self.fleet.budget().borrow_mut().note_request(&plan.service, Instant::now());
        plan.wait_for_rest().await?;
        plan.wait_for_turn().await?;
        self.run(plan, in_flight).await
    }

    /// Makes attempts until there is an answer, or none can be had.
    async fn run(
        &self,
        mut plan: CallPlan,
        in_flight: InFlight,
    ) -> Result<Response<AnswerBody>, CallFailure> {
        let mut fallback = None;
        loop {
            let mut attempt = match self.attempt(&mut plan).await {
                Ok(attempt) => attempt,
                Err(Failed::Given(failure)) => return fallback.ok_or(failure),
                Err(Failed::Lost(lost)) => match plan.after_loss(&lost) {
                    Ok(()) => continue,
                    Err(failure) if lost.cause == TIME_UP => return Err(timed_out(failure)),
                    Err(failure) => return fallback.ok_or(failure),
                },
            };
            if plan.kind().is_stream() && attempt.answer.head.status.is_success() {
                return Ok(self.pass_stream(plan, attempt, in_flight));
            }
            let body = match collect_body(&plan, &mut attempt).await {
                Ok(CollectedBody::Whole(body)) => body,
                Ok(CollectedBody::Begun(begun)) => {
                    return Ok(self.pass_rest(plan, attempt, begun, in_flight));
                }
                Err(lost) => match plan.after_loss(&lost) {
                    Ok(()) => continue,
                    Err(failure) => return fallback.ok_or(failure),
                },
            };
            let response = self.whole_answer(&plan, attempt, body);
            let failed = response.status().is_server_error();
            if !failed || !plan.kind().may_retry() {
                return Ok(response);
            }
            match plan.after_loss(&LostAttempt::unknown("the server failed")) {
                Ok(()) => fallback = Some(response),
                Err(_) => return Ok(response),
            }
        }
    }

    async fn attempt(&self, plan: &mut CallPlan) -> Result<AttemptAnswer, Failed> {
        plan.find_holders().await;
        let (chosen, active) = loop {
            let chosen = plan.choose().map_err(Failed::Given)?;
            let mut active = ActiveRequest::begin(plan, &chosen);
            active.wait_for_parts(plan).await;
            // The server may have left while the request waited.
            if active.may_be_sent() {
                active.begin_sending(plan);
                break (chosen, active);
            }
            plan.withdraw_choice();
        };
        let dispatch = plan.dispatch(&chosen, plan.call.last_event);
        let request = self.interface.server_request(&plan.call, &dispatch, plan.body.clone());
        send_attempt(&*self.interface, plan, active, request).await.map_err(Failed::Lost)
    }

    fn whole_answer(
        &self,
        plan: &CallPlan,
        attempt: AttemptAnswer,
        body: Bytes,
    ) -> Response<AnswerBody> {
        let mut head = answer_head(&attempt.answer.head);
        head.headers.remove(http::header::CONTENT_LENGTH);
        log_answer(plan, &attempt);
        plan.note_run();
        if !plan.kind().is_stream() {
            attempt.active.note_call_end();
        }
        attempt.answer.finish();
        Response::from_parts(head, AnswerBody::Whole(body))
    }

    fn pass_stream(
        &self,
        plan: CallPlan,
        attempt: AttemptAnswer,
        in_flight: InFlight,
    ) -> Response<AnswerBody> {
        let head = answer_head(&attempt.answer.head);
        log_answer(&plan, &attempt);
        let relay = StreamRelay::events(self.interface.clone(), plan, attempt, in_flight);
        Response::from_parts(head, relay.into_body())
    }

    fn pass_rest(
        &self,
        plan: CallPlan,
        attempt: AttemptAnswer,
        begun: Bytes,
        in_flight: InFlight,
    ) -> Response<AnswerBody> {
        let head = answer_head(&attempt.answer.head);
        log_answer(&plan, &attempt);
        let relay = StreamRelay::rest(self.interface.clone(), plan, attempt, begun, in_flight);
        Response::from_parts(head, relay.into_body())
    }
}

/// Why there is no answer from one attempt.
enum Failed {
    /// No attempt was made.
    Given(CallFailure),
    /// The attempt was lost.
    Lost(LostAttempt),
}

fn timed_out(failure: CallFailure) -> CallFailure {
    match failure {
        CallFailure::Unknown(_) => CallFailure::TimedOut,
        other => other,
    }
}

/// The head of a caller's answer: the server's, without what belongs to its connection.
fn answer_head(head: &Parts) -> Parts {
    let (mut answer, ()) = Response::new(()).into_parts();
    answer.status = head.status;
    answer.headers = head.headers.clone();
    remove_connection_headers(&mut answer.headers);
    answer
}

/// Removes headers that belong to one connection.
fn remove_connection_headers(headers: &mut HeaderMap) {
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}

fn log_answer(plan: &CallPlan, attempt: &AttemptAnswer) {
    let metrics = plan.fleet.metrics();
    metrics.outcomes.count("answered");
    metrics.note_head(plan.kind(), plan.arrived.elapsed());
    let (status, ms) = (attempt.answer.head.status.as_u16(), millis(plan.arrived.elapsed()));
    let (active, configuration) = (&attempt.active, plan.fleet.configuration_version());
    let servers_age_ms = plan.fleet.servers_age().map_or(u64::MAX, millis);
    let prompt = &plan.call.prompt;
    if prompt.parts().is_empty() {
        log::info!(
            request:% = plan.call.id, route:% = plan.route.id, service:% = plan.service,
            server:% = active.server().id, status = status, configuration:% = configuration,
            servers_age_ms = servers_age_ms, lost = plan.offers(), ms = ms; "answer passed on"
        );
        return;
    }
    let chosen = active.chosen();
    let placement = chosen.placement;
    let source = chosen.fetch_from.as_ref().map_or("", |source| source.id.as_str());
    log::info!(
        request:% = plan.call.id, route:% = plan.route.id, service:% = plan.service,
        server:% = active.server().id, status = status, configuration:% = configuration,
        servers_age_ms = servers_age_ms, lost = plan.offers(), ms = ms, sent_ms = millis(active.age()),
        shared:% = prompt.shared_part(), held = placement.held.get(),
        known = placement.known.get(), home = placement.is_home, copied_from = source,
        expected_ms = millis(chosen.expected);
        "answer passed on"
    );
}

fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
