//! One attempt to send a request to a backend server.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{select, Either};
use http::header::CONTENT_TYPE;
use http::request::Request;
use http::response::Parts;
use papayamux_coordination::attempt_plan::AttemptLoss;
use papayamux_coordination::body_end::BodyEnd;
use papayamux_coordination::late_delivery::LateDelivery;
use papayamux_coordination::retry_benefit::FailureCause;
use papayamux_coordination::server_evidence::EvidenceKind;
use papayamux_state::backend::{ReportedQueue, ServerNotice};
use papayamux_state::quantities::ByteCount;
use papayamux_transport::http::upstream::{UpstreamAnswer, UpstreamError};
use papayamux_transport::http::{AnswerBuffer, RequestBody};
use serde::de::IgnoredAny;

use super::active_request::ActiveRequest;
use super::attempt_watch::AttemptAlarm;
use super::call_plan::CallPlan;
use super::interface::{AnswerVerdict, CallInterface};

/// Size of an answer up to which it is buffered before any of it is forwarded, so that the request
/// can be retried if the answer breaks off.
const MAX_BUFFERED_ANSWER_BYTES: usize = 128 * 1024;

/// The reason in metrics for an answer with too many bytes without progress.
const NO_PROGRESS: &str = "no_progress";
/// The reason in metrics for an answer to another request.
const FOREIGN: &str = "foreign";
/// The reason in metrics for an answer that names no request.
const UNIDENTIFIED: &str = "unidentified";
/// The reason in metrics for an answer over the size limit.
const LONG_BODY: &str = "long_body";

/// The cause of an attempt that was stopped by the deadline of its request.
pub(super) const DEADLINE_PASSED: &str = "the deadline has passed";

/// An answer whose head was received.
pub(super) struct AttemptAnswer {
    pub(super) answer: UpstreamAnswer,
    pub(super) active: ActiveRequest,
    /// Set if the answer is an error of the server.
    pub(super) error_cause: Option<FailureCause>,
    late_delivery: LateDelivery,
}

impl AttemptAnswer {
    /// Waits for the next piece of the body. After the deadline, what is ready is still returned, up to a
    /// bound.
    pub(super) async fn next_piece(
        &mut self,
        plan: &CallPlan,
    ) -> WaitResult<Option<Result<Bytes, hyper::Error>>> {
        let result = wait_for(plan, &self.active, self.answer.next_piece()).await;
        if let WaitResult::Done(Some(Ok(piece))) = &result {
            let bytes = ByteCount::new(piece.len() as u64);
            if !self.late_delivery.allows(bytes, plan.left(), self.answer.framing()) {
                return WaitResult::DeadlinePassed;
            }
            self.active.record_contact();
        }
        result
    }

    /// Counts the answer if it broke off because its server sent too much without progress.
    pub(super) fn count_without_progress(&self, plan: &CallPlan) {
        if self.answer.is_without_progress() {
            plan.fleet.metrics().unusable_answers.count(NO_PROGRESS);
        }
    }
}

/// The failure of an attempt that brought no answer.
pub(super) struct LostAttempt {
    pub(super) loss: AttemptLoss,
    pub(super) cause: String,
    /// `true` if the server crashed while it ran the request.
    pub(super) server_crashed: bool,
    /// Set if the server answered with an error.
    pub(super) error_cause: Option<FailureCause>,
}

impl LostAttempt {
    /// Creates the loss of an attempt that may have run.
    pub(super) fn unknown(cause: impl Into<String>) -> Self {
        Self::new(AttemptLoss::Unknown, cause.into(), false)
    }

    /// Creates the loss of an attempt that the server answered with an error.
    pub(super) fn server_error(cause: FailureCause) -> Self {
        let lost = Self::unknown("the server answered with an error");
        Self { error_cause: Some(cause), ..lost }
    }

    /// Creates the loss of an attempt that the server refused.
    fn rejected(cause: impl Into<String>) -> Self {
        Self::new(AttemptLoss::Rejected, cause.into(), false)
    }

    /// Creates the loss of an attempt that may have run and whose server went silent or restarted.
    pub(super) fn silent(active: &ActiveRequest, cause: String) -> Self {
        Self::new(AttemptLoss::Unknown, cause, active.server_has_restarted())
    }

    /// Creates the loss of an attempt that may have run and whose connection broke.
    pub(super) async fn broken(active: &ActiveRequest, cause: String) -> Self {
        Self::new(AttemptLoss::Unknown, cause, active.server_has_crashed().await)
    }

    fn new(loss: AttemptLoss, cause: String, server_crashed: bool) -> Self {
        Self { loss, cause, server_crashed, error_cause: None }
    }
}

/// The part of an answer's body that was buffered.
pub(super) enum CollectedBody {
    /// The complete body, and how it ended.
    Complete(Bytes, BodyEnd),
    /// The beginning of a body that exceeds the buffer limit, or the memory that is left.
    Partial(Bytes),
}

/// The outcome of a wait.
pub(super) enum WaitResult<T> {
    /// The result of the awaited operation.
    Done(T),
    /// No response is expected from the server any more, for the given cause.
    Silent(&'static str),
    /// The deadline of the caller or of the route has passed.
    DeadlinePassed,
}

/// Waits for `work` until the deadline of the request. If the request may be retried, the wait ends
/// also when the server has shown no sign of life for too long.
pub(super) async fn wait_for<T>(
    plan: &CallPlan,
    active: &ActiveRequest,
    work: impl std::future::Future<Output = T>,
) -> WaitResult<T> {
    let watched = active.watched();
    watched.set_silence_limit(silence_limit(plan, active));
    let mut work = std::pin::pin!(work);
    loop {
        let alarm = std::pin::pin!(watched.alarm());
        match select(work.as_mut(), alarm).await {
            Either::Left((done, _)) => return WaitResult::Done(done),
            Either::Right((AttemptAlarm::DeadlinePassed, _)) => return WaitResult::DeadlinePassed,
            Either::Right((AttemptAlarm::Silent(cause), _)) if plan.may_leave() => {
                return WaitResult::Silent(cause);
            }
            Either::Right((AttemptAlarm::Silent(_), _)) => watched.set_silence_limit(None),
        }
    }
}

/// Returns the maximum silence of the server that is tolerated; `None` if the request can't be
/// retried.
fn silence_limit(plan: &CallPlan, active: &ActiveRequest) -> Option<Duration> {
    let kind = plan.kind();
    let speed = plan.fleet.speed(active.server(), Instant::now());
    match (kind.may_retry(), kind.is_stream()) {
        (false, _) => None,
        (true, false) => Some(speed.call_silence()),
        (true, true) if active.has_begun() => Some(speed.stream_silence()),
        (true, true) => {
            Some(speed.first_event_silence(active.tokens_ahead()).max(plan.route.objective))
        }
    }
}

/// Sends the request once and waits for the head of the answer.
pub(super) async fn send_attempt(
    interface: &dyn CallInterface,
    plan: &CallPlan,
    active: ActiveRequest,
    request: Request<RequestBody>,
) -> Result<AttemptAnswer, LostAttempt> {
    let mut active = active;
    let sending = plan.fleet.pool().send(active.server().address, request);
    let answer = match wait_for(plan, &active, sending).await {
        WaitResult::Done(Ok(answer)) => answer,
        WaitResult::Done(Err(error)) => return Err(lost_by_error(plan, &active, &error).await),
        WaitResult::Silent(cause) => {
            active.record_failure_evidence(EvidenceKind::Unreachable);
            return Err(LostAttempt::silent(&active, cause.to_string()));
        }
        WaitResult::DeadlinePassed => return Err(LostAttempt::unknown(DEADLINE_PASSED)),
    };
    active.record_contact();
    if let Some(elapsed) = answer.connect_time() {
        active.record_connection(elapsed);
    }
    let queue = interface.reported_queue(&answer.head);
    if let Some(queue) = queue {
        active.record_queue(queue);
    }
    let verdict = interface.verdict(&plan.call, &answer.head);
    if matches!(verdict, AnswerVerdict::Answer | AnswerVerdict::NotRun) {
        if let Some(queue) = queue {
            active.record_slowdown(queue.slowdown);
        }
        let notice = interface.server_notice(&answer.head);
        active.record_notice(notice);
        if verdict == AnswerVerdict::NotRun && is_full(notice, queue) {
            active.record_full_server();
        }
    }
    match verdict {
        AnswerVerdict::Answer if exceeds_limit(plan, answer.declared_length()) => {
            active.record_answer_outcome(true);
            Err(lost_by_long_body(plan, &active))
        }
        AnswerVerdict::Answer => {
            let is_error = answer.head.status.is_server_error();
            // The error itself must not count: one among few answers would make any server look
            // worse than the others.
            let error_cause = is_error.then(|| plan.fleet.error_cause(active.server()));
            active.record_answer_outcome(is_error);
            Ok(AttemptAnswer {
                answer,
                active,
                error_cause,
                late_delivery: LateDelivery::default(),
            })
        }
        AnswerVerdict::NotRun => {
            active.record_answer_outcome(true);
            finish_rejection(answer).await;
            Err(LostAttempt::rejected("rejected"))
        }
        AnswerVerdict::OtherServer => {
            active.record_failure_evidence(EvidenceKind::Displaced);
            Err(LostAttempt::rejected("another server has the address"))
        }
        AnswerVerdict::Foreign => {
            plan.fleet.metrics().unusable_answers.count(FOREIGN);
            Err(LostAttempt::unknown("the answer belongs to another request"))
        }
        AnswerVerdict::Unidentified => {
            plan.fleet.metrics().unusable_answers.count(UNIDENTIFIED);
            let status = answer.head.status.as_u16();
            Err(LostAttempt::unknown(format!("an answer with status {status} names no request")))
        }
    }
}

/// Returns whether a body of `bytes` exceeds the size limit of answers.
pub(super) fn exceeds_limit(plan: &CallPlan, bytes: Option<ByteCount>) -> bool {
    bytes.is_some_and(|bytes| bytes > plan.fleet.settings().longest_answer)
}

/// Records the loss of an attempt whose answer exceeds the size limit.
pub(super) fn lost_by_long_body(plan: &CallPlan, active: &ActiveRequest) -> LostAttempt {
    plan.fleet.metrics().unusable_answers.count(LONG_BODY);
    active.record_failure_evidence(EvidenceKind::Unreachable);
    let limit = plan.fleet.settings().longest_answer;
    LostAttempt::unknown(format!("the answer is longer than {limit} bytes"))
}

/// Returns whether a server that has not run a request refused it for want of room, as far as it
/// says. One that reports no queue and asks for no rest is taken to be full.
fn is_full(notice: ServerNotice, queue: Option<ReportedQueue>) -> bool {
    let is_busy = queue.is_none_or(|queue| queue.running >= queue.slots);
    notice == ServerNotice::default() && is_busy
}

async fn lost_by_error(
    plan: &CallPlan,
    active: &ActiveRequest,
    error: &UpstreamError,
) -> LostAttempt {
    if matches!(error, UpstreamError::NoAnswer { .. }) {
        plan.fleet.metrics().unusable_answers.count(NO_PROGRESS);
    }
    active.record_failure_evidence(EvidenceKind::Unreachable);
    active.record_answer_outcome(true);
    let cause = error.to_string();
    if error.nothing_was_sent() {
        active.record_server_down();
        return LostAttempt::new(AttemptLoss::NotSent, cause, false);
    }
    LostAttempt::broken(active, cause).await
}

/// Time for the body of a refusal to arrive, so that the connection can be reused.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(5);

async fn finish_rejection(mut answer: UpstreamAnswer) {
    let remainder = async {
        while let Some(piece) = answer.next_piece().await {
            if piece.is_err() {
                return;
            }
        }
        answer.finish();
    };
    // A slower refusal costs only its connection.
    let _ = monoio::time::timeout(REJECTION_TIMEOUT, remainder).await;
}

/// Returns how an answer ended whose whole body was buffered. A JSON document shows whether its end
/// is missing.
fn body_end(answer: &UpstreamAnswer, body: &[u8]) -> BodyEnd {
    match BodyEnd::of_body(answer.framing()) {
        BodyEnd::Unmarked if is_json(&answer.head) => {
            match serde_json::from_slice::<IgnoredAny>(body) {
                Ok(_) => BodyEnd::Complete,
                Err(_) => BodyEnd::Truncated,
            }
        }
        end => end,
    }
}

fn is_json(head: &Parts) -> bool {
    let media_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let essence = media_type.and_then(|text| text.split(';').next()).unwrap_or_default();
    essence.trim().eq_ignore_ascii_case("application/json")
}

/// Reads the body of an answer up to the buffer limit, or as far as there is memory for it.
pub(super) async fn collect_body(
    plan: &CallPlan,
    attempt: &mut AttemptAnswer,
) -> Result<CollectedBody, LostAttempt> {
    let declared = attempt.answer.declared_length();
    let mut body = AnswerBuffer::new(plan.connection.clone(), MAX_BUFFERED_ANSWER_BYTES, declared);
    loop {
        match attempt.next_piece(plan).await {
            WaitResult::Done(None) => {
                let body = body.into_bytes();
                let end = body_end(&attempt.answer, &body);
                plan.fleet.metrics().answer_ends.count(end.label());
                if end == BodyEnd::Truncated {
                    attempt.active.record_answer_outcome(true);
                    let cause = "the answer broke off: truncated JSON".to_string();
                    return Err(LostAttempt::broken(&attempt.active, cause).await);
                }
                return Ok(CollectedBody::Complete(body, end));
            }
            WaitResult::Done(Some(Ok(piece))) => {
                let has_room = body.append(&piece).is_ok();
                if !has_room {
                    body.append_forced(&piece);
                }
                if !has_room || body.len() > MAX_BUFFERED_ANSWER_BYTES {
                    return Ok(CollectedBody::Partial(body.into_bytes()));
                }
            }
            WaitResult::Done(Some(Err(error))) => {
                attempt.count_without_progress(plan);
                attempt.active.record_answer_outcome(true);
                let cause = format!("the answer broke off: {error}");
                return Err(LostAttempt::broken(&attempt.active, cause).await);
            }
            WaitResult::Silent(cause) => {
                attempt.active.record_failure_evidence(EvidenceKind::Unreachable);
                return Err(LostAttempt::silent(
                    &attempt.active,
                    format!("{cause} during its answer"),
                ));
            }
            WaitResult::DeadlinePassed => {
                return Err(LostAttempt::unknown("the deadline passed during the answer"))
            }
        }
    }
}
