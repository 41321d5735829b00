//! `papayamux-measure path`: measures the overhead of router and agent on a call to a backend
//! server.

mod latency;
mod run;
mod streams;
mod throughput;

pub use run::run_path;
