//! The kinds of stand-ins and their command-line options, one file per kind.

mod config_service;
mod engine;
mod fault_proxy;
mod instance_list;
mod service;
mod standin_kind;
mod weight_store;

pub use standin_kind::{find_kind, kind_names, StandinError, StandinKind, KINDS};
