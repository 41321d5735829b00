//! Reports between routers survive the way, and broken ones are refused.

use bytes::Bytes;
use papayamux_protocol::router_report::{ReportedLoad, RouterReport};

#[test]
fn report_comes_back_as_it_was() {
    let report = RouterReport {
        sequence: 7,
        known: vec!["10.0.0.1".parse().unwrap(), "10.0.0.2".parse().unwrap()],
        loads: vec![ReportedLoad { server: "i-1".parse().unwrap(), requests: 3, backlog: 11_800 }],
        leaving: true,
    };
    assert_eq!(RouterReport::decode(report.encode().into()).unwrap(), report);
}

#[test]
fn any_bytes_are_a_report_or_an_error() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        // Only a panic would be wrong.
        let _ = RouterReport::decode(Bytes::copy_from_slice(bytes));
    });
}
