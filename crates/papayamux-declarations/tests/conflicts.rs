//! Conflicts between files: ownership of names, missing references, and limits of teams.

use papayamux_declarations::{ConfigurationInForce, DeclarationFile, FileSet, ServerTask};

const WEIGHTS: &str = "version = 1\nweights = w\n";

/// Computes the configuration after offering each `(file, text)` in order, with rising revisions.
fn in_force(files: &[(&str, String)]) -> ConfigurationInForce {
    let mut set = FileSet::default();
    for (index, (name, text)) in files.iter().enumerate() {
        let Ok(file) = name.parse() else { continue };
        let text = format!("[team]\nname = {name}\n{text}");
        set.offer(DeclarationFile::new(file, (index as u64 + 1).into(), text));
    }
    let in_force = ConfigurationInForce::compute(&set);
    assert_eq!(in_force.refused, [], "a file is invalid by itself");
    in_force
}

fn blocks(in_force: &ConfigurationInForce) -> Vec<String> {
    let blocked = in_force.blocked.iter();
    blocked
        .map(|item| {
            let label = item.reason.label();
            format!("{} {} {}: {label}", item.origin.file, item.kind, item.name)
        })
        .collect()
}

fn engine(name: &str, port: u16, keys: &str) -> String {
    format!("[server {name}]\nkind = engine\nagent = 10.0.0.1:{port}\nfailure_domain = d\n{keys}\n")
}

#[test]
fn the_first_file_by_name_owns_a_name_unless_it_is_granted() {
    let model = format!("[model m]\n{WEIGHTS}");
    let files = [("kiosk", model.clone()), ("booking", model.clone())];
    assert_eq!(blocks(&in_force(&files)), ["kiosk model m: name_taken"]);
    let grant = |pattern| ("owners", format!("[grant kiosk]\nmodels = {pattern}\n"));
    let granted = [files.clone().to_vec(), vec![grant("m*")]].concat();
    assert_eq!(blocks(&in_force(&granted)), ["booking model m: granted"]);
    let absent = [vec![("booking", model)], vec![grant("m")]].concat();
    assert_eq!(blocks(&in_force(&absent)), ["booking model m: granted"]);
}

#[test]
fn the_closest_grant_decides() {
    let grants = "[grant booking]\nroutes = /*\n[grant kiosk]\nroutes = /gate*, /gate/scan\n";
    let route = |path: &str| format!("[route {path}]\nservers =\n");
    let files = [
        ("owners", grants.to_string()),
        ("booking", route("/gate/scan") + &route("/tours")),
        ("kiosk", route("/gate/scan") + &route("/refunds")),
    ];
    let expected = ["booking route /gate/scan: granted", "kiosk route /refunds: granted"];
    assert_eq!(blocks(&in_force(&files)), expected);
}

#[test]
fn a_removed_model_blocks_its_users_until_it_is_back() {
    let model = || format!("[model m]\n{WEIGHTS}");
    let adapter =
        format!("[adapter a]\nmodel = m\n{WEIGHTS}") + &engine("s", 1, "models = m\nadapters = a");
    let mut files =
        vec![("booking", model()), ("kiosk", adapter.clone()), ("booking", String::new())];
    let without = in_force(&files);
    let expected =
        ["kiosk adapter a: missing", "kiosk server s: missing", "kiosk server s: missing"];
    assert_eq!(blocks(&without), expected);
    assert!(without.adapters.is_empty());
    assert_eq!(without.servers.len(), 1, "the server itself stays known");
    files.push(("booking", model()));
    let back = in_force(&files);
    assert_eq!(blocks(&back), [""; 0]);
    assert_eq!(back.adapters.len(), 1);
}

#[test]
fn a_retiring_model_stays_as_long_as_it_is_named() {
    let model = format!("[model m]\n{WEIGHTS}retiring = true\n");
    let used = [("booking", model.clone()), ("kiosk", engine("s", 1, "models = m"))];
    assert_eq!(in_force(&used).models.len(), 1);
    let unused = [used.to_vec(), vec![("kiosk", String::new())]].concat();
    let in_force = in_force(&unused);
    assert!(in_force.models.is_empty());
    assert!(!in_force.blocked[0].reason.is_conflict());
}

#[test]
fn a_file_never_gets_another_teams_model_in_place_of_its_own() {
    let model = format!("[model m]\n{WEIGHTS}");
    let own = model.clone() + &engine("s", 1, "models = m");
    let in_force = in_force(&[("booking", model), ("kiosk", own)]);
    let server = &in_force.servers[&"s".parse().unwrap()].value;
    let ServerTask::Engine { models, .. } = &server.task else { unreachable!() };
    assert!(models.is_empty());
    assert_eq!(blocks(&in_force), ["kiosk model m: name_taken", "kiosk server s: missing"]);
}

#[test]
fn an_agent_belongs_to_one_server_and_a_route_leads_to_services() {
    let files = [
        ("booking", engine("x", 1, "")),
        ("kiosk", engine("a", 1, "") + "[route /gate]\nservers = x, a, nowhere\n"),
    ];
    let expected = [
        "kiosk route /gate: missing",
        "kiosk route /gate: missing",
        "kiosk route /gate: not_a_service",
        "kiosk server a: agent_taken",
    ];
    let mut found = blocks(&in_force(&files));
    found.sort();
    assert_eq!(found, expected);
}

#[test]
fn shares_are_parts_of_the_teams_share_and_the_stricter_priority_holds() {
    let organisation =
        |name: &str, share: u32| format!("[organisation {name}]\nshare = {share}%\npriority = 0\n");
    let owners = "[grant booking]\nshare = 60%\nfirst_priority = 3\n".to_string();
    let files = [
        ("owners", owners),
        ("booking", organisation("b", 50)),
        ("kiosk", organisation("k", 100)),
        ("tours", organisation("t", 100)),
    ];
    let in_force = in_force(&files);
    let share = |name: &str| in_force.organisations[&name.parse().unwrap()].value.share.to_string();
    assert_eq!([share("b"), share("k"), share("t")], ["30%", "20%", "20%"]);
    assert_eq!(in_force.organisations[&"b".parse().unwrap()].value.priority.get(), 3);
    assert_eq!(blocks(&in_force), ["booking organisation b: priority_capped"]);
}

#[test]
fn the_longest_prefix_takes_a_call_and_names_its_idempotent_methods() {
    let service = "[server s]\nkind = service\nagent = 10.0.0.1:1\nfailure_domain = d\n";
    let routes = "[route /]\nservers = s\nidempotent_methods = GET, PUT\n\
                  [route /gate]\nservers = s\nidempotent_methods = GET\n";
    let in_force = in_force(&[("kiosk", format!("{service}{routes}"))]);
    let may_repeat = |path, method| in_force.is_idempotent(path, &method);
    assert!(may_repeat("/gates", http::Method::PUT));
    assert!(!may_repeat("/gate/7", http::Method::PUT));
    assert!(may_repeat("/gate/7", http::Method::GET));
    assert!(!may_repeat("/gate", http::Method::POST));
}
