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
const BUFFERED_ANSWER: usize = 128 * 1024;

/// The cause of an attempt that ended with the time that was left.
pub(super) const TIME_UP: &str = "the time is up";

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
    pub(super) server_ended: bool,
}

impl LostAttempt {
    /// An attempt that may have run.
    pub(super) fn unknown(cause: impl Into<String>) -> Self {
        Self { loss: AttemptLoss::Unknown, cause: cause.into(), server_ended: false }
    }

    /// An attempt whose server turned it away.
    fn rejected(cause: impl Into<String>) -> Self {
        Self { loss: AttemptLoss::Rejected, cause: cause.into(), server_ended: false }
    }

    /// An attempt that may have run and whose server has gone silent, or has started again.
    pub(super) fn silent(active: &ActiveRequest, cause: String) -> Self {
        let server_ended = active.server_has_restarted();
        Self { loss: AttemptLoss::Unknown, cause, server_ended }
    }

    /// An attempt that may have run and whose connection broke.
    pub(super) async fn broken(active: &ActiveRequest, cause: String) -> Self {
        let server_ended = active.server_has_ended().await;
        Self { loss: AttemptLoss::Unknown, cause, server_ended }
    }
}

/// What was read of an answer's body.
pub(super) enum CollectedBody {
    /// All of it.
    Whole(Bytes),
    /// The beginning of one that is longer than is collected.
    Begun(Bytes),
}

/// What ended a wait.
pub(super) enum Waited<T> {
    /// What was waited for.
    Done(T),
    /// Nothing more is expected of the server, for this cause.
    Silent(&'static str),
    /// The caller or the route gives up.
    TimeUp,
}

/// Waits for `work` until the plan gives up, and for a request that may be repeated no longer
/// than its server shows signs of life.
pub(super) async fn wait_for<T>(
    plan: &CallPlan,
    active: &ActiveRequest,
    work: impl std::future::Future<Output = T>,
) -> Waited<T> {
    let watched = active.watched();
    watched.set_patience(patience(plan, active));
    let mut work = std::pin::pin!(work);
    loop {
        let alarm = std::pin::pin!(watched.alarm());
        match select(work.as_mut(), alarm).await {
            Either::Left((done, _)) => return Waited::Done(done),
            Either::Right((AttemptAlarm::TimeUp, _)) => return Waited::TimeUp,
            Either::Right((AttemptAlarm::Silent(cause), _)) if plan.may_leave() => {
                return Waited::Silent(cause);
            }
            Either::Right((AttemptAlarm::Silent(_), _)) => watched.set_patience(None),
        }
    }
}

/// How long a silence is borne; `None` where the request can't be sent again.
fn patience(plan: &CallPlan, active: &ActiveRequest) -> Option<Duration> {
    let kind = plan.kind();
    let speed = plan.fleet.speed(active.server());
    match (kind.may_repeat(), kind.is_stream()) {
        (false, _) => None,
        (true, false) => Some(speed.call_silence()),
        (true, true) if active.has_begun() => Some(speed.stream_silence()),
        (true, true) => Some(speed.first_silence(active.ahead()).max(plan.route.objective)),
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
        Waited::Done(Ok(answer)) => answer,
        Waited::Done(Err(error)) => return Err(lost_by_error(&active, &error).await),
        Waited::Silent(cause) => {
            active.accuse(EvidenceKind::Unreachable);
            return Err(LostAttempt::silent(&active, cause.to_string()));
        }
        Waited::TimeUp => return Err(LostAttempt::unknown(TIME_UP)),
    };
    active.hear();
    if let Some(took) = answer.connect_time() {
        active.note_connection(took);
    }
    if let Some(queue) = interface.reported_queue(&answer.head) {
        active.note_queue(queue);
    }
    let verdict = interface.verdict(&plan.call, &answer.head);
    if matches!(verdict, AnswerVerdict::Answer | AnswerVerdict::NotRun) {
        active.take_notice(interface.server_notice(&answer.head));
    }
    match verdict {
        AnswerVerdict::Answer => {
            active.judge(answer.head.status.is_server_error());
            Ok(AttemptAnswer { answer, active })
        }
        AnswerVerdict::NotRun => {
            active.judge(true);
            finish_rejection(answer).await;
            Err(LostAttempt::rejected("rejected"))
        }
        AnswerVerdict::OtherServer => {
            active.accuse(EvidenceKind::Displaced);
            Err(LostAttempt::rejected("another server has the address"))
        }
        AnswerVerdict::Foreign => {
            Err(LostAttempt::unknown("the answer belongs to another request"))
        }
    }
}

async fn lost_by_error(active: &ActiveRequest, error: &UpstreamError) -> LostAttempt {
    active.accuse(EvidenceKind::Unreachable);
    active.judge(true);
    let cause = error.to_string();
    if error.nothing_was_sent() {
        return LostAttempt { loss: AttemptLoss::NotSent, cause, server_ended: false };
    }
    LostAttempt::broken(active, cause).await
}

/// How long the rest of a rejection may take to arrive, so that its connection can be kept.
const REJECTION_WITHIN: Duration = Duration::from_millis(5);

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
    let _ = monoio::time::timeout(REJECTION_WITHIN, rest).await;
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
            Waited::Done(None) => return Ok(CollectedBody::Whole(body.freeze())),
            Waited::Done(Some(Ok(piece))) => {
                attempt.active.hear();
                body.extend_from_slice(&piece);
                if body.len() > BUFFERED_ANSWER {
                    return Ok(CollectedBody::Begun(body.freeze()));
                }
            }
            Waited::Done(Some(Err(error))) => {
                attempt.active.judge(true);
                let cause = format!("the answer broke off: {error}");
                return Err(LostAttempt::broken(&attempt.active, cause).await);
            }
            Waited::Silent(cause) => {
                attempt.active.accuse(EvidenceKind::Unreachable);
                return Err(LostAttempt::silent(
                    &attempt.active,
                    format!("{cause}, in its answer"),
                ));
            }
            Waited::TimeUp => return Err(LostAttempt::unknown("the time is up in the answer")),
        }
    }
}
