//! Reads the sections of a declaration file.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use papayamux_settings::{IniFile, SectionReader};

use super::grants::{GrantSection, NamePattern, OWNERS_FILE};
use super::items::{
    AdapterDeclaration, EngineDeclaration, EngineRole, Located, ModelDeclaration,
    OrganisationDeclaration, RouteDeclaration, ServerDeclaration, ServerKind,
};
use super::parsed_file::ParsedFile;
use crate::values::{
    DeclaredName, FileName, ItemKind, LoadBound, MethodName, PriorityClass, ShareFraction,
};

/// Reads all sections and reports findings to `file`.
pub(super) fn read_file(file: &IniFile, name: &FileName) -> Option<ParsedFile> {
    read_team(file, name);
    if name.as_str() == OWNERS_FILE {
        file.report_unknown_sections(&["team"], &["grant"]);
        let grants = read_kind(file, None, "grant", read_grant);
        report_grant_clashes(file, &grants);
        return Some(ParsedFile { grants, ..ParsedFile::default() });
    }
    file.report_unknown_sections(&["team"], &ItemKind::ALL.map(ItemKind::label));
    let parsed = ParsedFile {
        organisations: read_kind(file, Some(name), "organisation", read_organisation)
            .into_iter()
            .map(|(DeclaredName(id), declaration)| (id, declaration))
            .collect(),
        models: read_kind(file, Some(name), "model", read_model),
        adapters: read_kind(file, Some(name), "adapter", read_adapter),
        servers: read_kind(file, Some(name), "server", read_server),
        routes: read_kind(file, None, "route", read_route),
        grants: BTreeMap::new(),
    };
    report_share_sum(file, &parsed);
    report_shared_agents(file, &parsed);
    Some(parsed)
}

fn read_team(file: &IniFile, name: &FileName) {
    let section = file.section("team");
    let declared = section.required::<FileName>("name");
    section.text("contact");
    section.report_unknown_keys();
    if declared.is_some_and(|declared| declared != *name) {
        section.report("name", &format!("the file is called {name:?}", name = name.as_str()), "");
    }
}

/// Reads all sections of a kind. With an `owner`, the part of a name before a slash must be the
/// owner's name.
fn read_kind<K, V>(
    file: &IniFile,
    owner: Option<&FileName>,
    kind: &str,
    read: impl Fn(&SectionReader<'_>) -> Option<V>,
) -> BTreeMap<K, Located<V>>
where
    K: FromStr + Ord,
    K::Err: fmt::Display,
{
    let mut items = BTreeMap::new();
    for name in file.section_names(kind) {
        let title = format!("{kind} {name}");
        let line = file.section_line(&title);
        let section = file.section(&title);
        let key = read_name(file, owner, &title, &name);
        let value = read(&section);
        section.report_unknown_keys();
        if let (Some(key), Some(value)) = (key, value) {
            items.insert(key, Located { line, value });
        }
    }
    items
}

fn read_name<K>(file: &IniFile, owner: Option<&FileName>, title: &str, name: &str) -> Option<K>
where
    K: FromStr,
    K::Err: fmt::Display,
{
    let report = |message: String, help: String| {
        file.report(file.section_line(title), format!("[{title}]"), &message, &help);
    };
    if let (Some(owner), Some((team, _))) = (owner, name.split_once('/')) {
        if team != owner.as_str() {
            let help = format!("only the file {team:?} may declare it; drop it or use {owner}/…");
            report(format!("the name belongs to the team {team:?}"), help);
        }
    }
    if name.contains(',') {
        report("a name may not hold a comma".to_string(), String::new());
    }
    match name.parse() {
        Ok(key) => Some(key),
        Err(error) => {
            report(format!("the name does not fit: {error}"), String::new());
            None
        }
    }
}

fn read_organisation(section: &SectionReader<'_>) -> Option<OrganisationDeclaration> {
    let organisation = OrganisationDeclaration::builder()
        .priority(section.or("priority", PriorityClass::DEFAULT))
        .share(section.or("share", ShareFraction::NONE))
        .maybe_request_rate(section.optional("request_rate"))
        .maybe_in_flight(section.optional("in_flight"))
        .build();
    Some(organisation)
}

fn read_model(section: &SectionReader<'_>) -> Option<ModelDeclaration> {
    let version = section.required("version");
    let weights = section.required("weights");
    let load_bound = section.or("load_bound", LoadBound::DEFAULT);
    let retiring = section.or("retiring", false);
    Some(ModelDeclaration { version: version?, weights: weights?, load_bound, retiring })
}

fn read_adapter(section: &SectionReader<'_>) -> Option<AdapterDeclaration> {
    let model = section.required("model");
    let version = section.required("version");
    let weights = section.required("weights");
    Some(AdapterDeclaration { model: model?, version: version?, weights: weights? })
}

fn read_server(section: &SectionReader<'_>) -> Option<ServerDeclaration> {
    let agent = section.required("agent");
    let domain = section.required("failure_domain").map(|DeclaredName(domain)| domain);
    let capacity = section.optional("capacity");
    let kind = read_server_kind(section);
    if agent.is_some_and(|agent: SocketAddr| agent.port() == 0) {
        section.report("agent", "an agent can't listen on port 0", "");
    }
    Some(ServerDeclaration { agent: agent?, domain: domain?, capacity, kind: kind? })
}

fn read_server_kind(section: &SectionReader<'_>) -> Option<ServerKind> {
    match section.text("kind") {
        Some("engine") => Some(ServerKind::Engine(EngineDeclaration {
            models: read_set(section, "models"),
            adapters: read_set(section, "adapters"),
            role: section.or("role", EngineRole::Both),
        })),
        Some("service") => Some(ServerKind::Service),
        other => {
            let message = match other {
                None => "the key is missing".to_string(),
                Some(text) => format!("{text:?} is no kind of server"),
            };
            section.report("kind", &message, "write engine or service");
            for key in ["models", "adapters", "role"] {
                section.text(key);
            }
            None
        }
    }
}

fn read_route(section: &SectionReader<'_>) -> Option<RouteDeclaration> {
    let servers = read_set(section, "servers");
    let idempotent_methods: BTreeSet<MethodName> = read_set(section, "idempotent_methods");
    if section.text("servers").is_none() {
        section.report("servers", "the key is missing", "list servers of kind service");
    }
    let priority = section.or("priority", PriorityClass::DEFAULT);
    Some(RouteDeclaration { servers, idempotent_methods, priority })
}

fn read_grant(section: &SectionReader<'_>) -> Option<GrantSection> {
    Some(GrantSection {
        share: section.optional("share"),
        first_priority: section.optional("first_priority"),
        organisations: section.list("organisations"),
        models: section.list("models"),
        adapters: section.list("adapters"),
        servers: section.list("servers"),
        routes: section.list("routes"),
    })
}

fn read_set<T>(section: &SectionReader<'_>, key: &str) -> BTreeSet<T>
where
    T: FromStr + Ord,
    T::Err: fmt::Display,
{
    section.list(key).into_iter().collect()
}

fn report_share_sum(file: &IniFile, parsed: &ParsedFile) {
    let shares = parsed.organisations.values().map(|located| located.value.share);
    if ShareFraction::sum(shares).is_none() {
        let line = parsed.organisations.values().map(|located| located.line).min().unwrap_or(1);
        let help = "the shares are parts of what the fleet grants the team";
        file.report(line, "[organisation …] share".into(), "all shares exceed 100%", help);
    }
}

fn report_shared_agents(file: &IniFile, parsed: &ParsedFile) {
    let mut servers: Vec<_> = parsed.servers.iter().collect();
    servers.sort_by_key(|(_, located)| located.line);
    let mut first = HashMap::new();
    for (server, located) in servers {
        if let Some(other) = first.insert(located.value.agent, server) {
            let message = format!("the agent stands beside the server {other} already");
            file.report(located.line, format!("[server {server}] agent"), &message, "");
        }
    }
}

fn report_grant_clashes(file: &IniFile, grants: &BTreeMap<FileName, Located<GrantSection>>) {
    let shares = grants.values().filter_map(|located| located.value.share);
    if ShareFraction::sum(shares).is_none() {
        let line = grants.values().map(|located| located.line).min().unwrap_or(1);
        file.report(line, "[grant …] share".into(), "all shares exceed 100%", "");
    }
    for kind in ItemKind::ALL {
        let mut owners: HashMap<&NamePattern, &FileName> = HashMap::new();
        for (team, located) in grants {
            for pattern in located.value.patterns(kind) {
                match owners.insert(pattern, team) {
                    Some(other) if other != team => {
                        let message = format!("{pattern} is granted to {other} already");
                        file.report(located.line, format!("[grant {team}] {kind}s"), &message, "");
                    }
                    _ => {}
                }
            }
        }
    }
}
