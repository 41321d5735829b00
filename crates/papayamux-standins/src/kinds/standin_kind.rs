//! The description of a stand-in kind for the command line, and the list of all kinds.

use std::error::Error;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use getopts::{Matches, Options};
use monoio::net::TcpListener;

use super::{config_service, engine, fault_proxy, instance_list, service, weight_store};

/// The error of starting or running a stand-in.
pub type StandinError = Box<dyn Error>;

/// A kind of stand-in.
pub struct StandinKind {
    /// Name of the kind on the command line.
    pub name: &'static str,
    /// Adds the options specific to this kind.
    pub declare: fn(&mut Options),
    /// Serves a stand-in of this kind until the process exits.
    pub serve: fn(TcpListener, Matches) -> LocalBoxFuture<'static, Result<(), StandinError>>,
}

/// All kinds of stand-ins.
pub const KINDS: &[StandinKind] = &[
    engine::KIND,
    service::KIND,
    config_service::KIND,
    instance_list::KIND,
    weight_store::KIND,
    fault_proxy::KIND,
];

/// Returns the kind with the given name.
pub fn find_kind(name: &str) -> Option<&'static StandinKind> {
    KINDS.iter().find(|kind| kind.name == name)
}

/// Returns the names of all kinds, separated by commas, for help and error texts.
pub fn kind_names() -> String {
    KINDS.iter().map(|kind| kind.name).collect::<Vec<_>>().join(", ")
}

/// Parses the value of an option, or returns `fallback` if the option is absent.
pub(super) fn value_or<T>(matches: &Matches, option: &str, fallback: T) -> Result<T, StandinError>
where
    T: FromStr,
    T::Err: Display,
{
    match matches.opt_str(option) {
        None => Ok(fallback),
        Some(text) => text.parse().map_err(|error| format!("--{option} {text:?}: {error}").into()),
    }
}

/// Parses a duration in milliseconds, or returns `fallback` if the option is absent.
pub(super) fn millis_or(
    matches: &Matches,
    option: &str,
    fallback: Duration,
) -> Result<Duration, StandinError> {
    value_or(matches, option, fallback.as_millis() as u64).map(Duration::from_millis)
}

/// Parses a duration in microseconds, or returns `fallback` if the option is absent.
pub(super) fn micros_or(
    matches: &Matches,
    option: &str,
    fallback: Duration,
) -> Result<Duration, StandinError> {
    value_or(matches, option, fallback.as_micros() as u64).map(Duration::from_micros)
}

/// Parses the comma-separated values of an option.
pub(super) fn list_of<T>(matches: &Matches, option: &str) -> Result<Vec<T>, StandinError>
where
    T: FromStr,
    T::Err: Display,
{
    let text = matches.opt_str(option).unwrap_or_default();
    let parts = text.split(',').filter(|part| !part.is_empty());
    let parsed = parts
        .map(|part| part.parse().map_err(|error| format!("--{option} {part:?}: {error}").into()));
    parsed.collect()
}
