//! Opens connections for which the kernel holds little that isn't read.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;

use monoio::net::TcpStream;
use socket2::{Domain, Protocol, Socket, Type};

/// Size of the kernel's receive buffer, which also sets the window. Where a caller doesn't read its answer, the
/// rest of the answer waits at the server.
const RECEIVE_BYTES: usize = 32 * 1024;
/// Error code of a connection that is being established.
const IN_PROGRESS: i32 = nix::errno::Errno::EINPROGRESS as i32;

/// Connects to `address`. The size must be set before, as the window is agreed on then.
pub(super) async fn connect_bounded(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BYTES) {
        log::debug!(address:% = address, error:% = error; "the receive buffer keeps its size");
    }
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(IN_PROGRESS) => return Err(error),
        _ => {}
    }
    let stream = TcpStream::from_std(socket.into())?;
    stream.writable(true).await?;
    // A socket that is writable and has no peer has failed to connect.
    match stream.peer_addr() {
        Ok(_) => Ok(stream),
        Err(_) => Err(Error::from(ErrorKind::ConnectionRefused)),
    }
}
