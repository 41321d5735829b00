//! The wire form of crash notices: records of requests under which servers crashed.

use std::time::Duration;

use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::request_fingerprint::RequestFingerprint;
use prost::Message;

/// Crash notices in columns, matched by index.
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
}

impl From<&[CrashNotice]> for CrashNoticesWire {
    fn from(notices: &[CrashNotice]) -> Self {
        let held_ms = |notice: &CrashNotice| {
            u32::try_from(notice.quarantine_left.as_millis()).unwrap_or(u32::MAX)
        };
        Self {
            fingerprints: notices.iter().map(|notice| notice.fingerprint.0).collect(),
            cleared: notices.iter().map(|notice| notice.record.cleared).collect(),
            crashes: notices.iter().map(|notice| notice.record.crashes).collect(),
            held_ms: notices.iter().map(held_ms).collect(),
        }
    }
}

impl From<CrashNoticesWire> for Vec<CrashNotice> {
    fn from(wire: CrashNoticesWire) -> Self {
        let records = wire.cleared.into_iter().zip(wire.crashes);
        let columns = wire.fingerprints.into_iter().zip(records).zip(wire.held_ms);
        let notices = columns.map(|((fingerprint, (cleared, crashes)), held_ms)| CrashNotice {
            fingerprint: RequestFingerprint(fingerprint),
            record: CrashRecord { cleared, crashes },
            quarantine_left: Duration::from_millis(u64::from(held_ms)),
        });
        notices.collect()
    }
}
