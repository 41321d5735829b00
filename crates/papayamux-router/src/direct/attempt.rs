//! One sending of a request to one backend server.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::{select, Either};
use http::request::Request;
use papayamux_coordination::attempt_plan::AttemptLoss;
use papayamux_coordination::server_evidence::EvidenceKind;
use papayamux_transport::http::upstream::{UpstreamAnswer, UpstreamError};

use super::active_request::ActiveRequest;
use super::attempt_watch::AttemptAlarm;
use super::call_plan::CallPlan;
use super::interface::{AnswerVerdict, CallInterface};

/// Bytes of an answer that are collected before any of it is passed on, so that an answer that
/// breaks off can be asked for again.
const MAX_BUFFERED_ANSWER_BYTES: usize = 128 * 1024;

/// The cause of an attempt that ended with the time that was left.
pub(super) const DEADLINE_PASSED: &str = "the time is up";

/// An answer that has begun.
pub(super) struct AttemptAnswer {
    pub(super) answer: UpstreamAnswer,
    pub(super) active: ActiveRequest,
}

/// Why an attempt brought no answer.
pub(super) struct LostAttempt {
    pub(super) loss: AttemptLoss,
    pub(super) cause: String,
    /// Whether its server ended while it ran the request.
    pub(super) server_crashed: bool,
}

impl LostAttempt {
    /// An attempt that may have run.
    pub(super) fn unknown(cause: impl Into<String>) -> Self {
        Self { loss: AttemptLoss::Unknown, cause: cause.into(), server_crashed: false }
    }

    /// An attempt whose server turned it away.
    fn rejected(cause: impl Into<String>) -> Self {
        Self { loss: AttemptLoss::Rejected, cause: cause.into(), server_crashed: false }
    }

    /// An attempt that may have run and whose server has gone silent, or has started again.
    pub(super) fn silent(active: &ActiveRequest, cause: String) -> Self {
        let server_crashed = active.server_has_restarted();
        Self { loss: AttemptLoss::Unknown, cause, server_crashed }
    }

    /// An attempt that may have run and whose connection broke.
    pub(super) async fn broken(active: &ActiveRequest, cause: String) -> Self {
        let server_crashed = active.server_has_crashed().await;
        Self { loss: AttemptLoss::Unknown, cause, server_crashed }
    }
}

/// What was read of an answer's body.
pub(super) enum CollectedBody {
    /// All of it.
    Complete(Bytes),
    /// The beginning of one that is longer than is collected.
    Partial(Bytes),
}

/// What ended a wait.
pub(super) enum WaitResult<T> {
    /// What was waited for.
    Done(T),
    /// Nothing more is expected of the server, for this cause.
    Silent(&'static str),
    /// The caller or the route gives up.
    DeadlinePassed,
}

/// Waits for `work` until the plan gives up, and for a request that may be repeated no longer
/// than its server shows signs of life.
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

/// How long a silence is borne; `None` where the request can't be sent again.
fn silence_limit(plan: &CallPlan, active: &ActiveRequest) -> Option<Duration> {
    let kind = plan.kind();
    let speed = plan.fleet.speed(active.server());
    match (kind.may_repeat(), kind.is_stream()) {
        (false, _) => None,
        (true, false) => Some(speed.call_silence()),
        (true, true) if active.has_begun() => Some(speed.stream_silence()),
        (true, true) => Some(speed.first_silence(active.tokens_ahead()).max(plan.route.objective)),
    }
}

/// Sends the request once and waits for the head of its answer.
pub(super) async fn send_attempt(
    interface: &dyn CallInterface,
    plan: &CallPlan,
    active: ActiveRequest,
    request: Request<Bytes>,
) -> Result<AttemptAnswer, LostAttempt> {
    let mut active = active;
    let sending = plan.fleet.pool().send(active.server().address, request);
    let answer = match wait_for(plan, &active, sending).await {
        WaitResult::Done(Ok(answer)) => answer,
        WaitResult::Done(Err(error)) => return Err(lost_by_error(&active, &error).await),
        WaitResult::Silent(cause) => {
            active.record_failure_evidence(EvidenceKind::Unreachable);
            return Err(LostAttempt::silent(&active, cause.to_string()));
        }
        WaitResult::DeadlinePassed => return Err(LostAttempt::unknown(DEADLINE_PASSED)),
    };
    active.record_contact();
    if let Some(took) = answer.connecting_took() {
        active.record_connection(took);
    }
    if let Some(queue) = interface.reported_queue(&answer.head) {
        active.record_queue(queue);
    }
    let verdict = interface.verdict(&plan.call, &answer.head);
    if matches!(verdict, AnswerVerdict::Answer | AnswerVerdict::NotRun) {
        active.record_notice(interface.server_notice(&answer.head));
    }
    match verdict {
        AnswerVerdict::Answer => {
            active.record_answer_outcome(answer.head.status.is_server_error());
            Ok(AttemptAnswer { answer, active })
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
            Err(LostAttempt::unknown("the answer belongs to another request"))
        }
    }
}

async fn lost_by_error(active: &ActiveRequest, error: &UpstreamError) -> LostAttempt {
    active.record_failure_evidence(EvidenceKind::Unreachable);
    active.record_answer_outcome(true);
    let cause = error.to_string();
    if error.nothing_was_sent() {
        return LostAttempt { loss: AttemptLoss::NotSent, cause, server_crashed: false };
    }
    LostAttempt::broken(active, cause).await
}

/// How long the rest of a rejection may take to arrive, so that its connection can be kept.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(5);

async fn finish_rejection(mut answer: UpstreamAnswer) {
    let rest = async {
        while let Some(piece) = answer.next_piece().await {
            if piece.is_err() {
                return;
            }
        }
        answer.finish();
    };
    // A rejection that takes longer costs its connection and nothing else.
    let _ = monoio::time::timeout(REJECTION_TIMEOUT, rest).await;
}

/// Reads an answer's body up to the bound for collecting.
pub(super) async fn collect_body(
    plan: &CallPlan,
    attempt: &mut AttemptAnswer,
) -> Result<CollectedBody, LostAttempt> {
    let mut body = BytesMut::new();
    loop {
        let piece = wait_for(plan, &attempt.active, attempt.answer.next_piece()).await;
        match piece {
            WaitResult::Done(None) => return Ok(CollectedBody::Complete(body.freeze())),
            WaitResult::Done(Some(Ok(piece))) => {
                attempt.active.record_contact();
                body.extend_from_slice(&piece);
                if body.len() > MAX_BUFFERED_ANSWER_BYTES {
                    return Ok(CollectedBody::Partial(body.freeze()));
                }
            }
            WaitResult::Done(Some(Err(error))) => {
                attempt.active.record_answer_outcome(true);
                let cause = format!("the answer broke off: {error}");
                return Err(LostAttempt::broken(&attempt.active, cause).await);
            }
            WaitResult::Silent(cause) => {
                attempt.active.record_failure_evidence(EvidenceKind::Unreachable);
                return Err(LostAttempt::silent(
                    &attempt.active,
                    format!("{cause}, in its answer"),
                ));
            }
            WaitResult::DeadlinePassed => {
                return Err(LostAttempt::unknown("the time is up in the answer"))
            }
        }
    }
}
