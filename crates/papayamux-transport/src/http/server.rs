//! The HTTP/1.1 listener: one task for each connection.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{select, Either};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use monoio::io::IntoPollIo;
use monoio::net::{TcpListener, TcpStream};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};

use super::AnswerBody;
use crate::shutdown::ShutdownSignal;

/// Bounds of a listener.
#[derive(Debug, Clone, Copy)]
pub struct HttpLimits {
    /// Connections open at once; one more waits in the kernel's backlog.
    pub connections: usize,
    /// Bytes of a request's head, looked at after each read: one of up to twice as many may pass.
    pub head_bytes: usize,
    /// How long a head may take to arrive.
    pub head_within: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self { connections: 10_000, head_bytes: 32 * 1024, head_within: Duration::from_secs(15) }
    }
}

/// How long the listener waits after it could not accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

struct OpenConnections {
    count: Cell<usize>,
    closed: Cell<Option<ShutdownSignal>>,
}

impl OpenConnections {
    fn leave(&self) {
        self.count.set(self.count.get() - 1);
        if let Some(signal) = self.closed.take() {
            signal.give();
        }
    }

    async fn wait_below(&self, limit: usize) {
        while self.count.get() >= limit {
            let signal = ShutdownSignal::new();
            self.closed.set(Some(signal.clone()));
            signal.given().await;
        }
    }
}

/// Serves connections until `shutdown` is given, then lets each finish its request and returns
/// when the last has closed.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: HttpLimits,
    shutdown: ShutdownSignal,
    handler: Rc<H>,
) -> io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    let open = Rc::new(OpenConnections { count: Cell::new(0), closed: Cell::new(None) });
    loop {
        open.wait_below(limits.connections).await;
        let accept = std::pin::pin!(listener.accept());
        let given = std::pin::pin!(shutdown.given());
        let stream = match select(given, accept).await {
            Either::Left(_) => break,
            Either::Right((Ok((stream, _)), _)) => stream,
            Either::Right((Err(error), _)) => {
                log::warn!(error:% = error; "accepting failed");
                monoio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        open.count.set(open.count.get() + 1);
        let (open, shutdown, handler) = (open.clone(), shutdown.clone(), handler.clone());
        monoio::spawn(async move {
            if let Err(error) = serve_connection(stream, limits, shutdown, handler).await {
                log::debug!(error:% = error; "caller's connection ended");
            }
            open.leave();
        });
    }
    drop(listener);
    open.wait_below(1).await;
    Ok(())
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: HttpLimits,
    shutdown: ShutdownSignal,
    handler: Rc<H>,
) -> Result<(), Box<dyn std::error::Error>>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    stream.set_nodelay(true)?;
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(limits.head_within)
        .max_buf_size(limits.head_bytes)
        .serve_connection(MonoioIo::new(stream.into_poll_io()?), service);
    let mut connection = std::pin::pin!(connection);
    let given = std::pin::pin!(shutdown.given());
    match select(connection.as_mut(), given).await {
        Either::Left((result, _)) => result?,
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            connection.await?;
        }
    }
    Ok(())
}
