//! Conversion of claims from and to their wire types.

use bytes::Bytes;
use papayamux_state::claims::{ClaimId, ClaimQuery, HeldClaim, RunLocation};

use super::claim_messages::*;
use super::{identifier, required, WireError};
use crate::link::{AgentClock, ClaimChange, ClaimNotice, ClaimReply, ClaimRequest, RecallRequest};

/// Maximum number of fleet views in a claim.
const MAX_VIEWS: usize = 32;

fn hash_bytes(hash: u128) -> Bytes {
    Bytes::copy_from_slice(&hash.to_be_bytes())
}

fn parse_hash<T: From<u128>>(part: &'static str, bytes: &Bytes) -> Result<T, WireError> {
    let bytes: [u8; 16] =
        bytes.as_ref().try_into().map_err(|_| WireError::Length { part, length: bytes.len() })?;
    Ok(u128::from_be_bytes(bytes).into())
}

impl From<ClaimRequest> for WireClaim {
    fn from(request: ClaimRequest) -> Self {
        let ask = request.ask;
        Self {
            agent: request.agent.get(),
            grant_before_ms: request.grant_before.0,
            key: hash_bytes(ask.key.get()),
            fingerprint: hash_bytes(ask.fingerprint.get()),
            claim: Some(ask.claim.0.into()),
            views: ask.views.iter().map(|view| view.get()).collect(),
        }
    }
}

impl TryFrom<WireClaim> for ClaimRequest {
    type Error = WireError;

    fn try_from(claim: WireClaim) -> Result<Self, WireError> {
        if claim.views.len() > MAX_VIEWS {
            return Err(WireError::Length { part: "views", length: claim.views.len() });
        }
        let ask = ClaimQuery {
            key: parse_hash("key", &claim.key)?,
            fingerprint: parse_hash("fingerprint", &claim.fingerprint)?,
            claim: ClaimId(required("claim", claim.claim)?.into()),
            views: claim.views.into_iter().map(Into::into).collect(),
        };
        let grant_before = AgentClock(claim.grant_before_ms);
        Ok(Self { agent: claim.agent.into(), grant_before, ask })
    }
}

impl From<ClaimReply> for WireClaimReply {
    fn from(reply: ClaimReply) -> Self {
        match reply {
            ClaimReply::Granted => Self { refusal: None, holder: None, place: None },
            ClaimReply::Refused { notice, held } => Self {
                refusal: Some(notice.into()),
                holder: held.as_ref().map(|held| held.claim.0.into()),
                place: held.and_then(|held| held.place).map(Into::into),
            },
        }
    }
}

impl TryFrom<WireClaimReply> for ClaimReply {
    type Error = WireError;

    fn try_from(reply: WireClaimReply) -> Result<Self, WireError> {
        let Some(refusal) = reply.refusal else { return Ok(Self::Granted) };
        let place = reply.place.map(TryInto::try_into).transpose()?;
        let held = reply.holder.map(|holder| HeldClaim { claim: ClaimId(holder.into()), place });
        Ok(Self::Refused { notice: refusal.try_into()?, held })
    }
}

impl From<RunLocation> for WirePlace {
    fn from(place: RunLocation) -> Self {
        Self { server: place.server.to_string(), agent: place.agent.to_string() }
    }
}

impl TryFrom<WirePlace> for RunLocation {
    type Error = WireError;

    fn try_from(place: WirePlace) -> Result<Self, WireError> {
        let agent =
            place.agent.parse().map_err(|source| WireError::Address { part: "agent", source })?;
        Ok(Self { server: identifier("server", &place.server)?, agent })
    }
}

impl From<ClaimNotice> for WireClaimNotice {
    fn from(notice: ClaimNotice) -> Self {
        let place = match notice.change {
            ClaimChange::Placed(place) => Some(place.into()),
            ClaimChange::Released => None,
        };
        Self { key: hash_bytes(notice.key.get()), claim: Some(notice.claim.0.into()), place }
    }
}

impl TryFrom<WireClaimNotice> for ClaimNotice {
    type Error = WireError;

    fn try_from(notice: WireClaimNotice) -> Result<Self, WireError> {
        let change = match notice.place {
            Some(place) => ClaimChange::Placed(place.try_into()?),
            None => ClaimChange::Released,
        };
        let claim = ClaimId(required("claim", notice.claim)?.into());
        Ok(Self { key: parse_hash("key", &notice.key)?, claim, change })
    }
}

impl From<RecallRequest> for WireRecall {
    fn from(recall: RecallRequest) -> Self {
        Self {
            organisation: recall.organisation.to_string(),
            key: recall.key.to_string(),
            fingerprint: hash_bytes(recall.fingerprint.get()),
        }
    }
}

impl TryFrom<WireRecall> for RecallRequest {
    type Error = WireError;

    fn try_from(recall: WireRecall) -> Result<Self, WireError> {
        Ok(Self {
            organisation: identifier("organisation", &recall.organisation)?,
            key: identifier("key", &recall.key)?,
            fingerprint: parse_hash("fingerprint", &recall.fingerprint)?,
        })
    }
}
