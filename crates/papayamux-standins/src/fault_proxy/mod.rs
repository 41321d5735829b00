//! Fault-injecting TCP proxy: delays, withholds or discards bytes, refuses or closes connections.

mod chunk_queue;
mod control_interface;
mod direction_pump;
mod link_faults;
mod link_proxy;
mod proxy_connection;

pub use control_interface::{
    serve_control, HalfCloseOrder, CONNECTIONS_PATH, CUT_PATH, FAULTS_PATH, HALF_CLOSE_PATH,
};
pub use link_faults::{FaultyWays, LinkDirection, LinkFaults};
pub use link_proxy::{ConnectionReport, LinkProxy};
