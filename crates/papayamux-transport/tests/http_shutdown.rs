//! Connections during a shutdown, of stalled callers and from refused addresses.
#![allow(clippy::unwrap_used, reason = "a test, which may panic")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use hyper::{body::Incoming, Request, Response};
use papayamux_transport::http::{
    serve, AddressCheck, AnswerBody, HeadLimitSource, HeadLimits, HttpLimits,
};
use papayamux_transport::listen::listen;
use papayamux_transport::runtime;
use papayamux_transport::shutdown::ShutdownSignal;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

async fn respond_endlessly(_: Request<Incoming>) -> Response<AnswerBody> {
    let pieces = stream::repeat_with(|| Ok(Bytes::from_static(&[b'x'; 65_536])));
    Response::new(AnswerBody::Stream(Box::pin(pieces)))
}

/// Serves until `callers`, which run with the address on a thread of their own, have returned their
/// result and all connections have closed.
fn serve_callers<T: Send + 'static>(
    limits: HttpLimits,
    callers: impl FnOnce(SocketAddr) -> T + Send + 'static,
    after: impl FnOnce(T),
) {
    runtime::run(async {
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let shutdown = ShutdownSignal::new();
        let served =
            monoio::spawn(serve(listener, limits, shutdown.clone(), Rc::new(respond_endlessly)));
        let callers: JoinHandle<T> = std::thread::spawn(move || callers(address));
        while !callers.is_finished() {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        shutdown.trigger();
        served.await.unwrap();
        after(callers.join().unwrap());
    })
    .unwrap();
}

#[test]
fn shutdown_does_not_wait_for_connection_without_request() {
    let timeout = Duration::from_secs(3_600);
    let heads = HeadLimits { timeout, idle_timeout: timeout, ..HeadLimits::default() };
    let heads = HeadLimitSource(Rc::new(move || heads));
    let limits = HttpLimits { heads, ..HttpLimits::default() };
    serve_callers(
        limits,
        |address| {
            let idle = TcpStream::connect(address).unwrap();
            let mut second = TcpStream::connect(address).unwrap();
            second.write_all(REQUEST).unwrap();
            second.read_exact(&mut [0; 1]).unwrap();
            idle
        },
        |mut idle| assert_eq!(idle.read(&mut [0; 1]).unwrap(), 0),
    );
}

#[test]
fn connection_to_stalled_caller_is_closed() {
    let limits = HttpLimits { write_timeout: Duration::from_millis(100), ..HttpLimits::default() };
    serve_callers(
        limits,
        |address| {
            let mut stalled = TcpStream::connect(address).unwrap();
            stalled.write_all(REQUEST).unwrap();
            stalled
        },
        drop,
    );
}

#[test]
fn connection_from_refused_address_is_closed_immediately() {
    let nobody = AddressCheck(Rc::new(|_| false));
    let limits = HttpLimits { admits: Some(nobody), ..HttpLimits::default() };
    serve_callers(
        limits,
        |address| TcpStream::connect(address).unwrap().read(&mut [0; 1]).unwrap_or(0),
        |read| assert_eq!(read, 0),
    );
}
