//! Conversion of load reports and probes from and to their wire types.

use std::time::Duration;

use papayamux_state::ids::ServerId;
use papayamux_state::load::{GroupId, GroupLoad, LoadReport};
use papayamux_state::quantities::{RequestCount, TokenCount};

use super::load_messages::*;
use super::{identifier, required, WireError};
use crate::link::{LoadProbe, MovedChat, ProbeReply};

/// Maximum number of checkpoints in a probe.
pub const MAX_CHECKPOINTS: usize = 16;

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

impl From<GroupLoad> for WireGroupLoad {
    fn from(load: GroupLoad) -> Self {
        Self {
            group: load.group.0,
            mean_milli: (load.mean * 1_000.0) as u32,
            samples_milli: (load.samples * 1_000.0) as u32,
            servers: load.servers,
        }
    }
}

impl From<WireGroupLoad> for GroupLoad {
    fn from(load: WireGroupLoad) -> Self {
        Self {
            group: GroupId(load.group),
            mean: f64::from(load.mean_milli) / 1_000.0,
            samples: f64::from(load.samples_milli) / 1_000.0,
            servers: load.servers,
        }
    }
}

impl From<LoadReport> for WireLoad {
    fn from(report: LoadReport) -> Self {
        Self {
            running: saturating_u32(report.running.get()),
            waiting: saturating_u32(report.waiting.get()),
            limit: saturating_u32(report.limit.get()),
            backlog_ms: u32::try_from(report.backlog.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<WireLoad> for LoadReport {
    fn from(load: WireLoad) -> Self {
        Self {
            running: RequestCount::new(load.running.into()),
            waiting: RequestCount::new(load.waiting.into()),
            limit: RequestCount::new(load.limit.into()),
            backlog: Duration::from_millis(load.backlog_ms.into()),
        }
    }
}

impl From<LoadProbe> for WireProbe {
    fn from(probe: LoadProbe) -> Self {
        Self {
            checkpoints: probe.checkpoints,
            chat: probe.chat,
            group_load: probe.group_load.map(Into::into),
        }
    }
}

impl From<WireProbe> for LoadProbe {
    fn from(probe: WireProbe) -> Self {
        let mut checkpoints = probe.checkpoints;
        checkpoints.truncate(MAX_CHECKPOINTS);
        Self { checkpoints, chat: probe.chat, group_load: probe.group_load.map(Into::into) }
    }
}

impl From<ProbeReply> for WireProbed {
    fn from(reply: ProbeReply) -> Self {
        Self {
            load: Some(reply.load.into()),
            warm: reply.warm,
            prefill_rate: saturating_u32(reply.prefill_rate.get()),
            elsewhere: reply.elsewhere.map(|server| server.to_string()),
        }
    }
}

impl TryFrom<WireProbed> for ProbeReply {
    type Error = WireError;

    fn try_from(reply: WireProbed) -> Result<Self, WireError> {
        Ok(Self {
            load: required("load", reply.load)?.into(),
            warm: reply.warm,
            prefill_rate: TokenCount::new(reply.prefill_rate.into()),
            elsewhere: optional_server("elsewhere", reply.elsewhere)?,
        })
    }
}

impl From<MovedChat> for WireMoved {
    fn from(moved: MovedChat) -> Self {
        Self { chat: moved.chat, server: moved.server.to_string() }
    }
}

impl TryFrom<WireMoved> for MovedChat {
    type Error = WireError;

    fn try_from(moved: WireMoved) -> Result<Self, WireError> {
        Ok(Self { chat: moved.chat, server: identifier("server", &moved.server)? })
    }
}

/// Parses the id of an optional server.
pub(super) fn optional_server(
    part: &'static str,
    text: Option<String>,
) -> Result<Option<ServerId>, WireError> {
    text.map(|text| identifier(part, &text)).transpose()
}
