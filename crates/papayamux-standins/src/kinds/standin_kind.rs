//! What the command line has to know of a kind, and the list of all kinds.

use std::error::Error;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use getopts::{Matches, Options};
use monoio::net::TcpListener;

use super::{config_service, engine, fault_proxy, instance_list, service, weight_store};

/// Why a stand-in does not start or run on.
pub type StandinError = Box<dyn Error>;

/// One kind of stand-in.
pub struct StandinKind {
    /// The kind's name on the command line.
    pub name: &'static str,
    /// Adds the kind's own options.
    pub declare: fn(&mut Options),
    /// Serves the kind until the process ends.
    pub serve: fn(TcpListener, Matches) -> LocalBoxFuture<'static, Result<(), StandinError>>,
}

/// All kinds.
pub const KINDS: &[StandinKind] = &[
    engine::KIND,
    service::KIND,
    config_service::KIND,
    instance_list::KIND,
    weight_store::KIND,
    fault_proxy::KIND,
];

/// The kind of that name.
pub fn find_kind(name: &str) -> Option<&'static StandinKind> {
    KINDS.iter().find(|kind| kind.name == name)
}

/// The names of all kinds, for people.
pub fn kind_names() -> String {
    KINDS.iter().map(|kind| kind.name).collect::<Vec<_>>().join(", ")
}

/// The value of an option, or `fallback` where it is not given.
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

/// The time that an option gives in milliseconds.
pub(super) fn millis_or(
    matches: &Matches,
    option: &str,
    fallback: Duration,
) -> Result<Duration, StandinError> {
    value_or(matches, option, fallback.as_millis() as u64).map(Duration::from_millis)
}

/// The time that an option gives in microseconds.
pub(super) fn micros_or(
    matches: &Matches,
    option: &str,
    fallback: Duration,
) -> Result<Duration, StandinError> {
    value_or(matches, option, fallback.as_micros() as u64).map(Duration::from_micros)
}

/// The values of an option that are separated by commas.
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
