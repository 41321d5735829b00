//! The transfer of a complete view: round trips, sizes and hostile bytes.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::Duration;

use papayamux_protocol::fleet_update::{FleetUpdate, ServerUpdate, UpdateSpan};
use papayamux_protocol::fleet_view::{FleetView, PackedView, TimedView, ViewAnswer, ViewRequest};
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::evacuation::EvacuationOrder;
use papayamux_state::ids::ServerId;
use papayamux_state::quantities::{ByteCount, TokenCount};
use papayamux_state::service_config::{
    CallerLimits, ColdStart, ConfigVersion, ConfigurationSnapshot, EngineProfile, HomeRegions,
    KeyHolder, OrganisationKeys, RequestKind, Route, RouteTable, Service, ServiceShare,
};
use papayamux_state::source::{SourceEra, SourcePosition};

fn position(revision: u64) -> SourcePosition {
    SourcePosition::new(SourceEra(1), revision)
}

fn homes(names: &[&str]) -> HomeRegions {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

fn route(id: &str, kind: RequestKind) -> Rc<Route> {
    Rc::new(Route {
        id: id.parse().unwrap(),
        shares: vec![
            ServiceShare { service: "chat".parse().unwrap(), weight: 9 },
            ServiceShare { service: "chat-2".parse().unwrap(), weight: 1 },
        ],
        kind,
        timeout: Duration::from_micros(15_000_500),
        objective: Duration::from_millis(800),
        gap_objective: kind.is_stream().then_some(Duration::from_millis(600)),
        attempts: 2,
        priority: 1,
        anonymous: id == "open",
        homes: homes(&["north"]),
    })
}

fn configuration() -> ConfigurationSnapshot {
    let mut routes = RouteTable::default();
    routes.add("a.example", "/", route("open", RequestKind::Idempotent));
    routes.add("a.example", "/once/", route("once", RequestKind::Once));
    routes.add("b.example", "/cut/", route("cut", RequestKind::Stream { resumable: false }));
    routes.add("b.example", "/on/", route("on", RequestKind::Stream { resumable: true }));
    routes.add_unreadable("b.example", "/broken/");
    routes.mark_incomplete();
    let mut organisations = OrganisationKeys::default();
    organisations.mark_incomplete();
    let holder = |name: &str, priority| KeyHolder {
        organisation: name.parse().unwrap(),
        priority,
        homes: homes(&["north", "south"]),
    };
    organisations.add(holder("mine", None), ["key-1", "key-2"].map(|key| key.parse().unwrap()));
    organisations.add(holder("yours", Some(2)), ["key-3".parse().unwrap()]);
    let engine = EngineProfile {
        slots: 24,
        cache_tokens: TokenCount::new(405_961),
        transfer_tokens_per_ms: Some(3.25),
    };
    let cold_start = ColdStart { duration: Duration::from_secs(5), per_second: 2.5 };
    let chat =
        Service { connection_limit: Some(780), engine: Some(engine), cold_start: Some(cold_start) };
    let plain = Service { connection_limit: None, engine: None, cold_start: None };
    ConfigurationSnapshot {
        version: ConfigVersion(45),
        routes,
        services: [("chat".parse().unwrap(), chat), ("plain".parse().unwrap(), plain)].into(),
        limits: CallerLimits { head_bytes: ByteCount::new(9_000), ..CallerLimits::default() },
        organisations: Some(organisations),
        unreadable_parts: 2,
    }
}

fn server(index: u32) -> BackendServer {
    // Names are as hard to compress as those of the platform.
    let name =
        format!("i-{:010x}", u64::from(index).wrapping_mul(0x9e37_79b9_7f4a) & 0xff_ffff_ffff);
    let name: papayamux_state::ids::ServerName = name.parse().unwrap();
    BackendServer {
        id: ServerId::of_start(&name, None),
        name,
        start: None,
        service: "chat".parse().unwrap(),
        address: format!("10.2.{}.{}:8169", index / 250, index % 250).parse().unwrap(),
        domain: format!("hall-{}", index % 5).parse().unwrap(),
        slots: 24,
        phase: ServerPhase::Serving,
        software: "v1".parse().ok(),
        cold_left: Duration::ZERO,
    }
}

fn view(servers: u32) -> FleetView {
    let changes = (0..servers).map(|index| ServerUpdate::Present(server(index))).collect();
    let evacuation = EvacuationOrder { domain: "hall-1".parse().unwrap(), position: position(80) };
    FleetView {
        update: FleetUpdate {
            life: 0,
            asked_ms: 0,
            shift_ms: 0,
            position: position(4_000_117),
            version: 45,
            configuration_readable: Some(true),
            hops: 2,
            grace_ms: 1_750,
            span: Some(UpdateSpan {
                behind: SourcePosition::default(),
                changes,
                is_complete: true,
                digest: u64::MAX,
                evacuations: vec![evacuation],
            }),
        },
        configuration: Some(configuration()),
    }
}

#[test]
fn view_round_trips() {
    let request = ViewRequest {
        life: u64::MAX,
        asked_ms: 86_400_000,
        position: position(4_000_000),
        version: 45,
    };
    assert_eq!(ViewRequest::decode(request.encode()).unwrap(), request);
    let routers = vec![IpAddr::V4(Ipv4Addr::new(10, 1, 64, 9)), IpAddr::V4(Ipv4Addr::LOCALHOST)];
    let packed = PackedView::pack(&view(3)).unwrap();
    let answer = ViewAnswer::View(TimedView {
        request,
        shift_ms: -612,
        routers: routers.clone(),
        view: packed,
    });
    let decoded = ViewAnswer::decode(answer.encode()).unwrap();
    assert_eq!(decoded, answer);
    let ViewAnswer::View(timed) = decoded else { unreachable!() };
    let mut expected = view(3);
    expected.update.life = request.life;
    expected.update.asked_ms = request.asked_ms;
    expected.update.shift_ms = -612;
    assert_eq!(timed.unpack().unwrap(), expected);
    for answer in [ViewAnswer::Referral(routers), ViewAnswer::Unavailable] {
        assert_eq!(ViewAnswer::decode(answer.encode()).unwrap(), answer);
    }
}

/// A view goes to up to 16 routers within a second, over a link of 20 Mbit/s.
#[test]
fn view_of_a_large_fleet_is_short() {
    let bytes = |servers| PackedView::pack(&view(servers)).unwrap().len();
    let slope = (bytes(1_280) - bytes(640)) as f64 / 640.0;
    assert!(slope <= 32.0, "{slope} bytes for each server");
    assert!(bytes(640) <= 24_000, "{} bytes", bytes(640));
}

#[test]
fn hostile_bytes_are_refused_or_decoded() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let frame = bytes::Bytes::copy_from_slice(bytes);
        let _ = ViewRequest::decode(frame.clone());
        if let Ok(ViewAnswer::View(timed)) = ViewAnswer::decode(frame) {
            let _ = timed.unpack();
        }
    });
}

#[test]
fn cut_view_is_refused() {
    let request =
        ViewRequest { life: 1, asked_ms: 2, position: SourcePosition::default(), version: 0 };
    let packed = PackedView::pack(&view(40)).unwrap();
    let timed = TimedView { request, shift_ms: 0, routers: Vec::new(), view: packed };
    let frame = ViewAnswer::View(timed).encode();
    for length in 0..frame.len() {
        let decoded = ViewAnswer::decode(frame.slice(..length));
        let is_view = matches!(&decoded, Ok(ViewAnswer::View(timed)) if timed.unpack().is_ok());
        assert!(!is_view, "cut to {length} bytes");
    }
}

/// A router that does not know partial changes must not take them for complete ones.
#[test]
fn partial_changes_round_trip_apart_from_complete_ones() {
    let mut update = view(1).update;
    for is_complete in [true, false] {
        update.span.as_mut().unwrap().is_complete = is_complete;
        let report = papayamux_protocol::router_report::RouterReport {
            news: Some(update.clone()),
            ..Default::default()
        };
        let decoded =
            papayamux_protocol::router_report::RouterReport::decode(report.encode().into());
        assert_eq!(decoded.unwrap().news, Some(update.clone()));
    }
}
