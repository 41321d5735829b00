//! The plan of a request: what was decided before its first attempt, and the history of its
//! attempts.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::uri::PathAndQuery;
use papayamux_coordination::attempt_plan::{AttemptHistory, AttemptLoss, NextStep};
use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::retry_benefit::FailureCause;
use papayamux_coordination::retry_delay::{
    max_backoff_wait, retry_delay, retry_delay_after_backoff,
};
use papayamux_coordination::service_queue::{request_work, CallerTime, FlowKey, QueuedRequest};
use papayamux_coordination::service_retry_budget::RetryUsage;
use papayamux_coordination::stream_origins::VersionRule;
use papayamux_state::backend::BackendServer;
use papayamux_state::durations::saturating_after;
use papayamux_state::ids::{OrganisationId, ServerId, ServiceId};
use papayamux_state::quantities::TokenCount;
use papayamux_state::request_fingerprint::{RequestContent, RequestFingerprint};
use papayamux_state::service_config::{KeyHolder, RequestKind, Route};
use papayamux_state::stream_origin::{StreamKey, StreamOrigin};
use papayamux_transport::http::{CallerConnection, RequestBody};

use super::attempt::LostAttempt;
use super::fleet::{ChosenServer, SentSuspect, ServerFilter, SharedSlot, SlotRefusal};
use super::interface::Dispatch;
use super::{CallFailure, CallHead, CallId, Fleet, NotRunReason};

/// Remaining time below which a further attempt is pointless: a round trip to the server.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(4);

/// A request whose head was received.
#[derive(Clone)]
pub(super) struct ReceivedCall {
    pub(super) call: Rc<CallHead>,
    /// The account of the caller's connection.
    pub(super) connection: Rc<CallerConnection>,
    pub(super) arrived: Instant,
}

/// An admitted request with everything that its attempts need.
pub(super) struct CallPlan {
    pub(super) fleet: Rc<Fleet>,
    pub(super) call: Rc<CallHead>,
    /// The account of the caller's connection.
    pub(super) connection: Rc<CallerConnection>,
    pub(super) body: RequestBody,
    pub(super) route: Rc<Route>,
    pub(super) service: ServiceId,
    pub(super) holder: Option<Rc<KeyHolder>>,
    pub(super) arrived: Instant,
    /// The earlier deadline of the caller's and the route's.
    pub(super) give_up_at: Instant,
    fingerprint: OnceCell<RequestFingerprint>,
    /// The suspects with the crashes that were known when the current attempt was sent; empty if
    /// there were none.
    pub(super) sent: Vec<SentSuspect>,
    pub(super) history: AttemptHistory,
    pub(super) tried: Vec<ServerId>,
    /// The cause of the failure that the current attempt retries; `None` for a first attempt.
    pub(super) retried: Option<FailureCause>,
    /// `true` if no server holds the shared part of the prompt.
    nobody_holds: bool,
    versions: VersionRule,
    /// The slot that the request holds in the shared queue of its service.
    slot: Option<SharedSlot>,
}

impl CallPlan {
    /// Creates a plan without attempts.
    pub(super) fn new(
        fleet: Rc<Fleet>,
        received: ReceivedCall,
        route: Rc<Route>,
        service: ServiceId,
        holder: Option<Rc<KeyHolder>>,
    ) -> Self {
        let ReceivedCall { call, connection, arrived } = received;
        let longest = call.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        Self {
            fleet,
            call,
            connection,
            body: RequestBody::default(),
            route,
            service,
            holder,
            arrived,
            give_up_at: saturating_after(arrived, longest),
            fingerprint: OnceCell::new(),
            sent: Vec::new(),
            history: AttemptHistory::default(),
            tried: Vec::new(),
            retried: None,
            nobody_holds: false,
            versions: VersionRule::Any,
            slot: None,
        }
    }

    /// Returns the fingerprint of the request's content. The body must have been read before.
    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            RequestFingerprint::from(RequestContent {
                method: self.call.method.as_str(),
                host: &self.call.host,
                target: self.call.target.path_and_query().map_or("", PathAndQuery::as_str),
                organisation: self.organisation(),
                body: &self.body.segments(),
            })
        })
    }

    /// Returns the kind of the request, which decides whether it may be retried.
    pub(super) fn kind(&self) -> RequestKind {
        self.route.kind
    }

    /// Returns the organisation that holds the caller's key.
    pub(super) fn organisation(&self) -> Option<&OrganisationId> {
        self.holder.as_ref().map(|holder| &holder.organisation)
    }

    /// Returns the priority of the request: that of its organisation, or else that of the route.
    pub(super) fn priority(&self) -> u32 {
        let own = self.holder.as_ref().and_then(|holder| holder.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Returns the cost of the request for a server, in prompt tokens.
    pub(super) fn work(&self) -> TokenCount {
        let token_work = self.fleet.answer_token_work(&self.service);
        request_work(self.own_tokens(), self.call.answer_tokens, token_work)
    }

    /// Returns the number of prompt tokens outside the shared parts.
    fn own_tokens(&self) -> TokenCount {
        self.call.prompt_tokens.saturating_sub(self.call.prompt.shared_tokens())
    }

    /// Returns the time until the deadline of the request.
    pub(super) fn left(&self) -> Duration {
        self.give_up_at.saturating_duration_since(Instant::now())
    }

    /// Returns whether the request may be retried at another server if its server is silent.
    pub(super) fn may_leave(&self) -> bool {
        self.history.may_fail_over(self.kind(), self.route.attempts)
            && self.fleet.budget().borrow().allows_retry(&self.service, Instant::now())
    }

    /// Returns the number of attempts so far.
    pub(super) fn offers(&self) -> u32 {
        self.history.attempts()
    }

    /// Waits in the queue of the service until a slot is free.
    pub(super) async fn wait_for_slot(&mut self) -> Result<(), CallFailure> {
        let request = self.queue_request();
        let wait_budget = request.time.wait_budget();
        let filter = self.server_filter();
        let admission = self.fleet.wait_for_slot(&self.service, request, filter).await;
        match admission {
            Ok(grant) => {
                if let Some(waited) = grant.waited {
                    self.fleet.metrics().record_wait(self.kind(), waited);
                }
                self.slot = grant.slot;
                Ok(())
            }
            Err(refusal) => {
                self.log_slot_refusal(&refusal, wait_budget);
                Err(self.failure(NotRunReason::Full))
            }
        }
    }

    fn log_slot_refusal(&self, refusal: &SlotRefusal, wait_budget: Duration) {
        let Some(suppressed) = self.fleet.refusals_to_log() else { return };
        let SlotRefusal { refusal, knowledge } = refusal;
        let owner = knowledge.map(|knowledge| knowledge.owner.to_string());
        let evidence = refusal.evidence;
        let displacing = refusal.displaced_by.as_ref();
        let displacing_organisation = displacing.and_then(|flow| flow.organisation.as_ref());
        log::info!(
            request:% = self.call.id, service:% = self.service, route:% = self.route.id,
            organisation:% = self.organisation().map_or("", OrganisationId::as_str),
            priority = self.priority(), free_slots = refusal.free_slots,
            waiting = refusal.waiting, wait_ms = millis(refusal.wait),
            patience_ms = millis(wait_budget), left_ms = millis(self.left()),
            running = evidence.in_flight, completed = evidence.completed,
            completed_age_ms = evidence.age.map_or(u64::MAX, millis),
            displaced_by:% = displacing_organisation.map_or("", OrganisationId::as_str),
            displaced_by_priority = displacing.map(|flow| flow.priority),
            owner = owner.as_deref().unwrap_or_default(),
            knowledge_age_ms = knowledge.map(|knowledge| millis(knowledge.age)),
            suppressed = suppressed;
            "no place in time"
        );
    }

    fn queue_request(&self) -> QueuedRequest {
        let deadline = self.call.deadline;
        let since_first_attempt =
            deadline.map(|time| self.fleet.since_first_attempt(&self.route.id, time));
        let time = CallerTime {
            arrived: self.arrived,
            since_first_attempt: since_first_attempt.unwrap_or_default(),
            objective: self.route.objective,
            time_left: self.left(),
            service_time: self.fleet.serving_time(&self.service, self.own_tokens()),
        };
        QueuedRequest { flow: self.flow(), work: self.work(), time }
    }

    /// Returns the key of the flow whose share of the slots the request uses.
    fn flow(&self) -> FlowKey {
        let (shares, urgency) = (Mechanism::FairShares, Mechanism::Urgency);
        let organisation = self.organisation().filter(|_| self.fleet.uses(shares)).cloned();
        let priority = if self.fleet.uses(urgency) { self.priority() } else { 0 };
        FlowKey { organisation, priority }
    }

    /// Queries which servers hold the shared part of the prompt, if this router doesn't know.
    pub(super) async fn find_holders(&mut self) {
        self.nobody_holds = self.fleet.query_holders(&self.service, &self.call.prompt).await;
    }

    /// Chooses the server for the next attempt.
    pub(super) fn choose(&mut self) -> Result<ChosenServer, CallFailure> {
        if self.left() < MIN_ATTEMPT_TIME {
            return Err(self.failure(NotRunReason::Late));
        }
        self.check_quarantine()?;
        let call = &self.call;
        let filter = self.server_filter();
        let granted = self.slot.as_ref().and_then(SharedSlot::server);
        let (tried, nobody_holds) = (&self.tried, self.nobody_holds);
        match self.fleet.choose(&self.service, call, tried, nobody_holds, granted, filter) {
            Some(chosen) if self.is_too_late(&chosen) => {
                log::info!(
                    request:% = self.call.id, service:% = self.service,
                    server:% = chosen.server.id, expected_ms = chosen.expected.as_millis() as u64,
                    left_ms = self.left().as_millis() as u64; "no answer in time"
                );
                Err(self.failure(NotRunReason::Full))
            }
            Some(chosen) => {
                self.tried.push(chosen.server.id.clone());
                if let Some(slot) = &self.slot {
                    slot.record_server(&chosen.server);
                }
                Ok(chosen)
            }
            None => Err(self.failure(self.unavailable_reason())),
        }
    }

    /// Withdraws the choice of a server that must not receive the request any more.
    pub(super) fn withdraw_choice(&mut self) {
        self.tried.pop();
    }

    /// Restricts a request that resumes a stream to the service and the software version that began
    /// it. Refuses the request if they are unknown.
    pub(super) async fn keep_origin(&mut self) -> Result<(), CallFailure> {
        if self.call.last_event.is_none() || !self.kind().is_stream() {
            return Ok(());
        }
        let origin = match &self.call.resumes {
            Some(id) => self.find_origin(id).await,
            None => self.fleet.sole_origin(&self.service),
        };
        let Some(origin) = origin.filter(|origin| self.route.has_service(&origin.service)) else {
            log::info!(
                request:% = self.call.id, service:% = self.service,
                resumes = self.call.resumes.as_ref().map_or("", |id| id.0.as_str()),
                last_event = self.call.last_event.unwrap_or_default();
                "origin of the stream is unknown"
            );
            return Err(self.failure(NotRunReason::UnknownOrigin));
        };
        self.service = origin.service;
        self.versions = VersionRule::Began(Some(origin.version));
        Ok(())
    }

    async fn find_origin(&self, began_by: &CallId) -> Option<StreamOrigin> {
        let found = self.fleet.find_origin(self.stream_key(began_by), self.left()).await;
        if found.is_some() || self.route.shares.len() > 1 {
            return found;
        }
        self.fleet.certain_origin(&self.service, self.arrived).await
    }

    fn stream_key(&self, began_by: &CallId) -> StreamKey {
        StreamKey::of_attempt(self.organisation(), &began_by.0)
    }

    /// Records that the first event of the stream is about to reach the caller, who may resume the
    /// stream from then on.
    pub(super) fn record_stream_begin(&self, server: &BackendServer) {
        let resumable = RequestKind::Stream { resumable: true };
        let begins = self.kind() == resumable && self.call.last_event.is_none();
        if begins && !self.call.id.0.is_empty() {
            self.fleet.record_stream_begin(self.stream_key(&self.call.id), server);
        }
    }

    /// Restricts further attempts to the version of the server whose events reach the caller.
    pub(super) fn keep_version(&mut self, server: &BackendServer) {
        self.versions = VersionRule::Began(server.software.clone());
    }

    /// Returns the servers to which the request is restricted.
    fn server_filter(&self) -> ServerFilter<'_> {
        ServerFilter {
            route_homes: &self.route.homes,
            organisation_homes: self.holder.as_ref().map(|holder| &holder.homes),
            versions: &self.versions,
        }
    }

    /// Refuses a request that no server accepts, regardless of how long it waits.
    pub(super) fn check_open(&self) -> Result<(), CallFailure> {
        match self.fleet.closed_reason(&self.service, self.server_filter()) {
            Some(reason) => Err(self.failure(reason)),
            None => Ok(()),
        }
    }

    /// Waits until the first server accepts requests if all have requested a short back-off.
    /// Refuses the request at once if the back-off is long.
    pub(super) async fn wait_for_backoff(&self) -> Result<(), CallFailure> {
        while let Some(backoff) = self.backoff_of_all() {
            if backoff > max_backoff_wait(self.left()) {
                return Err(self.failure(NotRunReason::Resting));
            }
            monoio::time::sleep(backoff).await;
        }
        Ok(())
    }

    fn backoff_of_all(&self) -> Option<Duration> {
        self.fleet.backoff_of_all(&self.service, self.server_filter(), Instant::now())
    }

    /// Returns the reason that no server, or no further one, is available for the request.
    fn unavailable_reason(&self) -> NotRunReason {
        if self.backoff_of_all().is_some() {
            return NotRunReason::Resting;
        }
        if !self.tried.is_empty() {
            return NotRunReason::Rejected;
        }
        let closed = self.fleet.closed_reason(&self.service, self.server_filter());
        closed.unwrap_or(match self.fleet.has_cold_servers(&self.service) {
            true => NotRunReason::Starting,
            false => NotRunReason::NoServer,
        })
    }

    /// Returns whether the first event would arrive after the deadline, for a request without an
    /// attempt so far. If the server prefills nothing else, the estimate may be wrong and the
    /// request is sent anyway. The time to the last event is too uncertain to refuse a request by
    /// it.
    fn is_too_late(&self, chosen: &ChosenServer) -> bool {
        let is_first = self.tried.is_empty()
            && self.kind().is_stream()
            && self.fleet.uses(Mechanism::EarlyRefusal);
        is_first && chosen.is_prefilling && chosen.expected > self.left()
    }

    /// Returns the data that the next attempt carries.
    pub(super) fn dispatch<'a>(
        &'a self,
        chosen: &'a ChosenServer,
        last_event: Option<u64>,
    ) -> Dispatch<'a> {
        Dispatch {
            server: &chosen.server.name,
            fetch_from: chosen.fetch_from.as_ref().map(|source| source.address),
            organisation: self.organisation(),
            left: Some(self.left()),
            priority: self.priority(),
            last_event,
        }
    }

    /// Decides whether there is another attempt after one that brought no answer.
    pub(super) fn after_loss(&mut self, lost: &LostAttempt) -> Result<(), CallFailure> {
        let loss = lost.loss;
        self.fleet.metrics().lost_attempts.count(loss_label(loss));
        let step = self.history.after_loss(self.kind(), self.route.attempts, loss);
        log::info!(
            request:% = self.call.id, fingerprint:% = self.fingerprint(), loss:? = loss,
            cause = lost.cause.as_str(), next:? = step, server_ended = lost.server_crashed,
            server:% = self.tried.last().map_or("", ServerId::as_str),
            crashed_prompt = self.prompt_of_crash(lost);
            "attempt brought no answer"
        );
        self.record_server_crash(lost);
        if loss == AttemptLoss::Unknown {
            self.retried = Some(lost.error_cause.unwrap_or(FailureCause::LostAnswer));
        }
        if loss == AttemptLoss::NotSent {
            self.fleet.withdraw_attempt(&self.sent);
        }
        self.check_quarantine()?;
        match step {
            NextStep::Again { counts: false } => Ok(()),
            NextStep::Again { counts: true }
                if self.is_retry_worthwhile(lost) && self.claim_retry() =>
            {
                Ok(())
            }
            _ => Err(self.failure(NotRunReason::Rejected)),
        }
    }

    fn claim_retry(&self) -> bool {
        let now = Instant::now();
        let mut budget = self.fleet.budget().borrow_mut();
        let taken = budget.take_retry(&self.service, now);
        let RetryUsage { requests, retries, sharers } = budget.usage(&self.service, now);
        if taken {
            self.fleet.metrics().repeats_taken.inc();
        } else {
            self.fleet.metrics().repeats_denied.inc();
        }
        log::info!(
            request:% = self.call.id, service:% = self.service, requests = requests,
            repeats = retries, sharers = sharers.unwrap_or_default();
            "{}", if taken { "request is sent again" } else { "retry budget is used up" }
        );
        taken
    }

    /// Returns the failure for the caller when no further attempt is made. The request counts as
    /// not run only if this is certain.
    pub(super) fn failure(&self, reason: NotRunReason) -> CallFailure {
        if self.history.may_have_run() {
            return match reason {
                NotRunReason::Late => CallFailure::TimedOut,
                _ => CallFailure::Unknown("an attempt was lost".to_string()),
            };
        }
        let retry_after = match reason {
            NotRunReason::Resting => {
                let backoff = self.backoff_of_all().unwrap_or_default();
                Some(retry_delay_after_backoff(backoff, rand::random()))
            }
            NotRunReason::NoServer
            | NotRunReason::Rejected
            | NotRunReason::Full
            | NotRunReason::Evacuated
            | NotRunReason::OutsideHomes
            | NotRunReason::NoServerOfVersion
            | NotRunReason::UnknownOrigin
            | NotRunReason::NoMemory
            | NotRunReason::Starting => Some(retry_delay(self.left(), rand::random())),
            _ => None,
        };
        CallFailure::NotRun { reason, retry_after }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn loss_label(loss: AttemptLoss) -> &'static str {
    match loss {
        AttemptLoss::NotSent => "not_sent",
        AttemptLoss::Rejected => "rejected",
        AttemptLoss::Unknown => "unknown",
    }
}
