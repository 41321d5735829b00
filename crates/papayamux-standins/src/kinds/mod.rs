//! The kinds of stand-ins: what the command line offers of each, one file a kind.

mod engine;
mod fault_proxy;
mod service;
mod standin_kind;

pub use standin_kind::{find_kind, kind_names, StandinError, StandinKind, KINDS};
