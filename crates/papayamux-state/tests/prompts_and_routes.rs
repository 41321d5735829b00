//! Prompt chains, the model of a server's cached parts, and the choice of routes.
#![allow(clippy::unwrap_used, clippy::panic, reason = "test helpers may panic")]

use std::rc::Rc;
use std::time::Duration;

use papayamux_state::prompt::{ChainError, PartId, PromptChain, PromptPart, WarmParts};
use papayamux_state::quantities::TokenCount;
use papayamux_state::service_config::{
    ApiKey, HomeRegions, KeyHolder, OrganisationKeys, RequestKind, Route, RouteTable, ServiceShare,
};

fn chain(text: &str) -> PromptChain {
    text.parse().unwrap()
}

#[test]
fn chain_is_read_in_order() {
    let chain = chain("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    assert_eq!(chain.tokens(), TokenCount::new(1_460));
    assert_eq!(chain.longest_shared().unwrap().id.0, 0x5c1e_07a2);
    assert_eq!(chain.shared_tokens(), TokenCount::new(800));
}

#[test]
fn malformed_chains_report_the_part_index() {
    for text in ["", "12", "x:1", "12:", ":3", "1:2,", "1:2,zz:4", "1:-2"] {
        let error = text.parse::<PromptChain>().unwrap_err();
        assert!(matches!(error, ChainError::Part { .. }), "{text}: {error}");
    }
    assert_eq!("1:1,x:2".parse::<PromptChain>(), Err(ChainError::Part { index: 1 }));
    assert_eq!(vec!["1:1"; 300].join(",").parse::<PromptChain>(), Err(ChainError::TooMany));
}

#[test]
fn all_parts_but_the_last_are_suspects() {
    let suspects = |text| chain(text).suspect_parts().map(|part| part.0).collect::<Vec<_>>();
    assert_eq!(suspects("a:800,b:410,c:250"), [0xa, 0xb]);
    assert_eq!(suspects("a:800"), [0; 0]);
    let long: Vec<_> = (0..200).map(|id| format!("{id:x}:1")).collect();
    assert_eq!(suspects(&long.join(",")).len(), 64, "one prompt can't fill a table of suspects");
}

fn part(id: u64, tokens: u64) -> PromptPart {
    PromptPart { id: PartId(id), tokens: TokenCount::new(tokens) }
}

#[test]
fn listed_part_is_warm_with_all_before_it() {
    let mut warm = WarmParts::new(TokenCount::new(10_000));
    warm.record_listed([part(2, 200)]);
    assert_eq!(warm.warm_tokens(&chain("1:100,2:200,3:30")), TokenCount::new(300));
    assert_eq!(warm.warm_tokens(&chain("1:100,4:200")), TokenCount::new(0));
}

#[test]
fn listed_part_is_evicted_before_parts_used_later() {
    let mut warm = WarmParts::new(TokenCount::new(1_000));
    warm.record_listed([part(9, 600)]);
    warm.record_use(&chain("1:400,a:100"));
    assert_eq!(warm.warm_tokens(&chain("9:600,b:10")), TokenCount::new(0));
    assert_eq!(warm.warm_tokens(&chain("1:400,b:10")), TokenCount::new(400));
}

#[test]
fn repeated_list_changes_nothing() {
    let mut warm = WarmParts::new(TokenCount::new(1_400));
    warm.record_listed([part(1, 600)]);
    warm.record_use(&chain("1:600,a:100"));
    warm.record_listed([part(1, 600)]);
    assert!(!warm.is_nearly_full(), "700 of 1,400 tokens are cached");
    assert_eq!(warm.warm_tokens(&chain("1:600,b:10")), TokenCount::new(600));
}

#[test]
fn listed_part_that_is_used_counts_once() {
    let mut warm = WarmParts::new(TokenCount::new(1_000));
    warm.record_listed([part(1, 600)]);
    warm.record_use(&chain("1:600,a:100"));
    assert!(!warm.is_nearly_full());
    assert_eq!(warm.warm_tokens(&chain("1:600,b:10")), TokenCount::new(600));
}

#[test]
fn part_is_warm_only_behind_the_same_parts() {
    let mut warm = WarmParts::new(TokenCount::new(10_000));
    warm.record_use(&chain("1:100,2:200,3:30"));
    assert_eq!(warm.warm_tokens(&chain("1:100,2:200,9:50")), TokenCount::new(300));
    assert_eq!(warm.warm_tokens(&chain("7:100,2:200,3:30")), TokenCount::new(0));
}

#[test]
fn least_recently_used_parts_are_evicted_first() {
    let mut warm = WarmParts::new(TokenCount::new(1_000));
    warm.record_use(&chain("1:400,a:10"));
    warm.record_use(&chain("2:400,b:10"));
    warm.record_use(&chain("1:400,c:10"));
    warm.record_use(&chain("3:400,d:10"));
    assert_eq!(warm.warm_tokens(&chain("2:400")), TokenCount::new(0));
    assert_eq!(warm.warm_tokens(&chain("1:400")), TokenCount::new(400));
}

fn route(name: &str) -> Rc<Route> {
    Rc::new(Route {
        id: name.parse().unwrap(),
        shares: vec![
            ServiceShare { service: "a".parse().unwrap(), weight: 90 },
            ServiceShare { service: "b".parse().unwrap(), weight: 10 },
        ],
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        gap_objective: None,
        attempts: 2,
        priority: 1,
        anonymous: false,
        homes: HomeRegions::default(),
    })
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let mut table = RouteTable::default();
    table.add("One.example", "/a/", route("short"));
    table.add("one.example", "/a/b/", route("long"));
    table.add("two.example", "/", route("other"));
    let found = |host: &str, path: &str| {
        table.find(host, path).map(|route| route.id.to_string()).unwrap_or_default()
    };
    assert_eq!(found("one.example", "/a/b/c"), "long");
    assert_eq!(found("ONE.EXAMPLE:8080", "/a/c"), "short");
    assert_eq!(found("one.example", "/a"), "");
    assert_eq!(found("two.example", "/anything"), "other");
    assert_eq!(found("three.example", "/a/"), "");
}

#[test]
fn services_are_picked_by_weight() {
    let route = route("split");
    let picked = |sample| route.pick_service(sample).unwrap().to_string();
    assert_eq!((picked(0.0), picked(0.899), picked(0.901)), ("a".into(), "a".into(), "b".into()));
}

#[test]
fn keys_are_hidden() {
    let key: ApiKey = "very-secret".parse().unwrap();
    assert!(!format!("{key:?}").contains("secret"));
    let mut keys = OrganisationKeys::default();
    let holder = KeyHolder {
        organisation: "harbour".parse().unwrap(),
        priority: Some(2),
        homes: HomeRegions::default(),
    };
    keys.add(holder.clone(), [key.clone()]);
    assert_eq!(keys.holder(&key).map(|known| (**known).clone()), Some(holder));
    assert!(!format!("{keys:?}").contains("secret"));
    // A signed token is a key like others.
    assert!("x".repeat(16 * 1024).parse::<ApiKey>().is_ok());
    assert!("x".repeat(1024 * 1024 + 1).parse::<ApiKey>().is_err());
}
