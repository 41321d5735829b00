//! Reports between routers survive encoding and decoding unchanged, stay within their size limits,
//! and are refused if malformed.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::time::Duration;

use bytes::Bytes;
use papayamux_protocol::fleet_update::{FleetUpdate, FollowRequest, ServerUpdate, UpdateSpan};
use papayamux_protocol::origin_notices::{OriginAnswer, OriginNotice, OriginQuery};
use papayamux_protocol::part_inquiry::{PartAnswer, PartHolder, PartQuery};
use papayamux_protocol::router_report::{
    ReportedConfiguration, ReportedHolder, ReportedListing, ReportedLoad, ReportedPrefill,
    ReportedQuery, RouterReport,
};
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::capacity_class::CapacityClass;
use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::crash_suspect::{CrashSuspect, ServicePart};
use papayamux_state::ids::{ServerId, ServerKey, ServerName, ServerStart};
use papayamux_state::prompt::{PartId, PromptPart};
use papayamux_state::quantities::TokenCount;
use papayamux_state::request_fingerprint::RequestFingerprint;
use papayamux_state::source::{SourceEra, SourcePosition};
use papayamux_state::stream_origin::{StreamKey, StreamOrigin};

/// The number of inputs per property, at least as many as a debug build handles in one second.
const GENERATED_INPUTS: usize = 250_000;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: "chat".parse().unwrap(), version: version.parse().unwrap() }
}

fn notice(key: u64, version: &str) -> OriginNotice {
    OriginNotice { key: StreamKey(key), origin: origin(version) }
}

/// Two routers are notified of each stream.
#[test]
fn origin_notices_are_short() {
    let bytes = |streams: u64| {
        let origins = (0..streams).map(|key| notice(u64::MAX - key, "2026.11.4-rc1")).collect();
        let report = RouterReport {
            sequence: 100_000,
            origins,
            is_partial: true,
            ..RouterReport::default()
        };
        report.encode().len()
    };
    assert!(bytes(1) <= 48, "{}", bytes(1));
    assert_eq!(bytes(11) - bytes(1), 80);
}

#[test]
fn report_round_trips() {
    let report = RouterReport {
        sequence: 7,
        known: vec!["10.0.0.1".parse().unwrap(), "10.0.0.2".parse().unwrap()],
        loads: vec![ReportedLoad { server: ServerKey(1), requests: 3, backlog: 11_800 }],
        holders: vec![ReportedHolder {
            server: ServerKey(2),
            prefixes: vec![
                (PartId(5), TokenCount::new(512)),
                (PartId(u64::MAX), TokenCount::new(10_000)),
            ],
        }],
        listings: vec![ReportedListing {
            server: ServerKey(3),
            parts: vec![PromptPart { id: PartId(9), tokens: TokenCount::new(9_876) }],
        }],
        leaving: true,
        fresh: true,
        question: Some(ReportedQuery { life: u64::MAX, asked_ms: 4_711 }),
        configuration: Some(ReportedConfiguration {
            version: 45,
            age_ms: 612,
            answers: vec![("10.0.0.1".parse().unwrap(), ReportedQuery { life: 1, asked_ms: 2 })],
        }),
        readings: vec![ReportedPrefill {
            server: ServerKey(4),
            prefixes: vec![(PartId(11), TokenCount::new(2_520))],
            cold: TokenCount::new(9_200),
            expected_ms: 317,
        }],
        follow: Some(FollowRequest { life: 3, asked_ms: 70_000, position: position(u64::MAX) }),
        news: Some(news(vec![
            present(Some(1_700_000_000_000)),
            present(None),
            expired(),
            departed(),
        ])),
        part_question: Some(PartQuery { number: 9, part: PartId(u64::MAX) }),
        part_answer: Some(PartAnswer {
            number: 8,
            holders: vec![
                PartHolder { server: ServerKey(6), cold: TokenCount::default(), reading_ms: 0 },
                PartHolder { server: ServerKey(7), cold: TokenCount::new(9_000), reading_ms: 210 },
            ],
            is_sure: true,
        }),
        origins: vec![notice(u64::MAX, "v1"), notice(0, "v1"), notice(1, "v1.1")],
        origin_query: Some(OriginQuery { number: 10, key: StreamKey(u64::MAX) }),
        origin_answer: Some(OriginAnswer { number: 11, origin: Some(origin("")) }),
        crashes: vec![
            CrashNotice {
                suspect: RequestFingerprint(u64::MAX).into(),
                record: CrashRecord { cleared: 1, crashes: 2 },
                quarantine_left: Duration::from_millis(29_500),
                is_on_trial: false,
            },
            CrashNotice {
                suspect: RequestFingerprint(1).into(),
                record: CrashRecord { cleared: 0, crashes: 1 },
                quarantine_left: Duration::ZERO,
                is_on_trial: false,
            },
            CrashNotice {
                suspect: CrashSuspect::Part(ServicePart {
                    service: "llm".parse().unwrap(),
                    part: PartId(u64::MAX),
                }),
                record: CrashRecord { cleared: 1, crashes: 5 },
                quarantine_left: Duration::from_millis(30_000),
                is_on_trial: true,
            },
        ],
        counted: 24,
        queue_report: None,
        queue_answer: None,
        contended: vec!["lookup".parse().unwrap(), "speech".parse().unwrap()],
        capacity: CapacityClass::from(14),
        is_partial: true,
    };
    assert_eq!(RouterReport::decode(report.encode().into()).unwrap(), report);
}

fn position(revision: u64) -> SourcePosition {
    SourcePosition::new(SourceEra(1), revision)
}

fn present(start: Option<u64>) -> ServerUpdate {
    let name: ServerName = "i-7f3a91c2".parse().unwrap();
    let start = start.map(ServerStart);
    ServerUpdate::Present(BackendServer {
        id: ServerId::of_start(&name, start),
        name,
        start,
        service: "chat".parse().unwrap(),
        address: "10.5.64.55:8128".parse().unwrap(),
        domain: "hall-1".parse().unwrap(),
        slots: 16,
        phase: ServerPhase::Draining,
        software: "v1".parse().ok(),
        cold_left: std::time::Duration::ZERO,
    })
}

fn expired() -> ServerUpdate {
    let ServerUpdate::Present(server) = present(Some(7)) else { panic!("present") };
    ServerUpdate::Expired(server)
}

fn departed() -> ServerUpdate {
    ServerUpdate::Departed { name: "i-409792a0e0".parse().unwrap(), terminating: true }
}

fn news(changes: Vec<ServerUpdate>) -> FleetUpdate {
    let span = UpdateSpan {
        behind: position(4_000_000),
        changes,
        is_complete: true,
        digest: u64::MAX,
        evacuations: Vec::new(),
    };
    FleetUpdate {
        life: u64::MAX,
        asked_ms: 86_400_000,
        shift_ms: -612,
        position: position(4_000_117),
        version: 45,
        configuration_readable: Some(true),
        hops: 2,
        grace_ms: 1_750,
        span: Some(span),
    }
}

/// A router sends updates to up to 16 others three times a second. At 100 bytes each, that is
/// 5 KB/s, a quarter of the budget for control traffic.
#[test]
fn update_without_changes_is_short() {
    let report = RouterReport {
        sequence: 100_000,
        news: Some(news(Vec::new())),
        is_partial: true,
        ..RouterReport::default()
    };
    assert!(report.encode().len() <= 72, "{} bytes", report.encode().len());
}

#[test]
fn update_with_malformed_server_is_refused() {
    let ServerUpdate::Present(server) = present(None) else { panic!("present") };
    let unnamed = RouterReport {
        news: Some(news(vec![ServerUpdate::Present(BackendServer {
            service: "chat".parse().unwrap(),
            ..server
        })])),
        ..RouterReport::default()
    };
    let mut bytes = unnamed.encode();
    let place = bytes.windows(4).position(|window| window == b"chat").unwrap();
    bytes[place] = b'\n';
    assert!(RouterReport::decode(bytes.into()).is_err());
}

#[test]
fn report_of_large_fleet_is_short() {
    let loads = (0..20).map(|index| ReportedLoad {
        server: ServerKey(u32::MAX - index),
        requests: 1,
        backlog: 1_300,
    });
    let holders = (0..2).map(|index| ReportedHolder {
        server: ServerKey(index),
        prefixes: vec![
            (PartId(u64::MAX), TokenCount::new(512)),
            (PartId(u64::MAX - 1), TokenCount::new(10_000)),
        ],
    });
    let report = RouterReport {
        sequence: 100_000,
        known: vec!["10.0.0.1".parse().unwrap(); 16],
        loads: loads.collect(),
        holders: holders.collect(),
        ..RouterReport::default()
    };
    // A dozen such reports every 250 ms are less than 20 KB/s.
    let bytes = report.encode().len();
    assert!(bytes <= 300, "{bytes}");
}

#[test]
fn prefill_report_is_short() {
    let prefill = ReportedPrefill {
        server: ServerKey(u32::MAX),
        prefixes: vec![
            (PartId(u64::MAX), TokenCount::new(2_520)),
            (PartId(u64::MAX - 1), TokenCount::new(6_100)),
        ],
        cold: TokenCount::new(9_200),
        expected_ms: 317,
    };
    let report = RouterReport {
        sequence: 100_000,
        readings: vec![prefill],
        is_partial: true,
        ..RouterReport::default()
    };
    let bytes = report.encode().len();
    assert!(bytes <= 60, "{bytes}");
}

#[test]
fn report_decoder_never_panics() {
    bolero::check!().with_iterations(GENERATED_INPUTS).with_type::<Vec<u8>>().for_each(|bytes| {
        // Both outcomes are valid; the test fails only on a panic.
        let _ = RouterReport::decode(Bytes::copy_from_slice(bytes));
    });
}
