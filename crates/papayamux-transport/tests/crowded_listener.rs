//! A listener most of whose connections are taken by idle clients.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{body::Incoming, Request, Response};
use papayamux_transport::http::{serve, AnswerBody, HttpLimits};
use papayamux_transport::listen::listen;
use papayamux_transport::runtime;
use papayamux_transport::shutdown::ShutdownSignal;

const CONNECTIONS: usize = 8;

async fn respond_ok(_: Request<Incoming>) -> Response<AnswerBody> {
    Response::new(AnswerBody::Whole(Bytes::from_static(b"yes")))
}

/// Sends one request on a new connection. Returns the connection and whether the answer asks to
/// close it, or `None` if there is no answer.
fn send_request(address: SocketAddr) -> Option<(TcpStream, bool)> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let mut text = String::new();
    while !text.ends_with("yes") {
        let mut buffer = [0; 1_024];
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
    }
    Some((stream, text.to_lowercase().contains("connection: close")))
}

/// Runs twice as many clients as there are connections. Each keeps its connection open unless it is
/// asked to close it. Returns the numbers of idle connections and of unanswered requests.
fn run_idle_clients(address: SocketAddr) -> (usize, usize) {
    let mut idle = Vec::new();
    let mut unanswered = 0;
    for _ in 0..2 * CONNECTIONS {
        match send_request(address) {
            Some((stream, false)) => idle.push(stream),
            Some((_, true)) => {}
            None => unanswered += 1,
        }
    }
    (idle.len(), unanswered)
}

#[test]
fn idle_connections_are_closed_for_new_clients() {
    runtime::run(async {
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let limits = HttpLimits { connections: CONNECTIONS, ..HttpLimits::default() };
        let shutdown = ShutdownSignal::new();
        let served = serve(listener, limits, shutdown.clone(), Rc::new(respond_ok));
        let served = monoio::spawn(served);
        let callers = std::thread::spawn(move || run_idle_clients(address));
        while !callers.is_finished() {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        let (idle, unanswered) = callers.join().unwrap();
        assert_eq!(unanswered, 0, "new clients got no connection");
        assert!((4..CONNECTIONS).contains(&idle), "{idle}");
        shutdown.trigger();
        served.await.unwrap();
    })
    .unwrap();
}
