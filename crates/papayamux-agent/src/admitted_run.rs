//! Admits, queues and runs the requests that routers send.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{select, Either};
use papayamux_coordination::admission::{Admission, AdmissionPermit};
use papayamux_coordination::admission_ticket::AdmissionTicket;
use papayamux_protocol::link::{AgentMessage, OpenRequest, RefusalNotice};
use papayamux_protocol::wire::agent_control_length;
use papayamux_state::ids::ServerId;
use papayamux_state::load::GroupId;
use papayamux_state::quantities::ByteCount;
use papayamux_state::refusal::RefusalReason;

use crate::agent_core::AgentCore;
use crate::answers::{AnswerRecord, Attachment};
use crate::orders::GatePass;
use crate::request_memory::BodyHold;
use crate::run::run_request;

/// Minimum retry delay of a refused request.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A stream that a router opened, before its request is admitted or refused.
pub struct OpenedStream<'a> {
    /// The shared state of the agent.
    pub core: &'a AgentCore,
    /// The stream that delivers the answer.
    pub attachment: Attachment,
}

/// An admitted request.
pub struct AdmittedRequest {
    /// The record of its answer.
    pub record: Rc<AnswerRecord>,
    admission: Admission,
    pass: Option<GatePass>,
    hold: BodyHold,
}

impl OpenedStream<'_> {
    /// Admits or refuses a request. Returns `None` if it was refused.
    pub fn admit(self, open: &OpenRequest) -> Option<AdmittedRequest> {
        let core = self.core;
        let now = core.clock();
        if let Some(load) = &open.placement.group_load {
            core.admissions.record_mean_load(load, now);
        }
        let elsewhere = match open.placement.may_redirect {
            true => core.engine.context_elsewhere(open),
            false => None,
        };
        if elsewhere.is_some() && core.admissions.refuse_unseen(open.id, open.start_before, now) {
            self.refuse(open, RefusalReason::ContextElsewhere, elsewhere);
            return None;
        }
        let body_bytes = ByteCount::new(open.body.len() as u64);
        let hold = core.request_memory.hold(body_bytes).ok_or(RefusalReason::NoMemory);
        let means = core.gate_pass(open).and_then(|pass| Ok((pass, hold?)));
        match means {
            Err(reason) if core.admissions.refuse_unseen(open.id, open.start_before, now) => {
                self.refuse(open, reason, None);
                return None;
            }
            _ => {}
        }
        match (core.admissions.admit(open, now), means) {
            (Ok(admission), Ok((pass, hold))) => {
                let record = core.answers.start_record(open, self.attachment);
                Some(AdmittedRequest { record, admission, pass, hold })
            }
            (Err(reason), _) | (Ok(_), Err(reason)) => {
                self.refuse(open, reason, None);
                None
            }
        }
    }

    /// Refuses a request and reports the load of the server.
    pub fn refuse(&self, open: &OpenRequest, reason: RefusalReason, better: Option<ServerId>) {
        let notice = refusal_notice(self.core, open, reason, better);
        if reason != RefusalReason::SeenBefore {
            self.core.answers.record_refusal(open.id, notice.clone());
        }
        self.attachment.send_on_connection(self.core.load_message(group_of(open)));
        let message = AgentMessage::Refused(notice);
        self.core.metrics.control_bytes.record_sent(agent_control_length(&message));
        self.attachment.send(message);
    }
}

impl AgentCore {
    /// Passes the request through the model gate. Returns `None` if the agent gives the engine no
    /// orders.
    fn gate_pass(&self, open: &OpenRequest) -> Result<Option<GatePass>, RefusalReason> {
        let gate = self.orders.as_ref().map(|orders| &orders.gate);
        gate.map(|gate| gate.admit(open.chat.as_ref(), Instant::now())).transpose()
    }

    /// Creates the load report that accompanies another message.
    fn load_message(&self, group: Option<GroupId>) -> AgentMessage {
        let message = AgentMessage::Load(self.load(group));
        self.metrics.control_bytes.record_sent(agent_control_length(&message));
        message
    }
}

fn refusal_notice(
    core: &AgentCore,
    open: &OpenRequest,
    reason: RefusalReason,
    better: Option<ServerId>,
) -> RefusalNotice {
    core.metrics.refusals.count(reason.label());
    let wait = core.admissions.retry_after(open.priority).max(RETRY_AFTER);
    let retry_after_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    RefusalNotice { reason, retry_after_ms, better }
}

/// Waits for a slot and runs the request.
pub async fn run_admitted(core: Rc<AgentCore>, open: OpenRequest, admitted: AdmittedRequest) {
    let AdmittedRequest { record, admission, pass: _pass, hold: _hold } = admitted;
    let permit = match admission {
        Admission::Admitted(permit) => Ok(permit),
        Admission::Waiting(ticket) => wait_for_slot(&core, &open, &record, ticket).await,
    };
    match permit {
        Ok(permit) => run_now(&core, open, &record, permit).await,
        Err(reason) => record.refuse(refusal_notice(&core, &open, reason, None)),
    }
}

async fn wait_for_slot(
    core: &AgentCore,
    open: &OpenRequest,
    record: &AnswerRecord,
    ticket: AdmissionTicket,
) -> Result<AdmissionPermit, RefusalReason> {
    core.metrics.queued.inc();
    let left = ticket.deadline().0.saturating_sub(core.clock().0);
    let granted = monoio::time::timeout(Duration::from_millis(left), ticket.granted());
    let granted = std::pin::pin!(granted);
    let cancelled = std::pin::pin!(record.wait_cancelled());
    match select(granted, cancelled).await {
        Either::Left((Ok(outcome), _)) if core.clock() < open.start_before => outcome,
        Either::Left(_) if core.clock() >= open.start_before => Err(RefusalReason::DeadlinePassed),
        Either::Left(_) => Err(RefusalReason::WaitTooLong),
        Either::Right(_) => Err(RefusalReason::Cancelled),
    }
}

async fn run_now(
    core: &AgentCore,
    open: OpenRequest,
    record: &AnswerRecord,
    permit: AdmissionPermit,
) {
    let recorder = match core.kept.begin(&open, core.started.elapsed()) {
        Ok(recorder) => recorder,
        Err(reason) => return record.refuse(refusal_notice(core, &open, reason, None)),
    };
    let group = group_of(&open);
    core.metrics.admitted.inc();
    core.metrics.running.inc();
    core.engine.record_start(&open, core.clock());
    let started = Instant::now();
    let end = run_request(core, open, record, recorder).await;
    core.admissions.record_run(started.elapsed());
    core.metrics.running.dec();
    core.metrics.answers.count(end.label());
    drop(permit);
    record.send_on_connection(core.load_message(group));
}

fn group_of(open: &OpenRequest) -> Option<GroupId> {
    open.placement.group_load.map(|load| load.group)
}
