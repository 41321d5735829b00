//! Handles callers' requests: admits them, finds a server and forwards the answer.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, Response};
use papayamux_coordination::body_end::BodyEnd;
use papayamux_state::backend::ServerSlowdown;
use papayamux_transport::http::{AnswerBody, BodyReadError, CallerBody};

use super::active_request::ActiveRequest;
use super::attempt::{
    collect_body, send_attempt, AttemptAnswer, CollectedBody, LostAttempt, DEADLINE_PASSED,
};
use super::call_plan::{CallPlan, ReceivedCall};
use super::interface::CallInterface;
use super::stream_relay::{InFlight, StreamRelay};
use super::{CallFailure, CallHead, Fleet, NotRunReason};

/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Connection-specific headers, which must not be forwarded.
const CONNECTION_HEADERS: [&str; 5] =
    ["keep-alive", "proxy-connection", "te", "trailer", "upgrade"];

/// Handler for the requests of callers.
pub struct CallHandler {
    fleet: Rc<Fleet>,
    interface: Rc<dyn CallInterface>,
}

impl CallHandler {
    /// Creates a handler that translates requests by `interface`.
    pub fn new(fleet: Rc<Fleet>, interface: Rc<dyn CallInterface>) -> Rc<Self> {
        Rc::new(Self { fleet, interface })
    }

    /// Handles a request and returns its answer.
    pub async fn handle(self: Rc<Self>, request: Request<CallerBody>) -> Response<AnswerBody> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let call = match self.interface.read_call(head) {
            Ok(call) => Rc::new(call),
            Err(failure) => return self.refuse(None, arrived, &failure),
        };
        let connection = body.connection();
        let received = ReceivedCall { call: call.clone(), connection, arrived };
        match self.serve(received, body).await {
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
        received: ReceivedCall,
        body: CallerBody,
    ) -> Result<Response<AnswerBody>, CallFailure> {
        let admitted = self.fleet.admit(&received.call).await?;
        let sample = rand::random::<f64>();
        let Some(service) = admitted.route.pick_service(sample).cloned() else {
            return Err(CallFailure::not_run(NotRunReason::NoServer));
        };
        let fleet = self.fleet.clone();
        let mut plan = CallPlan::new(fleet, received, admitted.route, service, admitted.holder);
        plan.connection.set_deadline(plan.give_up_at);
        let body = body.read(admitted.max_body_bytes, plan.left()).await;
        plan.body = body.map_err(|error| unread_body(&plan, error))?;
        plan.check_quarantine()?;
        plan.keep_origin().await?;
        plan.check_open()?;
        let in_flight = InFlight::begin(&self.fleet);
        self.fleet.budget().borrow_mut().record_request(&plan.service, Instant::now());
        plan.wait_for_backoff().await?;
        plan.wait_for_slot().await?;
        self.run(plan, in_flight).await
    }

    /// Makes attempts until there is an answer or no further attempt is possible.
    async fn run(
        &self,
        mut plan: CallPlan,
        in_flight: InFlight,
    ) -> Result<Response<AnswerBody>, CallFailure> {
        let mut fallback = None;
        loop {
            let mut attempt = match self.attempt(&mut plan).await {
                Ok(attempt) => attempt,
                Err(AttemptFailure::NotMade(failure)) => return fallback.ok_or(failure),
                Err(AttemptFailure::Lost(lost)) => match plan.after_lost_attempt(&lost) {
                    Ok(()) => continue,
                    Err(failure) if lost.cause == DEADLINE_PASSED => {
                        return Err(timed_out(failure))
                    }
                    Err(failure) => return fallback.ok_or(failure),
                },
            };
            let error_cause = attempt.error_cause;
            if plan.kind().is_stream() && is_event_stream(&attempt.answer.head) {
                plan.record_attempt_outcome(true);
                return Ok(self.pass_stream(plan, attempt, in_flight));
            }
            let (body, end) = match collect_body(&plan, &mut attempt).await {
                Ok(CollectedBody::Complete(body, end)) => (body, end),
                Ok(CollectedBody::Partial(collected)) => {
                    plan.record_attempt_outcome(error_cause.is_none());
                    return Ok(self.pass_remainder(plan, attempt, collected, in_flight));
                }
                Err(lost) => match plan.after_lost_attempt(&lost) {
                    Ok(()) => continue,
                    Err(failure) => return fallback.ok_or(failure),
                },
            };
            let response = self.complete_answer(&plan, attempt, body, end);
            plan.record_attempt_outcome(error_cause.is_none());
            let Some(cause) = error_cause.filter(|_| plan.kind().may_retry()) else {
                return Ok(response);
            };
            match plan.after_loss(&LostAttempt::server_error(cause)) {
                Ok(()) => fallback = Some(response),
                Err(_) => return Ok(response),
            }
        }
    }

    async fn attempt(&self, plan: &mut CallPlan) -> Result<AttemptAnswer, AttemptFailure> {
        plan.find_holders().await;
        let (chosen, active) = loop {
            let chosen = plan.choose().map_err(AttemptFailure::NotMade)?;
            let mut active = ActiveRequest::begin(plan, &chosen);
            active.wait_for_parts(plan).await;
            // A suspect of the request may have been quarantined meanwhile.
            plan.check_quarantine().map_err(AttemptFailure::NotMade)?;
            // The server may have departed while the request waited.
            if active.may_be_sent() {
                plan.begin_attempt();
                active.begin_sending(plan);
                break (chosen, active);
            }
            plan.withdraw_choice();
        };
        let dispatch = plan.dispatch(&chosen, plan.call.last_event);
        let request = self.interface.server_request(&plan.call, &dispatch, plan.body.clone());
        send_attempt(&*self.interface, plan, active, request).await.map_err(AttemptFailure::Lost)
    }

    fn complete_answer(
        &self,
        plan: &CallPlan,
        attempt: AttemptAnswer,
        body: Bytes,
        end: BodyEnd,
    ) -> Response<AnswerBody> {
        let head = answer_head(&attempt.answer.head);
        log_answer(plan, &attempt);
        plan.record_completion(attempt.active.server(), head.status, end);
        if !plan.kind().is_stream() {
            attempt.active.record_call_end();
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

    fn pass_remainder(
        &self,
        plan: CallPlan,
        attempt: AttemptAnswer,
        collected: Bytes,
        in_flight: InFlight,
    ) -> Response<AnswerBody> {
        let mut head = answer_head(&attempt.answer.head);
        if let Some(length) = attempt.answer.declared_length() {
            head.headers.insert(CONTENT_LENGTH, HeaderValue::from(length.get()));
        }
        log_answer(&plan, &attempt);
        let relay =
            StreamRelay::remainder(self.interface.clone(), plan, attempt, collected, in_flight);
        Response::from_parts(head, relay.into_body())
    }
}

/// The reason that an attempt has no answer.
enum AttemptFailure {
    /// No attempt was made.
    NotMade(CallFailure),
    /// The attempt was lost.
    Lost(LostAttempt),
}

fn unread_body(plan: &CallPlan, error: BodyReadError) -> CallFailure {
    match error {
        BodyReadError::TooLong { .. } => CallFailure::TooLong,
        BodyReadError::Incomplete => plan.failure(NotRunReason::Incomplete),
        BodyReadError::NoMemory => plan.failure(NotRunReason::NoMemory),
    }
}

fn timed_out(failure: CallFailure) -> CallFailure {
    match failure {
        CallFailure::Unknown(_) => CallFailure::TimedOut,
        other => other,
    }
}

/// Returns the head of the caller's answer: the server's head without connection-specific headers and
/// without its framing. Another server may continue a stream, with another length than the first one
/// declared.
fn answer_head(head: &Parts) -> Parts {
    let (mut answer, ()) = Response::new(()).into_parts();
    answer.status = head.status;
    answer.headers = head.headers.clone();
    remove_connection_headers(&mut answer.headers);
    answer.headers.remove(CONTENT_LENGTH);
    answer
}

/// Returns whether the answer to a streaming request is a stream of events. One without a media
/// type is taken for a stream.
fn is_event_stream(head: &Parts) -> bool {
    let media_type = head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    head.status.is_success()
        && media_type.is_none_or(|text| {
            text.get(..EVENT_STREAM.len())
                .is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
        })
}

fn remove_connection_headers(headers: &mut HeaderMap) {
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}

/// The slowdown of a server in the log line of an answer; all zero if it reports none.
struct SlowdownFields {
    /// What the server reported with the answer, in per cent.
    reported: u32,
    /// What was expected when the server was chosen, in per cent.
    expected: u32,
    /// The age of the report from which it was expected.
    age_ms: u64,
}

impl SlowdownFields {
    fn of(active: &ActiveRequest) -> Self {
        let chosen = active.chosen();
        Self {
            reported: active.slowdown().map_or(0, ServerSlowdown::percent),
            expected: chosen.slowdown_age.map_or(0, |_| (chosen.slowdown * 100.0).round() as u32),
            age_ms: chosen.slowdown_age.map_or(0, millis),
        }
    }
}

fn log_answer(plan: &CallPlan, attempt: &AttemptAnswer) {
    let metrics = plan.fleet.metrics();
    metrics.outcomes.count("answered");
    metrics.record_head(plan.kind(), plan.arrived.elapsed());
    let (status, ms) = (attempt.answer.head.status.as_u16(), millis(plan.arrived.elapsed()));
    let (active, configuration) = (&attempt.active, plan.fleet.configuration_version());
    let servers_age_ms = plan.fleet.servers_age().map_or(u64::MAX, millis);
    let slowdown = SlowdownFields::of(active);
    let prompt = &plan.call.prompt;
    if prompt.parts().is_empty() {
        log::info!(
            request:% = plan.call.id, route:% = plan.route.id, service:% = plan.service,
            server:% = active.server().id, status = status, configuration:% = configuration,
            servers_age_ms = servers_age_ms, lost = plan.offers(), ms = ms,
            slowdown_percent = slowdown.reported, expected_slowdown_percent = slowdown.expected,
            slowdown_age_ms = slowdown.age_ms; "answer passed on"
        );
        return;
    }
    let chosen = active.chosen();
    let placement = chosen.placement;
    let source = chosen.fetch_from.as_ref().map_or("", |source| source.id.as_str());
    let resumes = plan.call.resumes.as_ref().map_or("", |id| id.0.as_str());
    log::info!(
        request:% = plan.call.id, route:% = plan.route.id, service:% = plan.service,
        server:% = active.server().id, version = active.server().version_text(),
        resumes = resumes, last_event = plan.call.last_event.unwrap_or_default(),
        status = status, configuration:% = configuration,
        servers_age_ms = servers_age_ms, lost = plan.offers(), ms = ms, sent_ms = millis(active.age()),
        shared:% = prompt.shared_part(), held = placement.held.get(),
        known = placement.known.get(), home = placement.is_home, copied_from = source,
        expected_ms = millis(chosen.expected), slowdown_percent = slowdown.reported,
        expected_slowdown_percent = slowdown.expected, slowdown_age_ms = slowdown.age_ms;
        "answer passed on"
    );
}

fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
