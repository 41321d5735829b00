//! `papayamux-measure path`: what router and agent add to a call of a backend server.

mod latency;
mod run;
mod streams;
mod throughput;

pub use run::run_path;
