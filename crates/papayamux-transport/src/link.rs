//! Framed connections between papayamux processes.
//!
//! One task per connection writes. It takes all queued messages before it flushes, so that many
//! small messages share one system call. The receiving half reads.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use local_sync::mpsc::unbounded;
use monoio::io::IntoPollIo;
use monoio::net::tcp::stream_poll::TcpStreamPoll;
use monoio::net::TcpStream;
use papayamux_protocol::link::Addressed;
use papayamux_protocol::wire::{CodecError, FrameCodec, FrameMessage};
use prost::Message;
use thiserror::Error;
use tokio_util::codec::Framed;

use crate::keepalive::set_stream_options;

/// Buffered bytes above which the writer flushes early.
const FLUSH_THRESHOLD_BYTES: usize = 64 * 1024;
/// Timeout of writing one batch, after which the connection counts as silent.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of connecting, and of closing the sending half.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The error of opening or using a connection.
#[derive(Debug, Error)]
pub enum LinkError {
    /// Connecting failed.
    #[error("connecting to {address}: {source}")]
    Connect {
        /// Remote address.
        address: SocketAddr,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// Connecting timed out.
    #[error("connecting to {address} took over {CONNECT_TIMEOUT:?}")]
    ConnectTimeout {
        /// Remote address.
        address: SocketAddr,
    },
    /// Reading or writing failed, or the other side sent a malformed frame.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The socket's options could not be set.
    #[error("socket: {0}")]
    Socket(#[from] std::io::Error),
}

/// The sending half of a connection. Clones share it.
pub struct LinkSender<M> {
    queue: unbounded::Tx<Addressed<M>>,
}

impl<M> Clone for LinkSender<M> {
    fn clone(&self) -> Self {
        Self { queue: self.queue.clone() }
    }
}

impl<M> LinkSender<M> {
    /// Queues a message. Returns `false` if the connection is closed.
    ///
    /// The queue is bounded by what its users may have outstanding: an answer's window on the
    /// agent's side; one open, one cancel and acknowledgements per stream on the router's side.
    pub fn send(&self, stream: u64, message: M) -> bool {
        self.queue.send(Addressed { stream, message }).is_ok()
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

type LinkStream<Out, In> = Framed<TcpStreamPoll, FrameCodec<Out, In>>;

/// The receiving half of a connection.
pub struct LinkReceiver<Out, In> {
    stream: SplitStream<LinkStream<Out, In>>,
}

impl<Out, In: FrameMessage> LinkReceiver<Out, In> {
    /// Returns the next message, or `None` at the end of the connection.
    pub async fn receive(&mut self) -> Option<Result<Addressed<In::Message>, LinkError>> {
        Some(self.stream.next().await?.map_err(LinkError::from))
    }
}

/// Connects to `address` within `CONNECT_TIMEOUT`.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, LinkError> {
    match monoio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect_addr(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(source)) => Err(LinkError::Connect { address, source }),
        Err(_) => Err(LinkError::ConnectTimeout { address }),
    }
}

/// Creates a framed connection on a stream and starts its writer task, which ends with the last
/// sender.
pub fn start_link<Out, In, M>(
    stream: TcpStream,
) -> Result<(LinkSender<M>, LinkReceiver<Out, In>), LinkError>
where
    Out: Message + From<Addressed<M>> + 'static,
    In: FrameMessage + 'static,
    M: 'static,
{
    set_stream_options(&stream)?;
    let mut framed = Framed::new(stream.into_poll_io()?, FrameCodec::<Out, In>::default());
    // A process may have hundreds of idle connections, so each write buffer starts empty and grows
    // on demand.
    *framed.write_buffer_mut() = BytesMut::new();
    framed.set_backpressure_boundary(FLUSH_THRESHOLD_BYTES);
    let (sink, stream) = framed.split();
    let (queue, messages) = unbounded::channel();
    monoio::spawn(write_messages(sink, messages));
    Ok((LinkSender { queue }, LinkReceiver { stream }))
}

async fn write_messages<Out, In, M>(
    mut sink: SplitSink<LinkStream<Out, In>, Addressed<M>>,
    mut messages: unbounded::Rx<Addressed<M>>,
) where
    Out: Message + From<Addressed<M>>,
    In: FrameMessage,
{
    while let Some(message) = messages.recv().await {
        let batch = write_batch(&mut sink, message, &mut messages);
        match monoio::time::timeout(FLUSH_TIMEOUT, batch).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                log::debug!(error:% = error; "link writer stopped: writing failed");
                break;
            }
            Err(_) => {
                log::warn!(
                    "link writer stopped: the batch was not written within {FLUSH_TIMEOUT:?}"
                );
                break;
            }
        }
    }
    messages.close();
    let _ = monoio::time::timeout(CONNECT_TIMEOUT, sink.close()).await;
}

async fn write_batch<Out, In, M>(
    sink: &mut SplitSink<LinkStream<Out, In>, Addressed<M>>,
    first: Addressed<M>,
    messages: &mut unbounded::Rx<Addressed<M>>,
) -> Result<(), CodecError>
where
    Out: Message + From<Addressed<M>>,
    In: FrameMessage,
{
    sink.feed(first).await?;
    while let Ok(message) = messages.try_recv() {
        sink.feed(message).await?;
    }
    sink.flush().await
}
