//! Messages about a service's shared queue: round trips, sizes and malformed input.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::time::Duration;

use bolero::check;
use papayamux_protocol::router_report::{ReportError, RouterReport};
use papayamux_state::backend::ServerSlowdown;
use papayamux_state::ids::{Incarnation, ServerKey};
use papayamux_state::quantities::TokenCount;
use papayamux_state::shared_queue::{
    HeldSlot, QueueAnswer, QueueDecision, QueueReport, QueuedTicket, ServerOccupancy, TicketAnswer,
    TicketNumber,
};

/// The number of inputs per property, at least as many as a debug build handles in one second.
const GENERATED_INPUTS: usize = 100_000;
const INCARNATION: u64 = 0x0199_abcd_1234_5678;

fn ticket(number: u64, organisation: Option<&str>) -> QueuedTicket {
    QueuedTicket {
        number: TicketNumber(number),
        organisation: organisation.map(|text| text.parse().unwrap()),
        priority: 1,
        work: TokenCount::new(500),
        waited: Duration::from_millis(3),
        since_first_attempt: Duration::from_millis(140),
        objective: Duration::from_millis(300),
        time_left: Duration::from_millis(2_000),
        service_time: Duration::from_millis(60),
    }
}

fn held(number: u64, server: u32) -> HeldSlot {
    HeldSlot { number: TicketNumber(number), server: ServerKey(server) }
}

fn queue_report(waiting: Vec<QueuedTicket>, held: Vec<HeldSlot>) -> QueueReport {
    QueueReport {
        service: "timetable".parse().unwrap(),
        incarnation: Incarnation::from(INCARNATION),
        sequence: 40_000,
        waiting,
        held,
        occupancy: Vec::new(),
    }
}

fn datagram(report: QueueReport) -> RouterReport {
    RouterReport {
        sequence: 100_000,
        queue_report: Some(report),
        is_partial: true,
        ..RouterReport::default()
    }
}

#[test]
fn report_round_trips() {
    let occupancy = |server, slowdown| ServerOccupancy {
        server: ServerKey(server),
        running: 6,
        waiting: 2,
        slowdown,
        age: Duration::from_millis(12),
    };
    let waiting = vec![
        ticket(u64::MAX, Some("desk")),
        ticket(2, None),
        ticket(3, Some("desk")),
        ticket(4, Some("ward")),
    ];
    let report = QueueReport {
        occupancy: vec![occupancy(7, None), occupancy(u32::MAX, ServerSlowdown::from_percent(250))],
        ..queue_report(waiting, vec![held(1, 7), held(u64::MAX, u32::MAX)])
    };
    let sent = datagram(report);
    assert_eq!(RouterReport::decode(sent.encode().into()).unwrap(), sent);
}

#[test]
fn answer_round_trips() {
    let granted = TicketAnswer {
        number: TicketNumber(1),
        decision: QueueDecision::Granted(ServerKey(u32::MAX)),
    };
    let refused = TicketAnswer {
        number: TicketNumber(u64::MAX),
        decision: QueueDecision::Refused { wait: Duration::from_millis(180), waiting: 40 },
    };
    let answer = QueueAnswer {
        service: "timetable".parse().unwrap(),
        incarnation: Incarnation::from(u64::MAX),
        sequence: u64::MAX,
        decisions: vec![granted, refused],
        is_contended: true,
    };
    let sent = RouterReport { queue_answer: Some(answer), ..RouterReport::default() };
    assert_eq!(RouterReport::decode(sent.encode().into()).unwrap(), sent);
}

#[test]
fn times_beyond_the_wire_format_are_clamped() {
    let endless = QueuedTicket { time_left: Duration::MAX, ..ticket(1, None) };
    let sent = datagram(queue_report(vec![endless], Vec::new()));
    let received = RouterReport::decode(sent.encode().into()).unwrap().queue_report.unwrap();
    assert_eq!(received.waiting[0].time_left, Duration::from_millis(u64::from(u32::MAX)));
}

/// A router sends a report for each request while a service is short of slots.
#[test]
fn report_of_one_request_is_short() {
    let bytes = |waiting: u64| {
        let waiting = (0..waiting).map(|number| ticket(9_000 + number, Some("desk-7"))).collect();
        datagram(queue_report(waiting, vec![held(8_998, 1), held(8_999, 2)])).encode().len()
    };
    assert!(bytes(1) < 100, "{}", bytes(1));
    assert!(bytes(11) - bytes(1) <= 150, "{}", bytes(11) - bytes(1));
}

#[test]
fn answer_with_one_grant_is_short() {
    let decision = QueueDecision::Granted(ServerKey(u32::MAX));
    let answer = QueueAnswer {
        service: "timetable".parse().unwrap(),
        incarnation: Incarnation::from(INCARNATION),
        sequence: 40_000,
        decisions: vec![TicketAnswer { number: TicketNumber(9_000), decision }],
        is_contended: true,
    };
    let report = RouterReport {
        sequence: 100_000,
        queue_answer: Some(answer),
        is_partial: true,
        ..RouterReport::default()
    };
    assert!(report.encode().len() < 60, "{}", report.encode().len());
}

/// Wraps the fields of a report's shared queue into a datagram.
fn raw_report(fields: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0xc2, 0x01, u8::try_from(fields.len()).unwrap()];
    bytes.extend_from_slice(fields);
    bytes
}

#[test]
fn malformed_reports_are_errors() {
    let service = [0x0a, 1, b'a'];
    let decode = |fields: &[u8]| RouterReport::decode(raw_report(fields).into());
    assert!(decode(&service).is_ok());
    let is_malformed = |fields: &[u8]| matches!(decode(fields), Err(ReportError::SharedQueue(_)));
    assert!(is_malformed(&[]), "no service");
    assert!(is_malformed(&[&service[..], &[0x2a, 1, 7]].concat()), "a request without its columns");
    assert!(is_malformed(&[&service[..], &[0x72, 1, 7]].concat()), "a held slot without a server");
    let row = [
        0x2a, 1, 7, 0x32, 1, 1, 0x3a, 1, 0, 0x42, 1, 0, 0x4a, 1, 0, 0x52, 1, 0, 0x5a, 1, 0, 0x62,
        1, 0, 0x6a, 1, 0,
    ];
    assert!(is_malformed(&[&service[..], &row].concat()), "an organisation that isn't listed");
    let listed = [&service[..], &[0x22, 1, b'b'], &row].concat();
    assert_eq!(decode(&listed).unwrap().queue_report.unwrap().waiting.len(), 1);
    let with_name = |name: u8| RouterReport::decode(vec![0xd2, 0x01, 1, name].into());
    assert!(matches!(with_name(b'\n'), Err(ReportError::Contended(_))));
    assert!(with_name(b'a').is_ok());
}

#[test]
fn decoder_never_panics() {
    check!().with_iterations(GENERATED_INPUTS).for_each(|bytes: &[u8]| {
        let fields = &bytes[..bytes.len().min(120)];
        if let Ok(report) = RouterReport::decode(raw_report(fields).into()) {
            assert_eq!(RouterReport::decode(report.encode().into()).unwrap(), report);
        }
    });
}
