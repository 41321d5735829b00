//! Explains why a declared item is in force or has no effect.

use std::fmt;
use std::str::FromStr;

use http::Method;
use thiserror::Error;

use crate::file::{AdapterDeclaration, ModelDeclaration};
use crate::in_force::{
    BlockedItem, ConfigurationInForce, Declared, FileRefusal, Organisation, Origin, Route, Server,
    ServerTask,
};
use crate::values::{ItemKind, MethodName};

/// An operator's query: which declaration decides an item or a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExplainQuery {
    /// An item by kind and name.
    Item {
        /// The kind of the item.
        kind: ItemKind,
        /// The name of its section.
        name: String,
    },
    /// The route that takes a call.
    Call {
        /// The path of the call.
        path: String,
        /// The HTTP method of the call.
        method: Method,
    },
}

/// The error of parsing an [`ExplainQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not a kind and a name, such as \"model itinerary\"")]
pub struct ExplainQueryError {
    /// The input text.
    pub text: String,
}

impl FromStr for ExplainQuery {
    type Err = ExplainQueryError;

    fn from_str(text: &str) -> Result<Self, ExplainQueryError> {
        let error = || ExplainQueryError { text: text.to_string() };
        let (kind, name) = text.trim().split_once(' ').ok_or_else(error)?;
        let kind = kind.parse().map_err(|_| error())?;
        Ok(ExplainQuery::Item { kind, name: name.trim().to_string() })
    }
}

impl fmt::Display for ExplainQuery {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExplainQuery::Item { kind, name } => write!(formatter, "{kind} {name}"),
            ExplainQuery::Call { path, method } => write!(formatter, "{method} {path}"),
        }
    }
}

/// The answer to an [`ExplainQuery`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The query that this answers.
    pub query: ExplainQuery,
    /// The file, revision and line of the declaration; `None` if nothing is in force.
    pub origin: Option<Origin>,
    /// The value in force, on one line.
    pub value: Option<String>,
    /// Other declarations of the item, or parts of this one, that have no effect, with the reason.
    pub blocked: Vec<BlockedItem>,
    /// Refused revisions of the files involved, or of all files if nothing is in force.
    pub refused: Vec<FileRefusal>,
}

impl Explanation {
    /// Looks up the item of `query` in `in_force`.
    pub fn new(in_force: &ConfigurationInForce, query: ExplainQuery) -> Self {
        let (kind, name) = match &query {
            ExplainQuery::Item { kind, name } => (*kind, name.clone()),
            ExplainQuery::Call { path, .. } => {
                let prefix = in_force.route_of(path).map(|(prefix, _)| prefix.to_string());
                (ItemKind::Route, prefix.unwrap_or_else(|| path.clone()))
            }
        };
        let found = find_item(in_force, kind, &name);
        let blocked: Vec<_> = in_force
            .blocked
            .iter()
            .filter(|blocked| blocked.kind == kind && blocked.name == name)
            .cloned()
            .collect();
        let (origin, value) = found.unzip();
        let concerned = |refusal: &&FileRefusal| {
            let by_block = blocked.iter().any(|blocked| blocked.origin.file == refusal.file);
            by_block || origin.as_ref().is_none_or(|origin| origin.file == refusal.file)
        };
        let refused = in_force.refused.iter().filter(concerned).cloned().collect();
        let value = value.map(|value| match &query {
            ExplainQuery::Item { .. } => value,
            ExplainQuery::Call { path, method } => {
                let repeat = if in_force.is_idempotent(path, method) { "may" } else { "may not" };
                format!("{value}; a {method} call {repeat} be repeated")
            }
        });
        Self { query, origin, value, blocked, refused }
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.origin, &self.value) {
            (Some(origin), Some(value)) => {
                writeln!(formatter, "{}: in force", self.query)?;
                writeln!(formatter, "  decided by {origin}")?;
                writeln!(formatter, "  {value}")?;
            }
            _ => writeln!(formatter, "{}: not in force", self.query)?,
        }
        if self.origin.is_none() && self.blocked.is_empty() {
            writeln!(formatter, "  no revision in force declares it")?;
        }
        for blocked in &self.blocked {
            writeln!(formatter, "  without effect: {blocked}")?;
        }
        for refusal in &self.refused {
            let FileRefusal { file, in_force, refused } = refusal;
            write!(formatter, "  refused: {file}@{}", refused.revision)?;
            match in_force {
                Some(revision) => writeln!(formatter, "; {file}@{revision} stays in force")?,
                None => writeln!(formatter, "; no valid revision is known")?,
            }
            for finding in &refused.findings {
                writeln!(formatter, "    {finding}")?;
            }
        }
        Ok(())
    }
}

fn find_item(
    in_force: &ConfigurationInForce,
    kind: ItemKind,
    name: &str,
) -> Option<(Origin, String)> {
    fn found<V>(declared: &Declared<V>, line: impl Fn(&V) -> String) -> (Origin, String) {
        (declared.origin.clone(), line(&declared.value))
    }
    match kind {
        ItemKind::Organisation => {
            let organisation = in_force.organisations.get(&name.parse().ok()?)?;
            Some(found(organisation, organisation_line))
        }
        ItemKind::Model => Some(found(in_force.models.get(&name.parse().ok()?)?, model_line)),
        ItemKind::Adapter => Some(found(in_force.adapters.get(&name.parse().ok()?)?, adapter_line)),
        ItemKind::Server => Some(found(in_force.servers.get(&name.parse().ok()?)?, server_line)),
        ItemKind::Route => Some(found(in_force.routes.get(&name.parse().ok()?)?, route_line)),
    }
}

/// Returns one line for each item in force, in a stable order.
pub(crate) fn item_lines(in_force: &ConfigurationInForce) -> impl Iterator<Item = String> + '_ {
    fn lines<'a, K: fmt::Display + 'a, V: 'a>(
        kind: ItemKind,
        items: impl Iterator<Item = (&'a K, &'a Declared<V>)> + 'a,
        line: impl Fn(&V) -> String + 'a,
    ) -> impl Iterator<Item = String> + 'a {
        items.map(move |(name, declared)| {
            format!("{kind} {name} {} {}", declared.origin, line(&declared.value))
        })
    }
    lines(ItemKind::Organisation, in_force.organisations.iter(), organisation_line)
        .chain(lines(ItemKind::Model, in_force.models.iter(), model_line))
        .chain(lines(ItemKind::Adapter, in_force.adapters.iter(), adapter_line))
        .chain(lines(ItemKind::Server, in_force.servers.iter(), server_line))
        .chain(lines(ItemKind::Route, in_force.routes.iter(), route_line))
}

fn organisation_line(organisation: &Organisation) -> String {
    let Organisation { priority, share, request_rate, in_flight } = organisation;
    let rate = request_rate.map_or_else(|| "unlimited".to_string(), |rate| rate.to_string());
    let in_flight = in_flight.map_or_else(|| "unlimited".to_string(), |count| count.to_string());
    format!("priority {priority}, share {share}, request_rate {rate}, in_flight {in_flight}")
}

fn model_line(model: &ModelDeclaration) -> String {
    let ModelDeclaration { version, weights, load_bound, retiring } = model;
    let retiring = if *retiring { ", retiring" } else { "" };
    format!("version {version}, weights {weights}, load_bound {load_bound}{retiring}")
}

fn adapter_line(adapter: &AdapterDeclaration) -> String {
    let AdapterDeclaration { model, version, weights } = adapter;
    format!("model {model}, version {version}, weights {weights}")
}

fn server_line(server: &Server) -> String {
    let Server { agent, domain, capacity, task } = server;
    let capacity = capacity.map_or_else(|| "its agent's".to_string(), |count| count.to_string());
    let task = match task {
        ServerTask::Service => "service".to_string(),
        ServerTask::Engine { models, adapters, role } => {
            format!("engine, models {}, adapters {}, role {role}", list(models), list(adapters))
        }
    };
    format!("agent {agent}, failure_domain {domain}, capacity {capacity}, {task}")
}

fn route_line(route: &Route) -> String {
    let Route { servers, idempotent_methods, priority } = route;
    let methods = list::<MethodName>(idempotent_methods);
    format!("servers {}, idempotent_methods {methods}, priority {priority}", list(servers))
}

fn list<'a, T: fmt::Display + 'a>(items: impl IntoIterator<Item = &'a T>) -> String {
    let texts: Vec<_> = items.into_iter().map(T::to_string).collect();
    match texts.is_empty() {
        true => "none".to_string(),
        false => texts.join(" "),
    }
}
