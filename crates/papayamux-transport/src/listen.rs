//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use monoio::net::{ListenerOpts, TcpListener};

/// Listens on `address`, alone: without `SO_REUSEPORT`, which `monoio` sets by default and which
/// would let a second process share the port unnoticed, also one that the kernel picked.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(address, &ListenerOpts::new().reuse_port(false))
}
