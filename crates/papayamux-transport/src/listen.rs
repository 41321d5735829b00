//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use monoio::net::{ListenerOpts, TcpListener};

/// Size of the kernel's receive buffer of a caller's connection, which also sets its window: what callers send
/// before it is read takes memory of the instance.
const CALLER_RECEIVE_BYTES: usize = 32 * 1024;

/// Like [`listen`], for connections of callers, of which the kernel holds little that isn't read.
pub fn listen_for_callers(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).recv_buf_size(CALLER_RECEIVE_BYTES);
    TcpListener::bind_with_config(address, &options)
}

/// Listens on `address` exclusively, without `SO_REUSEPORT`. `monoio` sets this option by default,
/// and it would let a second process share the port unnoticed, even a port that the kernel picked.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(address, &ListenerOpts::new().reuse_port(false))
}
