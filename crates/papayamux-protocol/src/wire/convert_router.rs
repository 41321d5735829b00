//! Conversion of router messages from and to their wire types.

use papayamux_state::claims::ClaimId;
use papayamux_state::crash_record::CrashRecord;
use std::time::Duration;

use papayamux_state::ids::{Incarnation, RequestId};

use super::messages::*;
use super::shared_messages::WireRequestId;
use super::{identifier, nonce_bytes, parse_nonce, required, FrameMessage, WireError};
use crate::link::{
    Addressed, AgentClock, ChatTarget, HeaderField, OpenRequest, PlacementRule, ResumePoint,
    ResumeRequest, RetryRule, RouterHello, RouterMessage,
};
use crate::proof::ProofTag;

impl From<Addressed<RouterMessage>> for RouterFrame {
    fn from(addressed: Addressed<RouterMessage>) -> Self {
        let body = match addressed.message {
            RouterMessage::Hello(hello) => RouterBody::Hello(hello.into()),
            RouterMessage::Open(open) => RouterBody::Open(Box::new((*open).into())),
            RouterMessage::Acknowledge(offset) => RouterBody::Acknowledge(offset),
            RouterMessage::Cancel => RouterBody::Cancel(WireNothing {}),
            RouterMessage::Ping(number) => RouterBody::Ping(number),
            RouterMessage::Resume(resume) => RouterBody::Resume(Box::new((*resume).into())),
            RouterMessage::Prove(proof) => RouterBody::Prove(proof.0),
            RouterMessage::Received => RouterBody::Received(WireNothing {}),
            RouterMessage::Pong(number) => RouterBody::Pong(number),
            RouterMessage::Claim(claim) => RouterBody::Claim(claim.into()),
            RouterMessage::ClaimNotice(notice) => RouterBody::ClaimNotice(notice.into()),
            RouterMessage::Recall(recall) => RouterBody::Recall(recall.into()),
            RouterMessage::Probe(probe) => RouterBody::Probe(probe.into()),
            RouterMessage::Moved(moved) => RouterBody::Moved(moved.into()),
            RouterMessage::AskServing(query) => RouterBody::AskServing(query.into()),
        };
        Self { stream: addressed.stream, body: Some(body) }
    }
}

impl FrameMessage for RouterFrame {
    type Message = RouterMessage;

    fn into_message(self) -> Result<Addressed<RouterMessage>, WireError> {
        let message = match required("body", self.body)? {
            RouterBody::Hello(hello) => RouterMessage::Hello(hello.try_into()?),
            RouterBody::Open(open) => RouterMessage::Open(Box::new((*open).try_into()?)),
            RouterBody::Acknowledge(offset) => RouterMessage::Acknowledge(offset),
            RouterBody::Cancel(_) => RouterMessage::Cancel,
            RouterBody::Ping(number) => RouterMessage::Ping(number),
            RouterBody::Resume(resume) => RouterMessage::Resume(Box::new((*resume).try_into()?)),
            RouterBody::Prove(proof) => RouterMessage::Prove(ProofTag(proof)),
            RouterBody::Received(_) => RouterMessage::Received,
            RouterBody::Pong(number) => RouterMessage::Pong(number),
            RouterBody::Claim(claim) => RouterMessage::Claim(claim.try_into()?),
            RouterBody::ClaimNotice(notice) => RouterMessage::ClaimNotice(notice.try_into()?),
            RouterBody::Recall(recall) => RouterMessage::Recall(recall.try_into()?),
            RouterBody::Probe(probe) => RouterMessage::Probe(probe.into()),
            RouterBody::Moved(moved) => RouterMessage::Moved(moved.try_into()?),
            RouterBody::AskServing(query) => RouterMessage::AskServing(query.try_into()?),
        };
        Ok(Addressed { stream: self.stream, message })
    }
}

impl From<RouterHello> for WireHello {
    fn from(hello: RouterHello) -> Self {
        Self {
            version: hello.version,
            incarnation: hello.incarnation.get(),
            domain: hello.domain.to_string(),
            nonce: hello.nonce.map(nonce_bytes),
        }
    }
}

impl TryFrom<WireHello> for RouterHello {
    type Error = WireError;

    fn try_from(hello: WireHello) -> Result<Self, WireError> {
        Ok(Self {
            version: hello.version,
            incarnation: hello.incarnation.into(),
            domain: identifier("domain", &hello.domain)?,
            nonce: hello.nonce.map(parse_nonce).transpose()?,
        })
    }
}

impl From<ResumeRequest> for WireResume {
    fn from(resume: ResumeRequest) -> Self {
        let (offset, after_event) = match resume.from {
            ResumePoint::Offset(offset) => (offset, None),
            ResumePoint::AfterEvent(number) => (0, Some(number)),
        };
        Self {
            id: Some(resume.id.into()),
            agent: resume.agent.map(Incarnation::get),
            organisation: resume.organisation.to_string(),
            start_before_ms: resume.start_before.map(|clock| clock.0),
            offset,
            after_event,
        }
    }
}

impl TryFrom<WireResume> for ResumeRequest {
    type Error = WireError;

    fn try_from(resume: WireResume) -> Result<Self, WireError> {
        let offset = ResumePoint::Offset(resume.offset);
        Ok(Self {
            id: required("id", resume.id)?.into(),
            agent: resume.agent.map(Into::into),
            organisation: identifier("organisation", &resume.organisation)?,
            start_before: resume.start_before_ms.map(AgentClock),
            from: resume.after_event.map_or(offset, ResumePoint::AfterEvent),
        })
    }
}

impl From<RequestId> for WireRequestId {
    fn from(id: RequestId) -> Self {
        Self { incarnation: id.incarnation.get(), number: id.number }
    }
}

impl From<WireRequestId> for RequestId {
    fn from(id: WireRequestId) -> Self {
        Self { incarnation: id.incarnation.into(), number: id.number }
    }
}

impl From<HeaderField> for WireHeader {
    fn from(header: HeaderField) -> Self {
        Self { name: header.name, value: header.value }
    }
}

impl From<WireHeader> for HeaderField {
    fn from(header: WireHeader) -> Self {
        Self { name: header.name, value: header.value }
    }
}

impl From<ChatTarget> for WireChat {
    fn from(target: ChatTarget) -> Self {
        Self {
            model: target.model.to_string(),
            adapter: target.adapter.map(|adapter| adapter.to_string()),
            chat: target.chat.to_string(),
        }
    }
}

impl TryFrom<WireChat> for ChatTarget {
    type Error = WireError;

    fn try_from(target: WireChat) -> Result<Self, WireError> {
        Ok(Self {
            model: identifier("model", &target.model)?,
            adapter: target
                .adapter
                .as_deref()
                .map(|adapter| identifier("adapter", adapter))
                .transpose()?,
            chat: identifier("chat", &target.chat)?,
        })
    }
}

impl From<OpenRequest> for WireOpen {
    fn from(open: OpenRequest) -> Self {
        let (at_most_once, idempotency_key) = match open.retry_rule {
            RetryRule::Idempotent => (false, None),
            RetryRule::AtMostOnce(key) => (true, key.map(|key| key.to_string())),
        };
        Self {
            id: Some(open.id.into()),
            agent: open.agent.get(),
            organisation: open.organisation.to_string(),
            priority: open.priority,
            start_before_ms: open.start_before.0,
            at_most_once,
            idempotency_key,
            claim: open.claim.map(|claim| claim.0.into()),
            chat: open.chat.map(Into::into),
            method: open.method,
            path: open.path,
            headers: open.headers.into_iter().map(Into::into).collect(),
            body: open.body,
            share: open.placement.share,
            patience_ms: u32::try_from(open.placement.wait_budget.as_millis()).unwrap_or(u32::MAX),
            may_redirect: open.placement.may_redirect,
            group_load: open.placement.group_load.map(Into::into),
            cleared: open.sent_after.cleared,
            crashes: open.sent_after.crashes,
        }
    }
}

impl TryFrom<WireOpen> for OpenRequest {
    type Error = WireError;

    fn try_from(open: WireOpen) -> Result<Self, WireError> {
        let retry_rule = match (open.at_most_once, open.idempotency_key) {
            (false, _) => RetryRule::Idempotent,
            (true, None) => RetryRule::AtMostOnce(None),
            (true, Some(key)) => RetryRule::AtMostOnce(Some(identifier("idempotency_key", &key)?)),
        };
        let placement = PlacementRule {
            share: open.share,
            wait_budget: Duration::from_millis(open.patience_ms.into()),
            may_redirect: open.may_redirect,
            group_load: open.group_load.map(Into::into),
        };
        Ok(Self {
            id: required("id", open.id)?.into(),
            agent: open.agent.into(),
            organisation: identifier("organisation", &open.organisation)?,
            priority: open.priority,
            start_before: AgentClock(open.start_before_ms),
            retry_rule,
            claim: open.claim.map(|claim| ClaimId(claim.into())),
            chat: open.chat.map(TryInto::try_into).transpose()?,
            method: open.method,
            path: open.path,
            headers: open.headers.into_iter().map(Into::into).collect(),
            body: open.body,
            placement,
            sent_after: CrashRecord { cleared: open.cleared, crashes: open.crashes },
        })
    }
}
