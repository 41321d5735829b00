//! Conversion of agent messages from and to their wire types.

use papayamux_state::refusal::RefusalReason;

use super::convert_load::optional_server;
use super::messages::*;
use super::shared_messages::WireRefusal;
use super::{identifier, nonce_bytes, parse_nonce, required, FrameMessage, WireError};
use crate::link::{
    Addressed, AgentClock, AgentMessage, AgentWelcome, AnswerData, AnswerEnd, AnswerHead,
    PongNotice, RefusalNotice, ResumeNotice,
};
use crate::proof::ProofTag;

impl From<Addressed<AgentMessage>> for AgentFrame {
    fn from(addressed: Addressed<AgentMessage>) -> Self {
        let body = match addressed.message {
            AgentMessage::Welcome(welcome) => AgentBody::Welcome(welcome.into()),
            AgentMessage::Refused(notice) => AgentBody::Refused(notice.into()),
            AgentMessage::Head(head) => AgentBody::Head(head.into()),
            AgentMessage::Data(data) => {
                AgentBody::Data(WireData { offset: data.offset, bytes: data.bytes })
            }
            AgentMessage::End(end) => AgentBody::End(end.into()),
            AgentMessage::Pong(pong) => {
                AgentBody::Pong(WirePong { number: pong.number, clock_ms: pong.clock.0 })
            }
            AgentMessage::Leaving => AgentBody::Leaving(WireNothing {}),
            AgentMessage::Resumed(notice) => AgentBody::Resumed(notice.into()),
            AgentMessage::NotHeld => AgentBody::NotHeld(WireNothing {}),
            AgentMessage::Ping(number) => AgentBody::Ping(number),
            AgentMessage::Claim(reply) => AgentBody::Claim(reply.into()),
            AgentMessage::Load(report) => AgentBody::Load(report.into()),
            AgentMessage::Probed(reply) => AgentBody::Probed(reply.into()),
            AgentMessage::Serving(answer) => AgentBody::Serving(answer.into()),
            AgentMessage::Crashes(notices) => AgentBody::Crashes(notices.as_slice().into()),
        };
        Self { stream: addressed.stream, body: Some(body) }
    }
}

impl FrameMessage for AgentFrame {
    type Message = AgentMessage;

    fn into_message(self) -> Result<Addressed<AgentMessage>, WireError> {
        let message = match required("body", self.body)? {
            AgentBody::Welcome(welcome) => AgentMessage::Welcome(welcome.try_into()?),
            AgentBody::Refused(refusal) => AgentMessage::Refused(refusal.try_into()?),
            AgentBody::Head(head) => AgentMessage::Head(head.try_into()?),
            AgentBody::Data(data) => {
                AgentMessage::Data(AnswerData { offset: data.offset, bytes: data.bytes })
            }
            AgentBody::End(end) => AgentMessage::End(end.into()),
            AgentBody::Pong(pong) => AgentMessage::Pong(PongNotice {
                number: pong.number,
                clock: AgentClock(pong.clock_ms),
            }),
            AgentBody::Leaving(_) => AgentMessage::Leaving,
            AgentBody::Resumed(resumed) => AgentMessage::Resumed(resumed.try_into()?),
            AgentBody::NotHeld(_) => AgentMessage::NotHeld,
            AgentBody::Ping(number) => AgentMessage::Ping(number),
            AgentBody::Claim(reply) => AgentMessage::Claim(reply.try_into()?),
            AgentBody::Load(load) => AgentMessage::Load(load.into()),
            AgentBody::Probed(reply) => AgentMessage::Probed(reply.try_into()?),
            AgentBody::Serving(answer) => AgentMessage::Serving(answer.try_into()?),
            AgentBody::Crashes(notices) => {
                let notices = notices.try_into();
                AgentMessage::Crashes(
                    notices
                        .map_err(|source| WireError::Identifier { part: "crash notice", source })?,
                )
            }
        };
        Ok(Addressed { stream: self.stream, message })
    }
}

impl From<AgentWelcome> for WireWelcome {
    fn from(welcome: AgentWelcome) -> Self {
        Self {
            version: welcome.version,
            incarnation: welcome.incarnation.get(),
            server: welcome.server.to_string(),
            domain: welcome.domain.to_string(),
            clock_ms: welcome.clock.0,
            nonce: welcome.nonce.map(nonce_bytes),
            proof: welcome.proof.map(|proof| proof.0),
        }
    }
}

impl TryFrom<WireWelcome> for AgentWelcome {
    type Error = WireError;

    fn try_from(welcome: WireWelcome) -> Result<Self, WireError> {
        Ok(Self {
            version: welcome.version,
            incarnation: welcome.incarnation.into(),
            server: identifier("server", &welcome.server)?,
            domain: identifier("domain", &welcome.domain)?,
            clock: AgentClock(welcome.clock_ms),
            nonce: welcome.nonce.map(parse_nonce).transpose()?,
            proof: welcome.proof.map(ProofTag),
        })
    }
}

impl From<ResumeNotice> for WireResumed {
    fn from(notice: ResumeNotice) -> Self {
        Self { offset: notice.offset, head: notice.head.map(Into::into) }
    }
}

impl TryFrom<WireResumed> for ResumeNotice {
    type Error = WireError;

    fn try_from(resumed: WireResumed) -> Result<Self, WireError> {
        let head = resumed.head.map(TryInto::try_into).transpose()?;
        Ok(Self { offset: resumed.offset, head })
    }
}

impl From<RefusalNotice> for WireRefusal {
    fn from(notice: RefusalNotice) -> Self {
        Self {
            reason: notice.reason.number(),
            retry_after_ms: notice.retry_after_ms,
            better: notice.better.map(|server| server.to_string()),
        }
    }
}

impl TryFrom<WireRefusal> for RefusalNotice {
    type Error = WireError;

    fn try_from(refusal: WireRefusal) -> Result<Self, WireError> {
        let reason = RefusalReason::from_number(refusal.reason)
            .ok_or(WireError::Number { part: "reason", number: refusal.reason })?;
        let better = optional_server("better", refusal.better)?;
        Ok(Self { reason, retry_after_ms: refusal.retry_after_ms, better })
    }
}

impl From<AnswerHead> for WireHead {
    fn from(head: AnswerHead) -> Self {
        Self {
            status: u32::from(head.status),
            headers: head.headers.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<WireHead> for AnswerHead {
    type Error = WireError;

    fn try_from(head: WireHead) -> Result<Self, WireError> {
        let status = u16::try_from(head.status)
            .map_err(|_| WireError::Number { part: "status", number: head.status })?;
        Ok(Self { status, headers: head.headers.into_iter().map(Into::into).collect() })
    }
}

impl From<AnswerEnd> for WireEnd {
    fn from(end: AnswerEnd) -> Self {
        match end {
            AnswerEnd::Complete(length) => Self { length, failure: None },
            AnswerEnd::Failed(failure) => Self { length: 0, failure: Some(failure) },
        }
    }
}

impl From<WireEnd> for AnswerEnd {
    fn from(end: WireEnd) -> Self {
        match end.failure {
            None => Self::Complete(end.length),
            Some(failure) => Self::Failed(failure),
        }
    }
}
