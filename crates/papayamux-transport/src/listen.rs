//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use monoio::net::{ListenerOpts, TcpListener};

/// Listens on `address` exclusively, without `SO_REUSEPORT`. `monoio` sets this option by default,
/// and it would let a second process share the port unnoticed, even a port that the kernel picked.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(address, &ListenerOpts::new().reuse_port(false))
}
