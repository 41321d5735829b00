//! Framed connections between papayamux processes.
//!
//! One task writes; it takes all that waits before it flushes, so that many small messages share
//! one system call. The other half reads.

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

/// Bytes buffered before the writer flushes on its own.
const FLUSH_THRESHOLD_BYTES: usize = 64 * 1024;
/// How long one flush may take before the connection counts as silent.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);
/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a connection can't be used any more.
#[derive(Debug, Error)]
pub enum LinkError {
    /// Connecting failed.
    #[error("connecting to {address}: {source}")]
    Connect {
        /// Where to.
        address: SocketAddr,
        /// What failed.
        source: std::io::Error,
    },
    /// Connecting took too long.
    #[error("connecting to {address} took over {CONNECT_TIMEOUT:?}")]
    ConnectTimeout {
        /// Where to.
        address: SocketAddr,
    },
    /// Reading or writing failed, or the other side sent nonsense.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The socket's options could not be set.
    #[error("socket: {0}")]
    Socket(#[from] std::io::Error),
}

/// The sending half of a connection; clones share it.
pub struct LinkSender<M> {
    queue: unbounded::Tx<Addressed<M>>,
}

impl<M> Clone for LinkSender<M> {
    fn clone(&self) -> Self {
        Self { queue: self.queue.clone() }
    }
}

impl<M> LinkSender<M> {
    /// Queues a message; `false` when the connection is gone.
    ///
    /// The queue is bounded by what its users may have outstanding: an answer's window on the
    /// agent's side, one open, one cancel and acknowledgements per stream on the router's.
    pub fn send(&self, stream: u64, message: M) -> bool {
        self.queue.send(Addressed { stream, message }).is_ok()
    }

    /// Whether the connection is gone.
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
    /// The next message; `None` at the connection's end.
    pub async fn receive(&mut self) -> Option<Result<Addressed<In::Message>, LinkError>> {
        Some(self.stream.next().await?.map_err(LinkError::from))
    }
}

/// Connects to `address`.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, LinkError> {
    match monoio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect_addr(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(source)) => Err(LinkError::Connect { address, source }),
        Err(_) => Err(LinkError::ConnectTimeout { address }),
    }
}

/// Makes a framed connection of a stream and starts its writer, which ends with the last sender.
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
    // A process may have hundreds of idle connections: each buffer grows with what is written.
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
                log::debug!(error:% = error; "link writer ends");
                break;
            }
            Err(_) => {
                log::warn!("link writer ends: nothing was taken for {FLUSH_TIMEOUT:?}");
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
