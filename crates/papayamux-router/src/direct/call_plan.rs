//! What was settled about a request before its first attempt, and what became of its attempts.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::uri::PathAndQuery;
use papayamux_coordination::attempt_plan::{AttemptHistory, AttemptLoss, NextStep};
use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::retry_delay::{
    max_backoff_wait, retry_delay, retry_delay_after_backoff,
};
use papayamux_coordination::service_queue::{request_work, CallerTime, FlowKey, QueuedRequest};
use papayamux_coordination::service_retry_budget::RetryUsage;
use papayamux_state::crash_record::CrashRecord;
use papayamux_state::ids::{OrganisationId, ServerId, ServiceId};
use papayamux_state::quantities::TokenCount;
use papayamux_state::request_fingerprint::{RequestContent, RequestFingerprint};
use papayamux_state::service_config::{KeyHolder, RequestKind, Route};

use super::attempt::LostAttempt;
use super::fleet::{ChosenServer, RequestHomes};
use super::interface::Dispatch;
use super::{CallFailure, CallHead, Fleet, NotRunReason};

/// Time below which a further attempt is not worth making: a round trip to the server.
const LEAST_TIME: Duration = Duration::from_millis(4);

/// A request that may be run, with all that its attempts need.
pub(super) struct CallPlan {
    pub(super) fleet: Rc<Fleet>,
    pub(super) call: Rc<CallHead>,
    pub(super) body: Bytes,
    pub(super) route: Rc<Route>,
    pub(super) service: ServiceId,
    pub(super) holder: Option<Rc<KeyHolder>>,
    pub(super) arrived: Instant,
    /// When the caller or the route gives up.
    pub(super) give_up: Instant,
    fingerprint: OnceCell<RequestFingerprint>,
    /// The crashes that the present attempt was sent after.
    sent_after: CrashRecord,
    history: AttemptHistory,
    tried: Vec<ServerId>,
    /// Whether no server holds the prompt's shared part.
    nobody_holds: bool,
}

impl CallPlan {
    /// A plan without attempts so far.
    pub(super) fn new(
        fleet: Rc<Fleet>,
        call: Rc<CallHead>,
        route: Rc<Route>,
        service: ServiceId,
        holder: Option<Rc<KeyHolder>>,
        arrived: Instant,
    ) -> Self {
        let longest = call.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        Self {
            fleet,
            call,
            body: Bytes::new(),
            route,
            service,
            holder,
            arrived,
            give_up: arrived + longest,
            fingerprint: OnceCell::new(),
            sent_after: CrashRecord::default(),
            history: AttemptHistory::default(),
            tried: Vec::new(),
            nobody_holds: false,
        }
    }

    /// What names the request's content. The body must have been read.
    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            RequestFingerprint::from(RequestContent {
                method: self.call.method.as_str(),
                host: &self.call.host,
                target: self.call.target.path_and_query().map_or("", PathAndQuery::as_str),
                organisation: self.organisation(),
                body: &self.body,
            })
        })
    }

    /// What may be repeated.
    pub(super) fn kind(&self) -> RequestKind {
        self.route.kind
    }

    /// The organisation of the caller's key.
    pub(super) fn organisation(&self) -> Option<&OrganisationId> {
        self.holder.as_ref().map(|holder| &holder.organisation)
    }

    /// The request's rank: its organisation's own, or the route's.
    pub(super) fn priority(&self) -> u32 {
        let own = self.holder.as_ref().and_then(|holder| holder.priority);
        own.unwrap_or(self.route.priority)
    }

    /// What the request costs a server.
    pub(super) fn work(&self) -> TokenCount {
        let token_work = self.fleet.answer_token_work(&self.service);
        request_work(self.own_tokens(), self.call.answer_tokens, token_work)
    }

    /// Tokens of the prompt that are shared with nobody.
    fn own_tokens(&self) -> TokenCount {
        self.call.prompt_tokens.saturating_sub(self.call.prompt.shared_tokens())
    }

    /// Time until the caller or the route gives up.
    pub(super) fn left(&self) -> Duration {
        self.give_up.saturating_duration_since(Instant::now())
    }

    /// Whether the request may leave a server that is silent for another one.
    pub(super) fn may_leave(&self) -> bool {
        self.history.may_fail_over(self.kind(), self.route.attempts)
            && self.fleet.budget().borrow().allows_retry(&self.service, Instant::now())
    }

    /// Attempts so far.
    pub(super) fn offers(&self) -> u32 {
        self.history.attempts()
    }

    /// Waits until there is a place for the request.
    pub(super) async fn wait_for_turn(&self) -> Result<(), CallFailure> {
        let request = self.line_request();
        let patience = request.time.wait_budget();
        match self.fleet.wait_for_turn(&self.service, request).await {
            Ok(Some(waited)) => self.fleet.metrics().note_wait(self.kind(), waited),
            Ok(None) => {}
            Err(refusal) => {
                log::info!(
                    request:% = self.call.id, service:% = self.service,
                    organisation:% = self.organisation().map_or("", OrganisationId::as_str),
                    wait_ms = refusal.wait.as_millis() as u64,
                    patience_ms = patience.as_millis() as u64, waiting = refusal.waiting;
                    "no place in time"
                );
                return Err(self.failure(NotRunReason::Full));
            }
        }
        Ok(())
    }

    fn line_request(&self) -> QueuedRequest {
        let deadline = self.call.deadline;
        let asked_before = deadline.map(|time| self.fleet.asked_before(&self.route.id, time));
        let time = CallerTime {
            arrived: self.arrived,
            since_first_attempt: asked_before.unwrap_or_default(),
            objective: self.route.objective,
            time_left: self.left(),
            service_time: self.fleet.serving_time(&self.service, self.own_tokens()),
        };
        QueuedRequest { flow: self.flow(), work: self.work(), time }
    }

    /// Whose share of the places the request uses.
    fn flow(&self) -> FlowKey {
        let (shares, urgency) = (Mechanism::FairShares, Mechanism::Urgency);
        let organisation = self.organisation().filter(|_| self.fleet.uses(shares)).cloned();
        let priority = if self.fleet.uses(urgency) { self.priority() } else { 0 };
        FlowKey { organisation, priority }
    }

    /// Finds out who holds the prompt's shared part, where this router doesn't know.
    pub(super) async fn find_holders(&mut self) {
        self.nobody_holds = self.fleet.ask_for_holders(&self.service, &self.call.prompt).await;
    }

    /// The server for the next attempt.
    pub(super) fn choose(&mut self) -> Result<ChosenServer, CallFailure> {
        if self.left() < LEAST_TIME {
            return Err(self.failure(NotRunReason::Late));
        }
        self.check_quarantine()?;
        let call = &self.call;
        let homes = self.homes();
        match self.fleet.choose(&self.service, call, &self.tried, self.nobody_holds, homes) {
            Some(chosen) if self.comes_too_late(&chosen) => {
                log::info!(
                    request:% = self.call.id, service:% = self.service,
                    server:% = chosen.server.id, expected_ms = chosen.expected.as_millis() as u64,
                    left_ms = self.left().as_millis() as u64; "no answer in time"
                );
                Err(self.failure(NotRunReason::Full))
            }
            Some(chosen) => {
                self.tried.push(chosen.server.id.clone());
                self.sent_after = self.begin_attempt();
                Ok(chosen)
            }
            None => Err(self.failure(self.absence())),
        }
    }

    /// Takes back a choice whose server must not get the request any more.
    pub(super) fn withdraw_choice(&mut self) {
        self.tried.pop();
    }

    /// The regions that bind the request.
    fn homes(&self) -> RequestHomes<'_> {
        let organisation = self.holder.as_ref().map(|holder| &holder.homes);
        RequestHomes { route: &self.route.homes, organisation }
    }

    /// Refuses a request for which no server is open, however long it waits.
    pub(super) fn check_open(&self) -> Result<(), CallFailure> {
        match self.fleet.closed_reason(&self.service, self.homes()) {
            Some(reason) => Err(self.failure(reason)),
            None => Ok(()),
        }
    }

    /// Waits for the first server where all have asked for a short rest, and refuses the request at once where the
    /// rest is long.
    pub(super) async fn wait_for_rest(&self) -> Result<(), CallFailure> {
        while let Some(rest) = self.rest_of_all() {
            if rest > max_backoff_wait(self.left()) {
                return Err(self.failure(NotRunReason::Resting));
            }
            monoio::time::sleep(rest).await;
        }
        Ok(())
    }

    fn rest_of_all(&self) -> Option<Duration> {
        self.fleet.rest_of_all(&self.service, self.homes(), Instant::now())
    }

    /// Why there is no server for a request, or no further one.
    fn absence(&self) -> NotRunReason {
        if self.rest_of_all().is_some() {
            return NotRunReason::Resting;
        }
        if !self.tried.is_empty() {
            return NotRunReason::Rejected;
        }
        let closed = self.fleet.closed_reason(&self.service, self.homes());
        closed.unwrap_or(match self.fleet.has_cold_servers(&self.service) {
            true => NotRunReason::Starting,
            false => NotRunReason::NoServer,
        })
    }

    /// Whether the first event of a request that has gone nowhere yet would come after its caller has
    /// left. Where nothing else is read at the server, the estimate may be wrong and is tried out. The
    /// time to the last event is too uncertain to refuse by it.
    fn comes_too_late(&self, chosen: &ChosenServer) -> bool {
        let is_first = self.tried.is_empty()
            && self.kind().is_stream()
            && self.fleet.uses(Mechanism::EarlyRefusal);
        is_first && chosen.is_reading && chosen.expected > self.left()
    }

    /// What the next sending carries.
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

    /// Decides after an attempt that brought no answer whether there is another.
    pub(super) fn after_loss(&mut self, lost: &LostAttempt) -> Result<(), CallFailure> {
        let loss = lost.loss;
        self.fleet.metrics().lost_attempts.count(loss_label(loss));
        let step = self.history.after_loss(self.kind(), self.route.attempts, loss);
        log::info!(
            request:% = self.call.id, fingerprint:% = self.fingerprint(), loss:? = loss,
            cause = lost.cause.as_str(), next:? = step, server_ended = lost.server_ended,
            server:% = self.tried.last().map_or("", ServerId::as_str);
            "attempt brought no answer"
        );
        self.note_server_end(lost);
        self.check_quarantine()?;
        match step {
            NextStep::Again { counts: false } => Ok(()),
            NextStep::Again { counts: true } if self.take_repeat() => Ok(()),
            _ => Err(self.failure(NotRunReason::Rejected)),
        }
    }

    /// Notes where an attempt was lost that its server ended under the request.
    pub(super) fn note_server_end(&self, lost: &LostAttempt) {
        if let Some(server) = self.tried.last().filter(|_| lost.server_ended) {
            self.fleet.note_crash(self.fingerprint(), self.sent_after, server);
        }
    }

    /// Refuses a request that is in quarantine. Each call with it would end as many servers as its route has
    /// attempts, whichever router takes the call.
    pub(super) fn check_quarantine(&self) -> Result<(), CallFailure> {
        if !self.fleet.has_suspects() {
            return Ok(());
        }
        let Some(left) = self.fleet.hold_left(self.fingerprint()) else { return Ok(()) };
        log::info!(
            request:% = self.call.id, fingerprint:% = self.fingerprint(),
            held_ms = left.as_millis() as u64; "request is held"
        );
        if self.history.may_have_run() {
            return Err(self.failure(NotRunReason::Quarantined));
        }
        Err(CallFailure::NotRun { reason: NotRunReason::Quarantined, retry_after: Some(left) })
    }

    fn begin_attempt(&self) -> CrashRecord {
        match self.fleet.has_suspects() {
            true => self.fleet.begin_attempt(self.fingerprint()),
            false => CrashRecord::default(),
        }
    }

    /// Notes that a server has run the request to its end.
    pub(super) fn note_run(&self) {
        if self.fleet.has_suspects() {
            self.fleet.note_run(self.fingerprint(), self.sent_after);
        }
    }

    fn take_repeat(&self) -> bool {
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

    /// What the caller can be told for certain when no further attempt is made.
    pub(super) fn failure(&self, reason: NotRunReason) -> CallFailure {
        if self.history.may_have_run() {
            return match reason {
                NotRunReason::Late => CallFailure::TimedOut,
                _ => CallFailure::Unknown("an attempt was lost".to_string()),
            };
        }
        let retry_after = match reason {
            NotRunReason::Resting => {
                let rest = self.rest_of_all().unwrap_or_default();
                Some(retry_delay_after_backoff(rest, rand::random()))
            }
            NotRunReason::NoServer
            | NotRunReason::Rejected
            | NotRunReason::Full
            | NotRunReason::Evacuated
            | NotRunReason::OutsideHomes
            | NotRunReason::Starting => Some(retry_delay(self.left(), rand::random())),
            _ => None,
        };
        CallFailure::NotRun { reason, retry_after }
    }
}

fn loss_label(loss: AttemptLoss) -> &'static str {
    match loss {
        AttemptLoss::NotSent => "not_sent",
        AttemptLoss::Rejected => "rejected",
        AttemptLoss::Unknown => "unknown",
    }
}
