//! Forwards a stream as it arrives and resumes it at another server if it breaks off.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::header::CONTENT_TYPE;
use papayamux_coordination::body_end::{BodyEnd, StreamTail};
use papayamux_coordination::server_evidence::EvidenceKind;
use papayamux_state::quantities::ByteCount;
use papayamux_transport::http::{AnswerBody, BodyError};

use super::active_request::ActiveRequest;
use super::attempt::{
    exceeds_limit, lost_by_long_body, send_attempt, AttemptAnswer, LostAttempt, WaitResult,
};
use super::call_plan::CallPlan;
use super::event_splitter::{CompleteEvents, EventSplitter, EventTooLong};
use super::interface::CallInterface;

/// The reason in metrics for a stream with too many bytes without an event.
const LONG_EVENT: &str = "long_event";

/// An answer that is being forwarded to its caller.
pub(super) struct StreamRelay {
    interface: Rc<dyn CallInterface>,
    plan: CallPlan,
    attempt: Option<AttemptAnswer>,
    collected: Option<Bytes>,
    splitter: Option<EventSplitter>,
    last_event: Option<u64>,
    /// `true` if the caller has at least one event.
    has_events: bool,
    /// Bytes handed over for the caller so far.
    relayed_bytes: u64,
    /// The length that the first server declared for its answer.
    declared_bytes: Option<u64>,
    in_flight: InFlight,
}

/// Counts an answer that is being forwarded to its caller.
pub(super) struct InFlight(Rc<super::Fleet>);

impl InFlight {
    /// Counts the answer until the value is dropped.
    pub(super) fn begin(fleet: &Rc<super::Fleet>) -> Self {
        fleet.count_in_flight(true);
        Self(fleet.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.count_in_flight(false);
    }
}

/// A caller that disconnects drops its answer. Logged because otherwise a stream whose caller ran
/// out of time would have no end in the log.
impl Drop for StreamRelay {
    fn drop(&mut self) {
        let Some(attempt) = &self.attempt else { return };
        self.plan.fleet.metrics().streams.count("left");
        log::info!(
            request:% = self.plan.call.id, server:% = attempt.active.server().id,
            last_event = self.last_event.unwrap_or_default(),
            bytes = self.relayed_bytes, declared_bytes = self.declared_bytes,
            ms = self.plan.arrived.elapsed().as_millis() as u64; "caller left its stream"
        );
    }
}

impl StreamRelay {
    /// Forwards a stream of events.
    pub(super) fn events(
        interface: Rc<dyn CallInterface>,
        mut plan: CallPlan,
        attempt: AttemptAnswer,
        in_flight: InFlight,
    ) -> Self {
        let last_event = plan.call.last_event;
        plan.keep_version(attempt.active.server());
        let declared_bytes = attempt.answer.declared_length().map(ByteCount::get);
        let framing = attempt.answer.framing().label();
        plan.fleet.metrics().relayed_framings.count(framing);
        Self {
            interface,
            plan,
            attempt: Some(attempt),
            collected: None,
            splitter: Some(EventSplitter::default()),
            last_event,
            has_events: last_event.is_some(),
            relayed_bytes: 0,
            declared_bytes,
            in_flight,
        }
    }

    /// Forwards the remainder of a long answer after `collected`, its buffered beginning.
    pub(super) fn remainder(
        interface: Rc<dyn CallInterface>,
        plan: CallPlan,
        attempt: AttemptAnswer,
        collected: Bytes,
        in_flight: InFlight,
    ) -> Self {
        let mut relay = Self::events(interface, plan, attempt, in_flight);
        relay.collected = Some(collected);
        relay.splitter = None;
        relay
    }

    /// Returns the body of the caller's answer.
    pub(super) fn into_body(self) -> AnswerBody {
        AnswerBody::Stream(Box::pin(unfold(self, |mut relay| async move {
            let piece = relay.next().await?;
            Some((piece, relay))
        })))
    }

    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if let Some(collected) = self.collected.take() {
            return self.hand_over(collected);
        }
        loop {
            let attempt = self.attempt.as_mut()?;
            let lost = match attempt.next_piece(&self.plan).await {
                WaitResult::Done(Some(Ok(piece))) => match self.take_piece(piece) {
                    Ok(Some(bytes)) => return self.hand_over(bytes),
                    Ok(None) => continue,
                    Err(lost) => lost,
                },
                WaitResult::Done(None) => {
                    let end = stream_end(attempt, self.splitter.as_ref(), self.has_events);
                    self.plan.fleet.metrics().answer_ends.count(end.label());
                    match end {
                        BodyEnd::Complete | BodyEnd::Unmarked => return self.finish(end),
                        BodyEnd::Truncated => {
                            let cause = format!("truncated ({})", attempt.answer.framing());
                            lost_stream(attempt, cause).await
                        }
                    }
                }
                WaitResult::Done(Some(Err(error))) => {
                    attempt.count_without_progress(&self.plan);
                    lost_stream(attempt, error.to_string()).await
                }
                WaitResult::Silent(cause) => {
                    attempt.active.record_failure_evidence(EvidenceKind::Unreachable);
                    LostAttempt::silent(&attempt.active, format!("{cause} during its stream"))
                }
                WaitResult::DeadlinePassed => return self.truncate("the deadline has passed"),
            };
            if let Err(cause) = self.resume(lost).await {
                return self.truncate(&cause);
            }
        }
    }

    /// Returns the bytes of a piece that can be forwarded now.
    fn take_piece(&mut self, piece: Bytes) -> Result<Option<Bytes>, LostAttempt> {
        let Some(splitter) = &mut self.splitter else { return self.take_opaque(piece) };
        let events = splitter.push(&piece).map_err(|error| self.lost_by_long_event(error))?;
        let Some(CompleteEvents { bytes, ids }) = events else { return Ok(None) };
        if let Some((first, last)) = ids {
            let expected = self.last_event.map(|event| event + 1);
            if expected.is_some_and(|expected| expected != first) {
                return Err(LostAttempt::unknown("the stream continues at an unexpected event"));
            }
            self.last_event = Some(last);
        }
        let is_first = !std::mem::replace(&mut self.has_events, true);
        if let Some(attempt) = &mut self.attempt {
            if is_first {
                self.plan.record_stream_begin(attempt.active.server());
            }
            attempt
                .active
                .record_events(ids.map_or(1, |(first, last)| last.saturating_sub(first) + 1));
        }
        Ok(Some(bytes))
    }

    fn take_opaque(&self, piece: Bytes) -> Result<Option<Bytes>, LostAttempt> {
        let length = ByteCount::new(self.relayed_bytes + piece.len() as u64);
        match &self.attempt {
            Some(attempt) if exceeds_limit(&self.plan, Some(length)) => {
                attempt.active.record_answer_outcome(true);
                Err(lost_by_long_body(&self.plan, &attempt.active))
            }
            _ => Ok(Some(piece)),
        }
    }

    fn lost_by_long_event(&self, error: EventTooLong) -> LostAttempt {
        self.plan.fleet.metrics().unusable_answers.count(LONG_EVENT);
        if let Some(attempt) = &self.attempt {
            attempt.active.record_answer_outcome(true);
            attempt.active.record_failure_evidence(EvidenceKind::Unreachable);
        }
        LostAttempt::unknown(error.to_string())
    }

    /// Hands bytes over for the caller. Completes an opaque answer whose declared length was read: the
    /// listener drops the body once it has written that length, without polling for an end.
    fn hand_over(&mut self, bytes: Bytes) -> Option<Result<Bytes, BodyError>> {
        self.relayed_bytes += bytes.len() as u64;
        let is_read = self.attempt.as_ref().is_some_and(|attempt| attempt.answer.is_read());
        if is_read && self.splitter.is_none() {
            self.plan.fleet.metrics().answer_ends.count(BodyEnd::Complete.label());
            self.finish(BodyEnd::Complete);
        }
        Some(Ok(bytes))
    }

    /// Completes an answer that the server has ended.
    fn finish(&mut self, end: BodyEnd) -> Option<Result<Bytes, BodyError>> {
        let mut attempt = self.attempt.take()?;
        if self.splitter.is_some() {
            attempt.active.record_stream_end(Some(self.plan.call.answer_tokens));
        }
        self.plan.record_completion(attempt.active.server(), attempt.answer.head.status, end);
        self.plan.fleet.metrics().streams.count("whole");
        log::info!(
            request:% = self.plan.call.id, server:% = attempt.active.server().id,
            last_event = self.last_event.unwrap_or_default(), framing:% = attempt.answer.framing(),
            bytes = self.relayed_bytes, declared_bytes = self.declared_bytes,
            ms = self.plan.arrived.elapsed().as_millis() as u64; "stream ended"
        );
        attempt.answer.finish();
        // Empty lines and unknown fields, or an answer that turned out to be no stream.
        let opaque = self.splitter.as_mut().map(EventSplitter::take_partial).unwrap_or_default();
        (!opaque.is_empty()).then_some(Ok(opaque))
    }

    /// Breaks the answer off, so that the caller notices that it is incomplete.
    fn truncate(&mut self, cause: &str) -> Option<Result<Bytes, BodyError>> {
        self.attempt = None;
        self.plan.fleet.metrics().streams.count("cut");
        log::warn!(
            request:% = self.plan.call.id, cause = cause,
            last_event = self.last_event.unwrap_or_default(),
            bytes = self.relayed_bytes, declared_bytes = self.declared_bytes,
            in_flight = self.in_flight.0.in_flight(),
            ms = self.plan.arrived.elapsed().as_millis() as u64; "stream cut off"
        );
        Some(Err(BodyError(cause.to_string())))
    }

    /// Resumes the stream at another server.
    async fn resume(&mut self, lost: LostAttempt) -> Result<(), String> {
        self.attempt = None;
        if self.splitter.is_none() {
            self.plan.record_server_crash(&lost);
            return Err(lost.cause);
        }
        let mut lost = lost;
        loop {
            let cause = &lost.cause;
            self.plan.after_loss(&lost).map_err(|failure| format!("{cause}; {failure}"))?;
            match self.try_resume().await {
                Ok(attempt) => {
                    self.plan.fleet.metrics().streams.count("resumed");
                    log::info!(
                        request:% = self.plan.call.id, server:% = attempt.active.server().id,
                        version = attempt.active.server().version_text(),
                        framing:% = attempt.answer.framing(), bytes = self.relayed_bytes,
                        declared_bytes = self.declared_bytes,
                        last_event = self.last_event.unwrap_or_default(); "stream goes on elsewhere"
                    );
                    self.splitter = Some(EventSplitter::default());
                    self.attempt = Some(attempt);
                    return Ok(());
                }
                Err(failed) => lost = failed,
            }
        }
    }

    async fn try_resume(&mut self) -> Result<AttemptAnswer, LostAttempt> {
        let chosen = match self.plan.choose() {
            Ok(chosen) => chosen,
            Err(failure) => return Err(LostAttempt::unknown(failure.to_string())),
        };
        let mut active = ActiveRequest::begin(&self.plan, &chosen);
        self.plan.begin_attempt();
        active.begin_sending(&self.plan);
        let dispatch = self.plan.dispatch(&chosen, self.last_event);
        let body = self.plan.body.clone();
        let request = self.interface.server_request(&self.plan.call, &dispatch, body);
        let attempt = send_attempt(&*self.interface, &self.plan, active, request).await?;
        match attempt.answer.head.status.is_success() {
            true => Ok(attempt),
            false => Err(LostAttempt::unknown("the other server answered with an error")),
        }
    }
}

/// Returns how an answer ended whose last byte was read.
fn stream_end(
    attempt: &AttemptAnswer,
    splitter: Option<&EventSplitter>,
    has_events: bool,
) -> BodyEnd {
    let framing = attempt.answer.framing();
    let Some(splitter) = splitter else { return BodyEnd::of_body(framing) };
    let is_declared = attempt.answer.head.headers.contains_key(CONTENT_TYPE);
    let has_partial_event = splitter.is_inside_event();
    BodyEnd::of_stream(framing, StreamTail { is_declared, has_events, has_partial_event })
}

/// Records that a server broke off its stream.
async fn lost_stream(attempt: &AttemptAnswer, cause: String) -> LostAttempt {
    attempt.active.record_answer_outcome(true);
    attempt.active.record_failure_evidence(EvidenceKind::Unreachable);
    LostAttempt::broken(&attempt.active, format!("the stream broke off: {cause}")).await
}
