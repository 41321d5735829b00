//! The wire form of crash notices: records of what servers crashed on.

use std::time::Duration;

use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::crash_suspect::{CrashSuspect, ServicePart};
use papayamux_state::ids::IdError;
use papayamux_state::prompt::PartId;
use papayamux_state::request_fingerprint::RequestFingerprint;
use prost::Message;

/// Crash notices. Those of contents are in columns, matched by index.
#[derive(Clone, PartialEq, Message)]
pub struct CrashNoticesWire {
    #[prost(fixed64, repeated, tag = "1")]
    fingerprints: Vec<u64>,
    #[prost(uint32, repeated, tag = "2")]
    cleared: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    crashes: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    held_ms: Vec<u32>,
    /// Notices of parts, which routers of earlier versions ignore.
    #[prost(message, repeated, tag = "5")]
    parts: Vec<PartNoticeWire>,
    /// Column of contents; empty from routers of earlier versions.
    #[prost(bool, repeated, tag = "6")]
    on_trial: Vec<bool>,
}

#[derive(Clone, PartialEq, Message)]
struct PartNoticeWire {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(fixed64, tag = "2")]
    part: u64,
    #[prost(uint32, tag = "3")]
    cleared: u32,
    #[prost(uint32, tag = "4")]
    crashes: u32,
    #[prost(uint32, tag = "5")]
    held_ms: u32,
    #[prost(bool, tag = "6")]
    on_trial: bool,
}

impl From<&[CrashNotice]> for CrashNoticesWire {
    fn from(notices: &[CrashNotice]) -> Self {
        let mut wire = Self::default();
        for notice in notices {
            let CrashRecord { cleared, crashes } = notice.record;
            let on_trial = notice.is_on_trial;
            let held_ms = u32::try_from(notice.quarantine_left.as_millis()).unwrap_or(u32::MAX);
            match &notice.suspect {
                CrashSuspect::Content(fingerprint) => {
                    wire.fingerprints.push(fingerprint.0);
                    wire.cleared.push(cleared);
                    wire.crashes.push(crashes);
                    wire.held_ms.push(held_ms);
                    wire.on_trial.push(on_trial);
                }
                CrashSuspect::Part(ServicePart { service, part }) => {
                    let service = service.to_string();
                    wire.parts.push(PartNoticeWire {
                        service,
                        part: part.0,
                        cleared,
                        crashes,
                        held_ms,
                        on_trial,
                    });
                }
            }
        }
        wire
    }
}

impl TryFrom<CrashNoticesWire> for Vec<CrashNotice> {
    type Error = IdError;

    fn try_from(wire: CrashNoticesWire) -> Result<Self, IdError> {
        let records = wire.cleared.into_iter().zip(wire.crashes);
        let on_trial = wire.on_trial.into_iter().chain(std::iter::repeat(false));
        let columns =
            wire.fingerprints.into_iter().zip(records).zip(wire.held_ms.into_iter().zip(on_trial));
        let contents =
            columns.map(|((fingerprint, (cleared, crashes)), (held_ms, is_on_trial))| {
                Ok(CrashNotice {
                    suspect: RequestFingerprint(fingerprint).into(),
                    record: CrashRecord { cleared, crashes },
                    quarantine_left: Duration::from_millis(u64::from(held_ms)),
                    is_on_trial,
                })
            });
        contents.chain(wire.parts.into_iter().map(CrashNotice::try_from)).collect()
    }
}

impl TryFrom<PartNoticeWire> for CrashNotice {
    type Error = IdError;

    fn try_from(wire: PartNoticeWire) -> Result<Self, IdError> {
        let part = ServicePart { service: wire.service.parse()?, part: PartId(wire.part) };
        Ok(Self {
            suspect: CrashSuspect::Part(part),
            record: CrashRecord { cleared: wire.cleared, crashes: wire.crashes },
            quarantine_left: Duration::from_millis(u64::from(wire.held_ms)),
            is_on_trial: wire.on_trial,
        })
    }
}
